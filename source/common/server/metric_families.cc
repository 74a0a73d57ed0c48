#include "common/server/metric_families.h"

#include <sys/resource.h>
#include <unistd.h>

#include <chrono>
#include <fstream>

namespace umberhold {
namespace {

using prometheus::ClientMetric;
using prometheus::MetricFamily;
using prometheus::MetricType;

constexpr double kMicrosecondsPerSecond = 1e6;

MetricFamily packetFamily(const PacketCounters& packets) {
  return counterFamily("umberhold_packets_total", "Packets by what was decided about them")
      .add(static_cast<double>(packets.forwarded), {metricLabel("decision", "forwarded")})
      .add(static_cast<double>(packets.relayed), {metricLabel("decision", "relayed")})
      .add(static_cast<double>(packets.refused), {metricLabel("decision", "refused")})
      .add(static_cast<double>(packets.held), {metricLabel("decision", "held")})
      .take();
}

MetricFamily receivedFamily(const PacketCounters& packets) {
  const auto source = [&packets](PacketSource from) {
    return static_cast<double>(packets.received[static_cast<size_t>(from)]);
  };
  return counterFamily("umberhold_packets_received_total", "Packets by who handed them in")
      .add(source(PacketSource::kFabric), {metricLabel("source", "fabric")})
      .add(source(PacketSource::kPeer), {metricLabel("source", "peer")})
      .take();
}

MetricFamily dropFamily(const PacketCounters& packets) {
  MetricFamilyBuilder family =
      counterFamily("umberhold_packets_dropped_total", "Dropped packets by reason");
  forEachValue<DropReason>([&](DropReason reason, size_t index) {
    family.add(static_cast<double>(packets.dropped[index]),
               {metricLabel("reason", toString(reason))});
  });
  return family.take();
}

Duration durationOf(const timeval& time) {
  return std::chrono::seconds(time.tv_sec) + std::chrono::microseconds(time.tv_usec);
}

}  // namespace

double secondsOf(Duration duration) {
  return static_cast<double>(duration.count()) / kMicrosecondsPerSecond;
}

MetricFamilyBuilder::MetricFamilyBuilder(MetricType type, std::string name, std::string help) {
  family_.type = type;
  family_.name = std::move(name);
  family_.help = std::move(help);
}

MetricFamilyBuilder& MetricFamilyBuilder::add(double value,
                                              std::vector<ClientMetric::Label> labels) {
  ClientMetric metric;
  metric.label = std::move(labels);
  (family_.type == MetricType::Counter ? metric.counter.value : metric.gauge.value) = value;
  family_.metric.push_back(std::move(metric));
  return *this;
}

ClientMetric::Label metricLabel(std::string name, std::string_view value) {
  return {std::move(name), std::string(value)};
}

MetricFamilyBuilder counterFamily(std::string name, std::string help) {
  return {MetricType::Counter, std::move(name), std::move(help)};
}

MetricFamily counterOf(std::string name, std::string help, double value) {
  return counterFamily(std::move(name), std::move(help)).add(value).take();
}

MetricFamily gaugeOf(std::string name, std::string help, double value) {
  return MetricFamilyBuilder(MetricType::Gauge, std::move(name), std::move(help)).add(value).take();
}

void addPacketFamilies(const PacketCounters& packets, std::vector<MetricFamily>& families) {
  families.push_back(receivedFamily(packets));
  families.push_back(packetFamily(packets));
  families.push_back(dropFamily(packets));
}

MetricFamily reloadFamily(const ReloadCounters& reloads) {
  return counterFamily("umberhold_settings_reloads_total", "Settings read again while the node ran")
      .add(static_cast<double>(reloads.taken), {metricLabel("result", "taken")})
      .add(static_cast<double>(reloads.refused), {metricLabel("result", "refused")})
      .take();
}

ProcessUsage readProcessUsage() {
  ProcessUsage usage;
  rusage resources{};
  ::getrusage(RUSAGE_SELF, &resources);
  usage.cpu = durationOf(resources.ru_utime) + durationOf(resources.ru_stime);
  std::ifstream statm("/proc/self/statm");
  uint64_t totalPages = 0;
  uint64_t residentPages = 0;
  statm >> totalPages >> residentPages;
  usage.residentBytes = residentPages * static_cast<uint64_t>(::sysconf(_SC_PAGESIZE));
  return usage;
}

void addUsageFamilies(const ProcessUsage& usage, std::vector<MetricFamily>& families) {
  families.push_back(gaugeOf("umberhold_resident_bytes", "Resident memory of the process",
                             static_cast<double>(usage.residentBytes)));
  families.push_back(counterOf("umberhold_process_cpu_seconds_total",
                               "CPU time of all threads of the process", secondsOf(usage.cpu)));
}

}  // namespace umberhold
