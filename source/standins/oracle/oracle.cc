#include "standins/oracle/oracle.h"

#include <algorithm>
#include <map>
#include <unordered_map>
#include <unordered_set>

namespace umberhold::standins {
namespace {

bool isDuringUnplannedEvent(const RunEvidence& evidence, UnixMillis at) {
  return std::any_of(
      evidence.unplanned.begin(), evidence.unplanned.end(),
      [at](const UnplannedEvent& event) { return at >= event.at && at <= event.until; });
}

/** @return whether the host's drain had been requested when it stopped. */
bool drainRequestedBefore(const RunEvidence& evidence, const HostStop& stop) {
  return std::any_of(evidence.drains.begin(), evidence.drains.end(), [&](const DrainEvent& drain) {
    return drain.host == stop.host && drain.at <= stop.at;
  });
}

/** @return whether the host recorded the caller's flow as open when it stopped. */
template <class Event>
bool hostRecordedLoss(const RunEvidence& evidence, const std::string& name, const Event& event) {
  for (const HostRecord& host : evidence.hosts) {
    if (host.host != name) {
      continue;
    }
    for (const LostFlow& flow : host.lostFlows) {
      if (flow.caller == event.caller && flow.at >= event.openedAt && flow.at <= event.at) {
        return true;
      }
    }
  }
  return false;
}

/**
 * @return whether the flow was open on the stopped host. A caller's record names the host only
 * after the first answer; before that, the host's own record decides.
 */
template <class Event>
bool wasOpenOn(const RunEvidence& evidence, const HostStop& stop, const Event& event) {
  if (event.host.empty()) {
    return hostRecordedLoss(evidence, stop.host, event);
  }
  return event.host == stop.host && event.openedAt <= stop.at && stop.at <= event.at;
}

/** @return whether the flow's host stopped without a drain while the flow was open on it. */
template <class Event>
bool wasLostWithHost(const RunEvidence& evidence, const Event& event) {
  return std::any_of(
      evidence.hostStops.begin(), evidence.hostStops.end(), [&](const HostStop& stop) {
        return wasOpenOn(evidence, stop, event) && !drainRequestedBefore(evidence, stop);
      });
}

/** @return whether an unplanned event or the stop of the flow's host accounts for the loss. */
template <class Event>
bool isAttributed(const RunEvidence& evidence, const Event& event) {
  return isDuringUnplannedEvent(evidence, event.at) || wasLostWithHost(evidence, event);
}

void judgeFlow(const RunEvidence& evidence, const BrokenFlow& flow, Verdict& verdict) {
  ++verdict.brokenFlows;
  verdict.brokenFlowsOfStoppedHosts += wasLostWithHost(evidence, flow) ? 1 : 0;
  if (!isAttributed(evidence, flow)) {
    ++verdict.brokenFlowsPlanned;
    verdict.plannedBreaks.push_back(flow);
  }
}

void judgeFlows(const RunEvidence& evidence, Verdict& verdict) {
  for (const CallerReport& report : evidence.callers) {
    verdict.flows += report.establishedFlows;
    for (const BrokenFlow& flow : report.broken) {
      judgeFlow(evidence, flow, verdict);
    }
  }
}

void judgeRequests(const RunEvidence& evidence, Verdict& verdict) {
  for (const CallerReport& report : evidence.callers) {
    verdict.incompleteAnswers += report.outstandingRequests;
    verdict.incompleteAnswersPlanned += report.outstandingRequests;
    verdict.cutRequests += report.cut.size();
    for (const CutRequest& request : report.cut) {
      const uint64_t planned = isAttributed(evidence, request) ? 0 : 1;
      verdict.cutRequestsPlanned += planned;
      verdict.incompleteAnswers += request.partial ? 1 : 0;
      verdict.incompleteAnswersPlanned += request.partial ? planned : 0;
    }
  }
}

void judgeSilence(const RunEvidence& evidence, Verdict& verdict) {
  for (const CallerReport& report : evidence.callers) {
    verdict.unansweredPackets += report.unansweredAt.size();
    for (const UnixMillis at : report.unansweredAt) {
      verdict.unansweredPacketsPlanned += isDuringUnplannedEvent(evidence, at) ? 0 : 1;
    }
    verdict.longestSilenceMillis =
        std::max(verdict.longestSilenceMillis.value_or(0), report.longestSilenceMillis);
  }
}

void judgePushes(const RunEvidence& evidence, Verdict& verdict) {
  for (const HostRecord& host : evidence.hosts) {
    verdict.pushes += host.counters.pushes.sent;
    verdict.pushesLost += host.counters.pushes.lost;
  }
  for (const CallerReport& report : evidence.callers) {
    verdict.pushesReceived += report.pushes;
  }
}

void judgeRuns(const RunEvidence& evidence, Verdict& verdict) {
  std::unordered_map<uint64_t, uint64_t> runs;
  for (const HostRecord& host : evidence.hosts) {
    verdict.misroutedPackets += host.counters.misroutedPackets;
    for (const RunRecord& run : host.runs) {
      ++runs[run.requestId];
    }
  }
  for (const CallerReport& report : evidence.callers) {
    for (const uint64_t id : report.refusedIds) {
      verdict.refusedButRun += runs.contains(id) ? 1 : 0;
    }
    for (const uint64_t id : report.singleRunIds) {
      const auto found = runs.find(id);
      verdict.duplicateRuns += found == runs.end() ? 0 : found->second - 1;
    }
  }
}

bool isSettled(const RunEvidence& evidence, const HostRecord& host) {
  const auto& unsettled = evidence.unsettledHosts;
  return std::find(unsettled.begin(), unsettled.end(), host.host) == unsettled.end();
}

uint64_t openFlowsOf(const RunEvidence& evidence, const std::string& host) {
  uint64_t flows = 0;
  for (const CallerReport& report : evidence.callers) {
    const auto found = report.openFlowsByHost.find(host);
    flows += found == report.openFlowsByHost.end() ? 0 : found->second;
  }
  return flows;
}

void judgeBalances(const RunEvidence& evidence, Verdict& verdict) {
  std::map<std::string, ServiceBalance> balances;
  for (const HostRecord& host : evidence.hosts) {
    if (!isSettled(evidence, host)) {
      continue;
    }
    ServiceBalance& balance = balances[host.service];
    balance.service = host.service;
    const uint64_t flows = openFlowsOf(evidence, host.host);
    balance.flows += flows;
    if (balance.hosts++ == 0 || flows > balance.busiestFlows) {
      balance.busiestFlows = flows;
      balance.busiestHost = host.host;
    }
  }
  for (const auto& [service, balance] : balances) {
    if (balance.flows > 0) {
      verdict.balances.push_back(balance);
    }
  }
}

void judgeDrains(const RunEvidence& evidence, Verdict& verdict) {
  for (const DrainEvent& drain : evidence.drains) {
    for (const HostRecord& host : evidence.hosts) {
      if (host.host == drain.host) {
        const UnixMillis stopMillis =
            std::max<UnixMillis>(0, host.counters.lastOpenedAt - drain.at);
        verdict.drains.push_back(DrainFinding{drain.host, stopMillis});
        verdict.drainStopMillis = std::max(verdict.drainStopMillis.value_or(0), stopMillis);
      }
    }
  }
}

}  // namespace

std::optional<double> Verdict::imbalance() const {
  std::optional<double> maxImbalance;
  for (const ServiceBalance& balance : balances) {
    maxImbalance = std::max(maxImbalance.value_or(0), balance.imbalance());
  }
  return maxImbalance;
}

bool Verdict::promiseBroken() const {
  const bool drainTooSlow = drainStopMillis.value_or(0) > kDrainStopLimitMillis;
  const bool flowOrAnswerLost =
      brokenFlowsPlanned > 0 || cutRequestsPlanned > 0 || incompleteAnswersPlanned > 0;
  const bool deliveredOrRunWrongly = misroutedPackets > 0 || refusedButRun > 0 || duplicateRuns > 0;
  return flowOrAnswerLost || deliveredOrRunWrongly || drainTooSlow;
}

Verdict judge(const RunEvidence& evidence) {
  Verdict verdict;
  judgeFlows(evidence, verdict);
  judgeRequests(evidence, verdict);
  judgeSilence(evidence, verdict);
  judgePushes(evidence, verdict);
  judgeRuns(evidence, verdict);
  judgeBalances(evidence, verdict);
  judgeDrains(evidence, verdict);
  return verdict;
}

}  // namespace umberhold::standins
