/** @file Requests and answers inside the flows: a minimal subset of HTTP. */
#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace umberhold::soak {

/** Header with the id of one try of a request. */
constexpr const char* kRequestHeader = "Umberhold-Request-Id";

/** One try of a request. */
struct Request {
  /** Unique per try. */
  uint64_t id = 0;
  /** Whether it may run more than once. */
  bool repeatable = true;
  /** Length of the answer's body in bytes. */
  uint32_t answerBytes = 0;
};

/** An answer as parsed by its caller. */
struct Answer {
  uint64_t id = 0;
  std::string service;
  std::string body;
  /** Whether the host rejected the request without running it. */
  bool notRun = false;
};

std::string requestText(const Request& request);
std::string answerText(const Request& request, const std::string& service);
/** @return the answer of a host at capacity, which rejects the request without running it. */
std::string rejectionText(const Request& request);
/** @return the expected body of the answer to a request. */
std::string bodyOf(uint64_t id, uint32_t bytes);

/** Removes and returns a complete request from the front of the text; nothing if incomplete. */
std::optional<Request> extractRequest(std::string& text);
/** Like extractRequest(), for answers. */
std::optional<Answer> extractAnswer(std::string& text);

}  // namespace umberhold::soak
