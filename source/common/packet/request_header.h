/**
 * @file The identifier of a request, read from the first bytes of its HTTP/1.1 head.
 *
 * For logs only: nothing is decided by it. A request whose head doesn't begin with the payload, or
 * whose header lies beyond the payload's end, is not found.
 */
#pragma once

#include <string>
#include <string_view>

namespace umberhold {

/** Longest identifier that is logged; a longer one is cut. */
constexpr size_t kMaxRequestIdLength = 64;

/**
 * @param payload the packet's data. @param header name of the header, any case; empty: none.
 * @return the header's value as in the payload, or empty.
 */
std::string_view findRequestId(std::string_view payload, std::string_view header);

/** @return the identifier as it may stand in a line: cut, and '?' for signs that a line can't have.
 */
std::string printableRequestId(std::string_view id);

}  // namespace umberhold
