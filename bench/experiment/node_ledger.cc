#include "node_ledger.h"

#include <algorithm>

namespace umberhold::experiment {
namespace {

constexpr double kPercent = 100.0;
/** Minimum time in seconds over which a rate is calculated. */
constexpr double kMinRateSeconds = 1.0;
constexpr const char* kVersionMetric = "umberhold_config_version";
constexpr const char* kControlBytesMetric = "umberhold_control_bytes_total";
constexpr const char* kSentLabel = "direction=\"sent\"";
constexpr const char* kRefusedMetric = "umberhold_control_refused_total";
constexpr const char* kControlCpuMetric = "umberhold_control_cpu_seconds_total";

/** @return the sums of the metric's samples by the value of a label. Samples whose labels don't
 * contain the required text are ignored. */
std::map<std::string, double> sumByLabel(const std::vector<MetricSample>& samples,
                                         const std::string& metric, const std::string& label,
                                         const std::string& requiredText = "") {
  const std::string key = label + "=\"";
  std::map<std::string, double> sums;
  for (const MetricSample& sample : samples) {
    const size_t start = sample.labels.find(key);
    const bool matches = sample.labels.find(requiredText) != std::string::npos;
    if (sample.name != metric || !matches || start == std::string::npos) {
      continue;
    }
    const size_t begin = start + key.size();
    sums[sample.labels.substr(begin, sample.labels.find('"', begin) - begin)] += sample.value;
  }
  return sums;
}

}  // namespace

std::optional<uint64_t> NodeLedger::configVersion(const std::vector<MetricSample>& samples) {
  const auto version = sumOf(samples, kVersionMetric);
  return version ? std::optional<uint64_t>(static_cast<uint64_t>(*version)) : std::nullopt;
}

void NodeLedger::updateVersion(NodeCounters& counters, const std::vector<MetricSample>& samples) {
  if (const auto version = configVersion(samples)) {
    reverts_ += *version < counters.version ? 1 : 0;
    counters.version = *version;
    hasVersion_ = true;
  }
}

void NodeLedger::addSample(uint32_t node, double seconds,
                           const std::vector<MetricSample>& samples) {
  NodeCounters& counters = nodes_[node];
  updateVersion(counters, samples);
  const auto bytes = sumOf(samples, kControlBytesMetric, kSentLabel);
  if (!bytes) {
    return;
  }
  const auto cpu = sumOf(samples, kControlCpuMetric);
  counters.refusedByReason = sumByLabel(samples, kRefusedMetric, "reason");
  counters.hasCpu = cpu.has_value();
  counters.last = Reading{seconds, *bytes, cpu.value_or(0),
                          sumByLabel(samples, kControlBytesMetric, "class", kSentLabel)};
  if (!counters.first) {
    counters.first = counters.last;
  }
}

void NodeLedger::addPeakMemory(double megabytes) {
  peakMemoryMegabytes_ = std::max(peakMemoryMegabytes_, megabytes);
}

void NodeLedger::resetNode(uint32_t node) {
  nodes_.erase(node);
}

NodeFigures NodeLedger::figures() const {
  NodeFigures figures;
  double bytesPerSecond = 0;
  double cpuShare = 0;
  int ratedNodes = 0;
  int ratedNodesWithCpu = 0;
  for (const auto& [id, counters] : nodes_) {
    for (const auto& [reason, count] : counters.refusedByReason) {
      figures.refusedDatagrams[reason] += static_cast<uint64_t>(count);
    }
    const double elapsed = counters.first ? counters.last.seconds - counters.first->seconds : 0;
    if (elapsed < kMinRateSeconds) {
      continue;
    }
    bytesPerSecond += (counters.last.bytes - counters.first->bytes) / elapsed;
    for (const auto& [messageClass, sent] : counters.last.bytesByClass) {
      const auto before = counters.first->bytesByClass.find(messageClass);
      const double first = before == counters.first->bytesByClass.end() ? 0 : before->second;
      figures.controlBytesByClass[messageClass] += (sent - first) / elapsed;
    }
    ++ratedNodes;
    if (counters.hasCpu) {
      cpuShare += (counters.last.cpuSeconds - counters.first->cpuSeconds) / elapsed;
      ++ratedNodesWithCpu;
    }
  }
  if (ratedNodes > 0) {
    figures.controlBytesPerNodeSecond = bytesPerSecond / ratedNodes;
    for (auto& [messageClass, bytes] : figures.controlBytesByClass) {
      bytes /= ratedNodes;
    }
  }
  if (ratedNodesWithCpu > 0) {
    figures.controlCpuPercent = cpuShare / ratedNodesWithCpu * kPercent;
  }
  if (peakMemoryMegabytes_ > 0) {
    figures.peakMemoryMegabytes = peakMemoryMegabytes_;
  }
  if (hasVersion_) {
    figures.configReverts = reverts_;
  }
  return figures;
}

}  // namespace umberhold::experiment
