#include "summary.h"

#include <Poco/Dynamic/Var.h>
#include <Poco/JSON/Object.h>

#include <cmath>
#include <iomanip>
#include <map>
#include <sstream>

namespace umberhold::experiment {
namespace {

constexpr int kNameWidth = 34;

Poco::JSON::Object figuresOf(const SummaryHeader& header, const ExperimentResult& result) {
  constexpr int kHundredths = 100;
  const auto set = [](Poco::JSON::Object& object, const char* key, const auto& value) {
    if (value) {
      object.set(key, std::round(static_cast<double>(*value) * kHundredths) / kHundredths);
    } else {
      object.set(key, Poco::Dynamic::Var());
    }
  };
  const standins::Verdict& verdict = result.verdict;
  Poco::JSON::Object object(Poco::JSON_PRESERVE_KEY_ORDER);
  object.set("experiment", header.experiment);
  object.set("strategy", header.strategy);
  object.set("flows", verdict.flows);
  object.set("broken_flows", verdict.brokenFlows);
  object.set("broken_flows_stopped_hosts", verdict.brokenFlowsOfStoppedHosts);
  object.set("broken_flows_planned", verdict.brokenFlowsPlanned);
  object.set("misrouted_packets", verdict.misroutedPackets);
  object.set("incomplete_answers", verdict.incompleteAnswers);
  object.set("refused_but_run", verdict.refusedButRun);
  object.set("duplicate_runs", verdict.duplicateRuns);
  object.set("cut_requests", verdict.cutRequests);
  object.set("unanswered_packets", verdict.unansweredPackets);
  object.set("unanswered_packets_planned", verdict.unansweredPacketsPlanned);
  object.set("delayed_requests", result.totals.delayedRequests);
  object.set("pushes", verdict.pushes);
  object.set("pushes_received", verdict.pushesReceived);
  object.set("pushes_lost", verdict.pushesLost);
  set(object, "longest_silence_ms", verdict.longestSilenceMillis);
  set(object, "imbalance", verdict.imbalance());
  set(object, "drain_stop_ms", verdict.drainStopMillis);
  set(object, "config_in_force_ms", result.configInForceMillis);
  set(object, "config_reverts", result.nodes.configReverts);
  set(object, "keys_not_taken", result.keysNotTaken);
  object.set("lost_changes", result.lostChanges);
  object.set("evidence_complete", result.evidenceComplete);
  set(object, "control_bytes_per_node_s", result.nodes.controlBytesPerNodeSecond);
  set(object, "control_cpu_percent", result.nodes.controlCpuPercent);
  set(object, "rss_mb_max", result.nodes.peakMemoryMegabytes);
  object.set("seed", header.seed);
  object.set("owner_relay", header.ownerRelay);
  Poco::JSON::Object byService(Poco::JSON_PRESERVE_KEY_ORDER);
  for (const standins::ServiceBalance& balance : verdict.balances) {
    set(byService, balance.service.c_str(), std::optional<double>(balance.imbalance()));
  }
  object.set("imbalance_by_service", byService);
  Poco::JSON::Object refused(Poco::JSON_PRESERVE_KEY_ORDER);
  for (const auto& [reason, count] : result.nodes.refusedDatagrams) {
    refused.set(reason, count);
  }
  object.set("refused_datagrams", refused);
  return object;
}

void printRow(std::ostream& out, const std::string& name, const std::string& value) {
  out << "  " << std::left << std::setw(kNameWidth) << name << value << "\n";
}

void printBalances(std::ostream& out, const standins::Verdict& verdict) {
  for (const standins::ServiceBalance& balance : verdict.balances) {
    std::ostringstream text;
    text << std::fixed << std::setprecision(2) << balance.imbalance() << " (" << balance.busiestHost
         << " " << balance.busiestFlows << ", mean " << balance.mean() << " on " << balance.hosts
         << " hosts)";
    printRow(out, "imbalance of " + balance.service, text.str());
  }
}

const char* describe(standins::BreakReason reason) {
  switch (reason) {
    case standins::BreakReason::kReset:
      return "reset";
    case standins::BreakReason::kOtherHost:
      return "answered by another host";
    case standins::BreakReason::kSilence:
      return "no answer";
  }
  return "?";
}

void printPlannedBreaks(std::ostream& out, const standins::Verdict& verdict) {
  std::map<std::string, uint64_t> countByKind;
  for (const standins::BrokenFlow& flow : verdict.plannedBreaks) {
    ++countByKind[flow.service + " " + (flow.host.empty() ? "(no host yet)" : flow.host) + ": " +
                  describe(flow.reason)];
  }
  for (const auto& [kind, count] : countByKind) {
    printRow(out, "broken, not explained", std::to_string(count) + " of " + kind);
  }
}

}  // namespace

void printTable(std::ostream& out, const SummaryHeader& header, const ExperimentResult& result) {
  const Poco::JSON::Object figures = figuresOf(header, result);
  std::vector<std::string> names;
  figures.getNames(names);
  for (const std::string& name : names) {
    const Poco::Dynamic::Var value = figures.get(name);
    printRow(out, name, value.isEmpty() ? "not measured" : value.convert<std::string>());
  }
  const standins::CallerReport& totals = result.totals;
  printRow(out, "requests", std::to_string(totals.requests));
  printRow(out, "complete answers", std::to_string(totals.answers));
  printRow(out, "shed / expired / cancelled",
           std::to_string(totals.shedRequests) + " / " + std::to_string(totals.expiredRequests) +
               " / " + std::to_string(totals.cancelledRequests));
  printRow(out, "refused openings", std::to_string(totals.refusedOpenings));
  printRow(out, "unanswered openings", std::to_string(totals.unansweredOpenings));
  printRow(out, "repeated packets", std::to_string(totals.repeatedPackets));
  printRow(out, "planned cuts / incomplete answers",
           std::to_string(result.verdict.cutRequestsPlanned) + " / " +
               std::to_string(result.verdict.incompleteAnswersPlanned));
  printBalances(out, result.verdict);
  printPlannedBreaks(out, result.verdict);
  for (const auto& [messageClass, bytes] : result.nodes.controlBytesByClass) {
    printRow(out, "control bytes: " + messageClass,
             std::to_string(std::lround(bytes)) + " B/s a node");
  }
  for (const standins::DrainFinding& drain : result.verdict.drains) {
    printRow(out, "last new flow on " + drain.host, std::to_string(drain.stopMillis) + " ms");
  }
  printRow(out, "changes not accepted", std::to_string(result.failedChanges));
  printRow(out, "promises", result.promiseBroken() ? "BROKEN" : "kept");
}

std::string toJsonLine(const SummaryHeader& header, const ExperimentResult& result) {
  std::ostringstream line;
  figuresOf(header, result).stringify(line);
  return line.str();
}

}  // namespace umberhold::experiment
