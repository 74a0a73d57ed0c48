/** @file The requests and answers inside the flows: enough HTTP to tell them apart and whole. */
#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace umberhold::soak {

/** Header that names a try of a request. */
constexpr const char* kRequestHeader = "Umberhold-Request-Id";

/** One try of a request. */
struct Request {
  /** Of this try alone. */
  uint64_t id = 0;
  /** It may run more than once. */
  bool repeatable = true;
  /** Bytes of the answer's body. */
  uint32_t answerBytes = 0;
};

/** An answer as its caller read it. */
struct Answer {
  uint64_t id = 0;
  std::string service;
  std::string body;
  /** The host turned the request away and did not run it. */
  bool notRun = false;
};

std::string requestText(const Request& request);
std::string answerText(const Request& request, const std::string& service);
/** A host that has enough to do turns the request away: it has not run. */
std::string refusalText(const Request& request);
/** @return the body that an answer to the request must have. */
std::string bodyOf(uint64_t id, uint32_t bytes);

/** Takes a whole request off the front of the text; nothing where it is not complete. */
std::optional<Request> takeRequest(std::string& text);
/** As takeRequest(). */
std::optional<Answer> takeAnswer(std::string& text);

}  // namespace umberhold::soak
