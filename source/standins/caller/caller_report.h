/** @file What a caller saw, for the oracle. */
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
  /** RST, an unreachable, or "unknown flow" in the middle of a flow. */
  kReset = 0,
  /** Another host answered than the one that holds the flow. */
  kOtherHost = 1,
  /** No answer in spite of all repeats. */
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
  /** Openings that were answered by RST or an unreachable. */
  uint64_t refusedOpenings = 0;
  /** Openings that nobody answered. */
  uint64_t unansweredOpenings = 0;
  uint64_t requests = 0;
  uint64_t answers = 0;
  uint64_t shedRequests = 0;
  uint64_t expiredRequests = 0;
  uint64_t cancelledRequests = 0;
  uint64_t repeatedPackets = 0;
  /** Messages that hosts sent unasked, each counted once by its id. */
  uint64_t pushes = 0;
  /** Requests of which at least one packet stayed unanswered until its repeat was due. */
  uint64_t delayedRequests = 0;
  /** Longest time in milliseconds that an open flow waited for an answer and heard nothing. */
  uint64_t longestSilenceMillis = 0;
  uint64_t unexpectedPackets = 0;
  /** Requests of one flow that were still unanswered when the report was made. */
  uint64_t outstandingRequests = 0;
  /** Open flows of each host that answered; hosts can't tell which UDP flows have ended. */
  std::map<std::string, uint64_t> openFlowsByHost;
  std::vector<BrokenFlow> broken;
  std::vector<CutRequest> cut;
  /** Requests whose answer said that they did not and will not run. */
  std::vector<uint64_t> refusedIds;
  /** Requests that must not run twice. */
  std::vector<uint64_t> singleRunIds;
  /** When it was noticed that a packet of a flow (opening, request or its repeat) had no answer. */
  std::vector<UnixMillis> unansweredAt;
};

/** @return the report as a JSON object. */
std::string toJson(const CallerReport& report);

/** Why a text is no report. */
enum class ReportError : uint8_t { kMalformed };

/** @return the report that toJson wrote. */
Result<CallerReport, ReportError> reportFromJson(const std::string& text);

}  // namespace umberhold::standins
