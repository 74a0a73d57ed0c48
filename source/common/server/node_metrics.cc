/** @file Metrics built from prometheus-cpp's families and its text serializer. */
#include "common/server/node_metrics.h"

#include <prometheus/metric_family.h>
#include <prometheus/text_serializer.h>

#include <string_view>
#include <utility>
#include <vector>

namespace umberhold {
namespace {

using prometheus::MetricFamily;
using prometheus::MetricType;

MetricFamily controlBytesFamily(const TrafficMeter& traffic) {
  MetricFamilyBuilder family =
      counterFamily("umberhold_control_bytes_total",
                    "Bytes of node messages: UDP payload and 28 bytes of headers a datagram");
  forEachValue<TrafficClass>([&](TrafficClass purpose, size_t) {
    const auto add = [&](std::string_view direction, const TrafficCount& count) {
      family.add(static_cast<double>(count.bytes),
                 {metricLabel("class", toString(purpose)), metricLabel("direction", direction)});
    };
    add("sent", traffic.sent(purpose));
    add("received", traffic.received(purpose));
  });
  return family.take();
}

MetricFamily controlDatagramsFamily(const TrafficMeter& traffic) {
  MetricFamilyBuilder family =
      counterFamily("umberhold_control_datagrams_total", "Datagrams of node messages");
  forEachValue<TrafficClass>([&](TrafficClass purpose, size_t) {
    const auto add = [&](std::string_view direction, const TrafficCount& count) {
      family.add(static_cast<double>(count.datagrams),
                 {metricLabel("class", toString(purpose)), metricLabel("direction", direction)});
    };
    add("sent", traffic.sent(purpose));
    add("received", traffic.received(purpose));
  });
  return family.take();
}

MetricFamily refusedFamily(const NodeMetrics& metrics) {
  MetricFamilyBuilder family =
      counterFamily("umberhold_control_refused_total",
                    "Datagrams on the control port that were not taken, by reason");
  forEachValue<OpenError>([&](OpenError reason, size_t index) {
    family.add(static_cast<double>(metrics.refusedDatagrams[index]),
               {metricLabel("reason", toString(reason)), metricLabel("layer", "envelope")});
  });
  forEachValue<DecodeErrorCode>([&](DecodeErrorCode reason, size_t index) {
    family.add(static_cast<double>(metrics.control.decodeFailures[index]),
               {metricLabel("reason", toString(reason)), metricLabel("layer", "codec")});
  });
  return family.take();
}

MetricFamily acceptedKeyFamily(const NodeMetrics& metrics) {
  MetricFamilyBuilder family(MetricType::Gauge, "umberhold_accepted_key",
                             "1 for each key that is accepted");
  for (const uint32_t id : metrics.acceptedKeys) {
    family.add(1, {metricLabel("id", std::to_string(id))});
  }
  return family.take();
}

MetricFamily memberFamily(const MemberCounts& members) {
  return MetricFamilyBuilder(MetricType::Gauge, "umberhold_members",
                             "Members of the region by state")
      .add(members.joining, {metricLabel("state", "joining")})
      .add(members.alive, {metricLabel("state", "alive")})
      .add(members.suspect, {metricLabel("state", "suspect")})
      .add(members.leaving, {metricLabel("state", "leaving")})
      .add(members.dead, {metricLabel("state", "dead")})
      .take();
}

MetricFamily portFamily(const NodeMetrics& metrics) {
  MetricFamilyBuilder family =
      counterFamily("umberhold_udp_failures_total", "Datagrams that a port could not send or take");
  const auto add = [&family](std::string_view port, const UdpCounters& counters) {
    family.add(static_cast<double>(counters.sendFailures),
               {metricLabel("port", port), metricLabel("failure", "not_sent")});
    family.add(static_cast<double>(counters.tooLong),
               {metricLabel("port", port), metricLabel("failure", "too_long")});
  };
  add("data", metrics.dataPort);
  add("relay", metrics.relayPort);
  add("control", metrics.controlPort);
  return family.take();
}

MetricFamily takeoverFamily(const ShardCounters& shards) {
  return counterFamily("umberhold_takeovers_total",
                       "Shards taken over, by where their state came from")
      .add(static_cast<double>(shards.takeoversFromOwner), {metricLabel("from", "owner")})
      .add(static_cast<double>(shards.takeoversFromReplica), {metricLabel("from", "replica")})
      .add(static_cast<double>(shards.takeoversFromOwnState), {metricLabel("from", "own_state")})
      .add(static_cast<double>(shards.shardsCreated), {metricLabel("from", "nothing")})
      .take();
}

MetricFamily policyFamily(const std::vector<PolicyHealth>& policies) {
  MetricFamilyBuilder family = counterFamily(
      "umberhold_policy_failures_total", "Evaluations that failed and kept the last good weights");
  for (const PolicyHealth& health : policies) {
    family.add(static_cast<double>(health.failures), {metricLabel("policy", health.policy)});
  }
  return family.take();
}

void addShards(const NodeCounters& core, std::vector<MetricFamily>& families) {
  families.push_back(takeoverFamily(core.shards));
  families.push_back(counterOf("umberhold_refused_flows_total", "New flows that were refused",
                               static_cast<double>(core.shards.refusals)));
  families.push_back(counterOf("umberhold_placed_flows_total", "New flows that got a host",
                               static_cast<double>(core.shards.flowsPlaced)));
  families.push_back(counterOf("umberhold_exceptions_total",
                               "New flows placed elsewhere than the base table says",
                               static_cast<double>(core.shards.exceptionsPlaced)));
  families.push_back(policyFamily(core.policies));
}

void addKeys(const NodeMetrics& metrics, std::vector<MetricFamily>& families) {
  families.push_back(gaugeOf("umberhold_signing_key", "Id of the key that signs node messages",
                             metrics.signingKey));
  families.push_back(acceptedKeyFamily(metrics));
  families.push_back(reloadFamily(metrics.reloads));
}

void addState(const NodeMetrics& metrics, std::vector<MetricFamily>& families) {
  const NodeCounters& core = metrics.core;
  families.push_back(gaugeOf("umberhold_ready", "1 where the node takes packets",
                             metrics.readiness == NodeReadiness::kReady ? 1 : 0));
  families.push_back(memberFamily(core.members));
  families.push_back(
      gaugeOf("umberhold_flows", "Flows in the node's table", static_cast<double>(core.flows)));
  families.push_back(
      gaugeOf("umberhold_owned_shards", "Shards that the node owns", core.ownedShards));
  families.push_back(gaugeOf("umberhold_records", "Configuration records that the node holds",
                             static_cast<double>(core.records)));
  families.push_back(gaugeOf("umberhold_records_rejected",
                             "Records that could not be decoded and have no effect",
                             static_cast<double>(core.recordsRejected)));
  families.push_back(gaugeOf("umberhold_config_version",
                             "Store version up to which the node has applied every change",
                             static_cast<double>(core.effectiveVersion)));
}

void addUsage(const NodeMetrics& metrics, const ProcessUsage& usage,
              std::vector<MetricFamily>& families) {
  addUsageFamilies(usage, families);
  families.push_back(counterOf("umberhold_packet_cpu_seconds_total",
                               "CPU time spent on packets of the data and relay ports",
                               secondsOf(metrics.loop.packetCpu)));
  families.push_back(counterOf("umberhold_control_cpu_seconds_total",
                               "CPU time of the process that was not spent on packets",
                               secondsOf(usage.cpu - metrics.loop.packetCpu)));
  families.push_back(counterOf("umberhold_loop_cpu_seconds_total", "CPU time of the loop thread",
                               secondsOf(metrics.loop.totalCpu)));
}

}  // namespace

std::string renderMetrics(const NodeMetrics& metrics, const ProcessUsage& usage) {
  std::vector<MetricFamily> families;
  addKeys(metrics, families);
  addState(metrics, families);
  addShards(metrics.core, families);
  addPacketFamilies(metrics.core.packets, families);
  families.push_back(counterOf(
      "umberhold_refusals_unanswered_total", "Refused packets for which no answer was sent",
      static_cast<double>(metrics.core.packets.unanswered + metrics.unsentAnswers)));
  families.push_back(controlBytesFamily(metrics.traffic));
  families.push_back(controlDatagramsFamily(metrics.traffic));
  families.push_back(refusedFamily(metrics));
  families.push_back(counterOf("umberhold_control_oversized_total",
                               "Datagrams sent that were longer than 1400 bytes",
                               static_cast<double>(metrics.control.oversized)));
  families.push_back(portFamily(metrics));
  addUsage(metrics, usage, families);
  return prometheus::TextSerializer().Serialize(families);
}

}  // namespace umberhold
