/** @file Requests and answers that emulated callers and hosts exchange inside their flows. */
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

#include "common/base/result.h"

namespace umberhold::standins {

/** Milliseconds since the Unix epoch; comparable because all stand-ins of a run share a machine. */
using UnixMillis = int64_t;

/** @return the system clock's time. */
UnixMillis currentMillis();

/** One request; it may arrive more than once because the caller retransmits until an answer. */
struct Request {
  /** Unique in a run. */
  uint64_t id = 0;
  /** Whether the caller may retry it on a second flow. */
  bool repeatable = true;
  /** Time at which the caller gives up; the host does not start the request later. */
  UnixMillis deadline = 0;
  /** Number of segments of the answer. */
  uint16_t answerParts = 1;
  /** Host that answered earlier in this flow; empty if the request started
   * before the first answer. */
  std::string expectedHost;
};

/** Cancels a request that the host has not started. */
struct Cancellation {
  uint64_t id = 0;
};

/** Outcome of a request at its host. */
enum class AnswerStatus : uint8_t {
  kDone = 0,
  /** Shed before it ran: the host's queue is full. */
  kShed = 1,
  /** Not run: its deadline passed while it waited. */
  kExpired = 2,
  /** Not run: the caller cancelled it in time. */
  kCancelled = 3,
  /** Not run: the host has no such flow. */
  kUnknownFlow = 4,
};

/** One segment of an answer. */
struct Answer {
  uint64_t id = 0;
  AnswerStatus status = AnswerStatus::kDone;
  /** Index of this segment, from 0. */
  uint16_t part = 0;
  uint16_t parts = 1;
  /** Name of the host that answers. */
  std::string host;
  /** Minimum delay before the caller of a shed request may retry; 0: none. */
  uint32_t retryAfterMillis = 0;
};

/** Unsolicited message of the host on an open flow; retransmitted until acknowledged. */
struct Push {
  /** Unique among the pushes of its host. */
  uint64_t id = 0;
  std::string host;
};

/** Acknowledges a push. */
struct PushReceipt {
  uint64_t id = 0;
};

/** Content of one payload. */
using ExchangeMessage = std::variant<Request, Cancellation, Answer, Push, PushReceipt>;

/** Why a payload can't be decoded. */
enum class ExchangeError : uint8_t { kMalformed, kUnknownKind };

/** @return the msgpack encoding. */
std::string encodeExchange(const ExchangeMessage& message);

/** Decodes the message in the payload. */
Result<ExchangeMessage, ExchangeError> decodeExchange(std::string_view payload);

}  // namespace umberhold::standins
