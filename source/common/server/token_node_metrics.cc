#include "common/server/token_node_metrics.h"

#include "common/server/admission_metrics.h"

#include <prometheus/text_serializer.h>

namespace umberhold {
namespace {

using prometheus::MetricFamily;
using prometheus::MetricType;
using Families = std::vector<MetricFamily>;

MetricFamily histogramFamily(std::string name, std::string help,
                             const prometheus::Histogram& histogram) {
  MetricFamily family;
  family.type = MetricType::Histogram;
  family.name = std::move(name);
  family.help = std::move(help);
  family.metric.push_back(histogram.Collect());
  return family;
}

MetricFamily silenceFamily(const SilenceCounters& counters) {
  MetricFamilyBuilder family = counterFamily(
      "umberhold_silent_hosts_total", "Verdicts on silent hosts, by outcome and by whose callers");
  forEachValue<SilenceOutcome>([&](SilenceOutcome outcome, size_t row) {
    forEachValue<SilenceSource>([&](SilenceSource source, size_t column) {
      family.add(static_cast<double>(counters[row][column]),
                 {metricLabel("outcome", toString(outcome)), metricLabel("by", toString(source))});
    });
  });
  return family.take();
}

void addFlows(const FlowLogCounters& flows, Families& families) {
  MetricFamilyBuilder opened =
      counterFamily("umberhold_opened_flows_total", "New flows that got a host");
  for (const auto& [pool, count] : flows.openedByPool) {
    opened.add(static_cast<double>(count.ownZone),
               {metricLabel("pool", pool), metricLabel("zone", "own")});
    opened.add(static_cast<double>(count.otherZone),
               {metricLabel("pool", pool), metricLabel("zone", "other")});
  }
  families.push_back(opened.take());
  MetricFamilyBuilder overflowed =
      counterFamily("umberhold_overflowed_flows_total",
                    "New flows that another part of their split took for lack of room, by the pool "
                    "that was due and the one that took them");
  for (const auto& [pair, count] : flows.overflowed) {
    overflowed.add(static_cast<double>(count),
                   {metricLabel("from", pair.from), metricLabel("to", pair.to)});
  }
  families.push_back(overflowed.take());
  MetricFamilyBuilder refused =
      counterFamily("umberhold_refused_flows_total", "Packets answered with a reset, by reason");
  forEachValue<RefusalReason>([&](RefusalReason reason, size_t index) {
    refused.add(static_cast<double>(flows.refused[index]),
                {metricLabel("reason", toString(reason))});
  });
  families.push_back(refused.take());
  MetricFamilyBuilder reset =
      counterFamily("umberhold_reset_flows_total",
                    "Flows of dead hosts that were reset without a packet of theirs, by reason");
  forEachValue<RefusalReason>([&](RefusalReason reason, size_t index) {
    reset.add(static_cast<double>(flows.reset[index]), {metricLabel("reason", toString(reason))});
  });
  families.push_back(reset.take());
  families.push_back(counterOf("umberhold_repeated_openings_total",
                               "Openings whose earlier copy a host left unanswered",
                               static_cast<double>(flows.repeatedOpenings)));
  families.push_back(counterOf("umberhold_requests_total", "Heads of requests that went by",
                               static_cast<double>(flows.requests)));
  families.push_back(counterOf("umberhold_caller_resets_total", "Resets that callers sent",
                               static_cast<double>(flows.callerResets)));
}

void addLog(const TokenNodeMetrics& metrics, Families& families) {
  MetricFamilyBuilder suppressed =
      counterFamily("umberhold_log_lines_suppressed_total", "Lines beyond their kind's budget");
  forEachValue<LineKind>([&](LineKind kind, size_t) {
    suppressed.add(static_cast<double>(metrics.lines.suppressed(kind)),
                   {metricLabel("kind", toString(kind))});
  });
  families.push_back(suppressed.take());
  families.push_back(
      counterFamily("umberhold_log_lines_total", "Lines by whether the output had room for them")
          .add(static_cast<double>(metrics.output.accepted), {metricLabel("result", "taken")})
          .add(static_cast<double>(metrics.output.dropped), {metricLabel("result", "lost")})
          .take());
}

void addStore(const TokenNodeMetrics& metrics, Families& families) {
  if (!metrics.store) {
    return;
  }
  const StoreReadStatus& store = *metrics.store;
  families.push_back(
      counterFamily("umberhold_store_calls_total", "Calls to the store by outcome")
          .add(static_cast<double>(store.lists), {metricLabel("outcome", "listed")})
          .add(static_cast<double>(store.watches), {metricLabel("outcome", "watched")})
          .add(static_cast<double>(store.failures), {metricLabel("outcome", "failed")})
          .add(static_cast<double>(store.overdueCalls), {metricLabel("outcome", "overdue")})
          .take());
  families.push_back(counterOf("umberhold_store_objects_unreadable_total",
                               "Objects that could not be understood and have no effect",
                               static_cast<double>(store.unreadable)));
  families.push_back(
      counterFamily("umberhold_peer_questions_total", "Questions to and from peers by outcome")
          .add(static_cast<double>(store.peerConfirmations), {metricLabel("outcome", "confirmed")})
          .add(static_cast<double>(store.peerFailures), {metricLabel("outcome", "failed")})
          .add(static_cast<double>(store.answeredPeerRequests),
               {metricLabel("outcome", "answered")})
          .take());
  families.push_back(
      counterFamily("umberhold_peer_answer_bytes_total",
                    "Bytes of answers to peers before HTTP headers, by what they contain")
          .add(static_cast<double>(store.answeredChangesBytes), {metricLabel("kind", "changes")})
          .add(static_cast<double>(store.answeredHostsBytes), {metricLabel("kind", "hosts")})
          .add(static_cast<double>(store.answeredConfigurationBytes),
               {metricLabel("kind", "configuration")})
          .take());
  families.push_back(
      counterOf("umberhold_host_copies_total",
                "How often all hosts were encoded for peers that were too far behind",
                static_cast<double>(store.hostCopies)));
  families.push_back(gaugeOf("umberhold_reads_store",
                             "1 where this node reads the store, 0 where it follows a peer",
                             store.readsStore ? 1 : 0));
  families.push_back(
      gaugeOf("umberhold_store_failing", "1 while calls to the store fail", store.failing ? 1 : 0));
  if (store.lastAnswerAt) {
    families.push_back(gaugeOf("umberhold_store_answer_age_seconds",
                               "Time since the store last answered",
                               secondsOf(metrics.now - *store.lastAnswerAt)));
  }
  if (store.configurationVersion != 0) {
    families.push_back(gaugeOf("umberhold_config_version",
                               "The operator's version of the configuration in force",
                               static_cast<double>(store.configurationVersion)));
    families.push_back(gaugeOf("umberhold_config_age_seconds",
                               "Time since the configuration in force was read",
                               secondsOf(metrics.now - store.configurationReadAt)));
  }
}

MetricFamily reportFamily(const ReportCounters& reports) {
  MetricFamilyBuilder family =
      counterFamily("umberhold_host_reports_total", "What peers reported of hosts, by outcome");
  forEachValue<ReportOutcome>([&](ReportOutcome outcome, size_t index) {
    family.add(static_cast<double>(reports[index]), {metricLabel("outcome", toString(outcome))});
  });
  return family.take();
}

MetricFamily portFamily(const UdpCounters& port) {
  return counterFamily("umberhold_udp_failures_total",
                       "Datagrams that a port could not send or take")
      .add(static_cast<double>(port.sendFailures),
           {metricLabel("port", "data"), metricLabel("failure", "not_sent")})
      .add(static_cast<double>(port.tooLong),
           {metricLabel("port", "data"), metricLabel("failure", "too_long")})
      .take();
}

void addSpeeds(const SpeedSummary& speeds, Families& families) {
  families.push_back(gaugeOf("umberhold_known_speeds", "Hosts whose speed is learnt",
                             static_cast<double>(speeds.known)));
  families.push_back(gaugeOf("umberhold_slow_hosts",
                             "Hosts that do less than half of the usual work in the same time",
                             static_cast<double>(speeds.slow)));
  families.push_back(gaugeOf("umberhold_lowest_speed",
                             "Slowest host's work in the same time, as a multiple of the usual",
                             speeds.lowest));
  families.push_back(gaugeOf("umberhold_highest_speed",
                             "Fastest host's work in the same time, as a multiple of the usual",
                             speeds.highest));
}

}  // namespace

prometheus::Histogram makePacketTimes() {
  return prometheus::Histogram({0.00002, 0.00005, 0.0001, 0.0002, 0.0005, 0.001, 0.005, 0.02, 0.1});
}

prometheus::Histogram makeChangeTimes() {
  return prometheus::Histogram({0.001, 0.005, 0.02, 0.1, 0.5, 1.0, 3.0});
}

std::string renderMetrics(const TokenNodeMetrics& metrics, const ProcessUsage& usage) {
  Families families;
  families.push_back(gaugeOf("umberhold_ready", "1 where the node takes packets", metrics.ready));
  families.push_back(
      gaugeOf("umberhold_services", "Services in force", static_cast<double>(metrics.services)));
  families.push_back(
      gaugeOf("umberhold_hosts", "Hosts that some pool lists", static_cast<double>(metrics.hosts)));
  families.push_back(gaugeOf("umberhold_evacuated_zones",
                             "Zones that an operator has emptied: their hosts get no new flow",
                             static_cast<double>(metrics.evacuatedZones)));
  families.push_back(gaugeOf("umberhold_cold_hosts",
                             "Hosts that started a moment ago and bear few requests",
                             static_cast<double>(metrics.coldHosts)));
  addSpeeds(metrics.speeds, families);
  addPacketFamilies(metrics.packets, families);
  families.push_back(histogramFamily("umberhold_packet_seconds",
                                     "Time from a datagram's reading to the end of its handling",
                                     metrics.packetTimes));
  addFlows(metrics.flows, families);
  families.push_back(silenceFamily(metrics.silence));
  addAdmissionFamilies(metrics.now, metrics.admission, families);
  addStore(metrics, families);
  families.push_back(histogramFamily("umberhold_change_seconds",
                                     "Time from a change's arrival to its being in force",
                                     metrics.changeTimes));
  addLog(metrics, families);
  families.push_back(reloadFamily(metrics.reloads));
  if (metrics.hostReports) {
    families.push_back(reportFamily(*metrics.hostReports));
  }
  families.push_back(portFamily(metrics.port));
  addUsageFamilies(usage, families);
  return prometheus::TextSerializer().Serialize(families);
}

}  // namespace umberhold
