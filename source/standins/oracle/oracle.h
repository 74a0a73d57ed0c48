/** @file Judges a run: compares what callers saw with what hosts ran. No I/O. */
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "standins/backend/host_record.h"
#include "standins/caller/caller_report.h"

namespace umberhold::standins {

/** Something that happened to a balancer, a zone or the store without a plan. */
struct UnplannedEvent {
  UnixMillis at = 0;
  /** Flows that break until then may be due to the event. */
  UnixMillis until = 0;
};

/**
 * A host that stopped without a warning and lost its flows. It excuses the flows that it held then,
 * and no others; a host whose drain had been asked for before excuses none.
 */
struct HostStop {
  UnixMillis at = 0;
  std::string host;
};

/** When an accepted change asked for a host's drain. */
struct DrainEvent {
  UnixMillis at = 0;
  std::string host;
};

/** Everything that a run left behind. */
struct RunEvidence {
  std::vector<CallerReport> callers;
  std::vector<HostRecord> hosts;
  std::vector<UnplannedEvent> unplanned;
  std::vector<HostStop> hostStops;
  std::vector<DrainEvent> drains;
  /** Hosts that do not count for the imbalance: drained, removed, stopped, cold or not yet added.
   */
  std::vector<std::string> unsettledHosts;
};

/** How long one draining host went on receiving new flows. */
struct DrainFinding {
  std::string host;
  UnixMillis stopMillis = 0;
};

/** How the open flows of one service lie on its settled hosts. */
struct ServiceBalance {
  std::string service;
  size_t hosts = 0;
  uint64_t flows = 0;
  std::string busiestHost;
  uint64_t busiestFlows = 0;

  double mean() const { return static_cast<double>(flows) / static_cast<double>(hosts); }
  /** Flows of the busiest host over the mean. */
  double imbalance() const { return static_cast<double>(busiestFlows) / mean(); }
};

/** The judgement. Counts are over all callers and hosts. */
struct Verdict {
  uint64_t flows = 0;
  uint64_t brokenFlows = 0;
  /** Broken flows that went down with their own host. */
  uint64_t brokenFlowsOfStoppedHosts = 0;
  /** Broken flows that neither an unplanned event nor their stopped host explains. */
  uint64_t brokenFlowsPlanned = 0;
  uint64_t misroutedPackets = 0;
  /** Answers of which parts are missing, and requests that never got an answer. */
  uint64_t incompleteAnswers = 0;
  /** Those of them that no unplanned event explains. */
  uint64_t incompleteAnswersPlanned = 0;
  /** Requests that ran although their answer said that they did not. */
  uint64_t refusedButRun = 0;
  /** Second runs of requests that must not run twice. */
  uint64_t duplicateRuns = 0;
  /** Requests in progress when their flow broke. */
  uint64_t cutRequests = 0;
  /** Those of them that no unplanned event explains. */
  uint64_t cutRequestsPlanned = 0;
  /** Packets of callers that had no answer when their repeat was due. */
  uint64_t unansweredPackets = 0;
  /** Those of them that no unplanned event explains. */
  uint64_t unansweredPacketsPlanned = 0;
  /** Longest time in milliseconds that an open flow waited for an answer and heard nothing. */
  std::optional<uint64_t> longestSilenceMillis;
  /** Messages that hosts sent unasked. */
  uint64_t pushes = 0;
  /** Those of them that callers counted, each once by its id. */
  uint64_t pushesReceived = 0;
  /** Those of them that hosts gave up while the flow was open. */
  uint64_t pushesLost = 0;
  /** The broken flows of brokenFlowsPlanned. */
  std::vector<BrokenFlow> plannedBreaks;
  /** One entry for each service that has flows on settled hosts. */
  std::vector<ServiceBalance> balances;
  /** From the change to the last new flow on the drained host; the slowest host counts. */
  std::optional<UnixMillis> drainStopMillis;
  std::vector<DrainFinding> drains;

  /** @return flows of the busiest host over the mean of its service; the worst service counts. */
  std::optional<double> imbalance() const;
  /** @return whether a promise that holds through every planned change is broken. */
  bool promiseBroken() const;
};

/** Longest time that a draining host may go on receiving new flows. */
constexpr UnixMillis kDrainStopLimitMillis = 5000;

/** @return the judgement on a run. */
Verdict judge(const RunEvidence& evidence);

}  // namespace umberhold::standins
