/** @file Evaluates a run by comparing the reports of callers with the records of hosts. No I/O. */
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "standins/backend/host_record.h"
#include "standins/caller/caller_report.h"

namespace umberhold::standins {

/** An unplanned failure of a balancer, a zone or the store. */
struct UnplannedEvent {
  UnixMillis at = 0;
  /** End of the time in which broken flows are attributed to the event. */
  UnixMillis until = 0;
};

/**
 * An unplanned stop of a host, which lost its flows. It accounts only for the flows that were open
 * on the host at that time, and for none if the host's drain had been requested before.
 */
struct HostStop {
  UnixMillis at = 0;
  std::string host;
};

/** Time of an accepted change that requested a host's drain. */
struct DrainEvent {
  UnixMillis at = 0;
  std::string host;
};

/** All records of a run. */
struct RunEvidence {
  std::vector<CallerReport> callers;
  std::vector<HostRecord> hosts;
  std::vector<UnplannedEvent> unplanned;
  std::vector<HostStop> hostStops;
  std::vector<DrainEvent> drains;
  /** Names of hosts excluded from the imbalance: drained, removed, stopped, cold or not yet added.
   */
  std::vector<std::string> unsettledHosts;
};

/** Result for one draining host. */
struct DrainFinding {
  std::string host;
  /** Time from the change that requested the drain to the last new flow on the host. */
  UnixMillis stopMillis = 0;
};

/** Distribution of the open flows of a service over its settled hosts. */
struct ServiceBalance {
  std::string service;
  size_t hosts = 0;
  uint64_t flows = 0;
  std::string busiestHost;
  uint64_t busiestFlows = 0;

  double mean() const { return static_cast<double>(flows) / static_cast<double>(hosts); }
  /** @return flows of the busiest host divided by the mean. */
  double imbalance() const { return static_cast<double>(busiestFlows) / mean(); }
};

/** Result of the evaluation. Counts are over all callers and hosts. */
struct Verdict {
  uint64_t flows = 0;
  uint64_t brokenFlows = 0;
  /** Broken flows that were lost by the unplanned stop of their host. */
  uint64_t brokenFlowsOfStoppedHosts = 0;
  /** Broken flows attributed neither to an unplanned event nor to the stop of their host. */
  uint64_t brokenFlowsPlanned = 0;
  uint64_t misroutedPackets = 0;
  /** Answers with missing parts and requests without an answer. */
  uint64_t incompleteAnswers = 0;
  /**
   * Requests without an answer, and answers with missing parts that are attributed neither to an
   * unplanned event nor to the stop of their host.
   */
  uint64_t incompleteAnswersPlanned = 0;
  /** Requests that ran although they were answered with a status that excludes execution. */
  uint64_t refusedButRun = 0;
  /** Second runs of requests that must not run twice. */
  uint64_t duplicateRuns = 0;
  /** Requests in progress when their flow broke. */
  uint64_t cutRequests = 0;
  /** Those attributed neither to an unplanned event nor to the stop of their host. */
  uint64_t cutRequestsPlanned = 0;
  /** Retransmission timeouts of openings and requests, counted by callers. */
  uint64_t unansweredPackets = 0;
  /** Those outside the times of the unplanned events. */
  uint64_t unansweredPacketsPlanned = 0;
  /** Maximum time in milliseconds for which an open flow waited for an answer without one. */
  std::optional<uint64_t> longestSilenceMillis;
  /** Unsolicited messages that hosts sent. */
  uint64_t pushes = 0;
  /** Those that callers received, each id counted once. */
  uint64_t pushesReceived = 0;
  /** Those that hosts stopped retransmitting, without a receipt, while the flow was open. */
  uint64_t pushesLost = 0;
  /** The broken flows of brokenFlowsPlanned. */
  std::vector<BrokenFlow> plannedBreaks;
  /** One entry for each service that has flows on settled hosts. */
  std::vector<ServiceBalance> balances;
  /** Maximum of DrainFinding::stopMillis. */
  std::optional<UnixMillis> drainStopMillis;
  std::vector<DrainFinding> drains;

  /** @return the maximum of ServiceBalance::imbalance(). */
  std::optional<double> imbalance() const;
  /** @return whether a guarantee that holds during all planned changes is violated. */
  bool promiseBroken() const;
};

/** Maximum time for which a draining host may receive new flows. */
constexpr UnixMillis kDrainStopLimitMillis = 5000;

/** @return the result of the evaluation of a run. */
Verdict judge(const RunEvidence& evidence);

}  // namespace umberhold::standins
