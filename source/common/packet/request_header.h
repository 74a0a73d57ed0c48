/**
 * @file Extraction of a request identifier from the start of an HTTP/1.1 request.
 *
 * Used for logs only; no decision depends on it. The identifier is not found if the request does
 * not start at the beginning of the payload, or if the header is beyond the payload's end.
 */
#pragma once

#include <string>
#include <string_view>

namespace umberhold {

/** Maximum length of a logged identifier; longer ones are truncated. */
constexpr size_t kMaxRequestIdLength = 64;

/**
 * @param payload the packet's data.
 * @param header name of the header, case insensitive; empty: disabled.
 * @return the header's value without surrounding whitespace, or empty. Points into the payload.
 */
std::string_view findRequestId(std::string_view payload, std::string_view header);

/** @return the identifier in a form that is safe to log: truncated, and with '?' for characters
 * outside letters, digits and -_.:/ */
std::string printableRequestId(std::string_view id);

}  // namespace umberhold
