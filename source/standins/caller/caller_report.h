/** @file Counts and events that a caller process recorded; input of the oracle. */
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "common/base/endpoint.h"
#include "standins/common/exchange_message.h"

namespace umberhold::standins {

/** Why a flow counts as broken. */
enum class BreakReason : uint8_t {
  /** RST, ICMP unreachable or status "unknown flow" on an established flow. */
  kReset = 0,
  /** An answer or push came from a host other than the flow's. */
  kOtherHost = 1,
  /** No answer after all retransmissions. */
  kSilence = 2,
};

/** One broken flow. */
struct BrokenFlow {
  UnixMillis at = 0;
  BreakReason reason = BreakReason::kReset;
  std::string service;
  std::string host;
  Endpoint caller;
  /** When the flow was established. */
  UnixMillis openedAt = 0;
};

/** One request that was in progress when its flow ended. */
struct CutRequest {
  UnixMillis at = 0;
  uint64_t requestId = 0;
  std::string service;
  std::string host;
  /** Whether a part of the answer had arrived. */
  bool partial = false;
  Endpoint caller;
  /** When the request's flow was established. */
  UnixMillis openedAt = 0;
};

/** Counts and events of all flows of one caller process. */
struct CallerReport {
  uint64_t openedFlows = 0;
  uint64_t establishedFlows = 0;
  uint64_t openFlows = 0;
  uint64_t endedFlows = 0;
  /** Openings that were answered by RST or ICMP unreachable. */
  uint64_t refusedOpenings = 0;
  /** Openings without an answer. */
  uint64_t unansweredOpenings = 0;
  uint64_t requests = 0;
  uint64_t answers = 0;
  uint64_t shedRequests = 0;
  uint64_t expiredRequests = 0;
  uint64_t cancelledRequests = 0;
  /** Retransmitted openings and requests. */
  uint64_t repeatedPackets = 0;
  /** Unsolicited messages received from hosts, each id counted once. */
  uint64_t pushes = 0;
  /** Requests that reached their first retransmission timeout. */
  uint64_t delayedRequests = 0;
  /** Maximum time in milliseconds for which an open flow waited for an answer without one. */
  uint64_t longestSilenceMillis = 0;
  uint64_t unexpectedPackets = 0;
  /** Requests that were unanswered when the report was created. */
  uint64_t outstandingRequests = 0;
  /** Open flows by host; counted by callers because hosts can't detect the end of a UDP flow. */
  std::map<std::string, uint64_t> openFlowsByHost;
  std::vector<BrokenFlow> broken;
  std::vector<CutRequest> cut;
  /** Requests that were answered with a status that excludes execution. */
  std::vector<uint64_t> refusedIds;
  /** Requests that must not run twice. */
  std::vector<uint64_t> singleRunIds;
  /** Times at which an opening, a request or its retransmission reached its timeout unanswered. */
  std::vector<UnixMillis> unansweredAt;
};

/** @return the report as a JSON object. */
std::string toJson(const CallerReport& report);

/** Why a text can't be parsed as a report. */
enum class ReportError : uint8_t { kMalformed };

/** Parses the output of toJson(). */
Result<CallerReport, ReportError> reportFromJson(const std::string& text);

}  // namespace umberhold::standins
