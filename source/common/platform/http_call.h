/**
 * @file One HTTP/1.1 call with time limits, classified by whether the server may have run it.
 *
 * Every call uses a connection of its own. That costs a handshake on a rare call, and in return a
 * failure to connect definitely means that nothing was sent.
 */
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "common/base/endpoint.h"
#include "common/base/time.h"
#include "common/platform/platform_store.h"

namespace umberhold {

/** Time limits of a call. */
struct CallLimits {
  Duration connect = std::chrono::seconds(1);
  /** From the first byte sent to the last byte received, the patience of a watch not counted. */
  Duration answer = std::chrono::seconds(5);
  /** Longest accepted answer, bytes. */
  size_t answerBytes = 32U << 20U;
};

/** A header beyond those that every call has. */
struct HttpHeader {
  std::string name;
  std::string value;
};

/** What to ask. */
struct HttpCall {
  std::string method;
  /** Path with query, escaped. */
  std::string target;
  std::string body;
  /** Time that the server is expected to hold the answer back (long poll). */
  Duration longPollTimeout{0};
  std::vector<HttpHeader> headers{};
};

/** What came back, whatever its status. */
struct HttpCallAnswer {
  int status = 0;
  std::string body;
  std::optional<Duration> retryAfter;
};

constexpr int kHttpOk = 200;

/**
 * @return what a status other than 200 says of a call to a store. 500, 502 and 504 may come from a
 * gateway after the change took effect: the answer counts as lost.
 */
StoreErrorCode storeErrorOfStatus(int status);

/** Calls; a StoreError is kUnavailable (nothing sent) or kAnswerLost (sent, no whole answer). */
Result<HttpCallAnswer, StoreError> callHttp(const Endpoint& server, const HttpCall& call,
                                            const CallLimits& limits);

}  // namespace umberhold
