/**
 * @file A single HTTP/1.1 call with timeouts; failures are classified by whether the server may
 * have executed the request.
 *
 * Every call uses its own connection. This costs one handshake per call, but calls are rare, and a
 * failure to connect guarantees that nothing was sent.
 */
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "common/base/endpoint.h"
#include "common/base/time.h"
#include "common/platform/platform_store.h"

namespace umberhold {

/** Timeouts and size limit of a call. */
struct CallLimits {
  Duration connect = std::chrono::seconds(1);
  /** From the first byte sent to the last byte received; the long-poll timeout is added to it. */
  Duration answer = std::chrono::seconds(5);
  /** Maximum accepted response size in bytes. */
  size_t answerBytes = 32U << 20U;
};

/** An additional request header. */
struct HttpHeader {
  std::string name;
  std::string value;
};

/** An HTTP request. */
struct HttpCall {
  std::string method;
  /** Path and query, percent-encoded. */
  std::string target;
  std::string body;
  /** How long the server may hold the response back (long polling). */
  Duration longPollTimeout{0};
  std::vector<HttpHeader> headers{};
  /**
   * Maximum time until the response begins, after longPollTimeout, and between two parts of it;
   * unset for CallLimits::answer.
   */
  std::optional<Duration> answerTolerance = std::nullopt;
};

/** The response, whatever its status. */
struct HttpCallAnswer {
  int status = 0;
  std::string body;
  std::optional<Duration> retryAfter;
};

constexpr int kHttpOk = 200;

/**
 * @return the store error for a status other than 200. 500, 502 and 504 may come from a gateway
 * after the change took effect: the response counts as lost.
 */
StoreErrorCode storeErrorOfStatus(int status);

/**
 * Makes the call. A StoreError is kUnavailable (nothing was sent) or kAnswerLost (sent, but no
 * complete response received).
 */
Result<HttpCallAnswer, StoreError> callHttp(const Endpoint& server, const HttpCall& call,
                                            const CallLimits& limits);

}  // namespace umberhold
