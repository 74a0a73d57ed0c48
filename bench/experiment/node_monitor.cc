#include "node_monitor.h"

#include <chrono>

#include "bench/support/http_client.h"
#include "bench/support/metrics_reader.h"

namespace umberhold::experiment {
namespace {

constexpr std::chrono::milliseconds kSamplePeriod(500);

double secondsNow() {
  const auto now = std::chrono::steady_clock::now().time_since_epoch();
  return std::chrono::duration<double>(now).count();
}

std::optional<std::vector<MetricSample>> metricsOf(const NodePlan& node) {
  const auto response = httpCall(Environment::adminEndpoint(node), "GET", "/metrics");
  if (!response || response->status != kHttpOk) {
    return std::nullopt;
  }
  return parseMetrics(response->body);
}

}  // namespace

NodeMonitor::NodeMonitor(Environment& environment)
    : environment_(environment), thread_([this] {
        while (!stop_) {
          sampleAll();
          std::this_thread::sleep_for(kSamplePeriod);
        }
      }) {}

NodeMonitor::~NodeMonitor() {
  stop_ = true;
  thread_.join();
}

std::optional<uint64_t> NodeMonitor::configVersion(const NodePlan& node) {
  const auto samples = metricsOf(node);
  return samples ? NodeLedger::configVersion(*samples) : std::nullopt;
}

bool NodeMonitor::usesKeys(const NodePlan& node, const NodeKeys& keys) {
  const auto samples = metricsOf(node);
  if (!samples) {
    return false;
  }
  const auto accepted = static_cast<double>(keys.accepted.size());
  return sumOf(*samples, "umberhold_signing_key") == static_cast<double>(keys.signing) &&
         sumOf(*samples, "umberhold_accepted_key") == accepted;
}

void NodeMonitor::resetNode(const NodePlan& node) {
  const std::lock_guard lock(mutex_);
  ledger_.resetNode(node.id);
}

void NodeMonitor::sampleAll() {
  for (const NodePlan& node : environment_.nodes()) {
    sample(node);
  }
}

void NodeMonitor::sample(const NodePlan& node) {
  const auto samples = metricsOf(node);
  const auto usage = environment_.processes().usage(Environment::nodeName(node));
  const std::lock_guard lock(mutex_);
  if (usage) {
    ledger_.addPeakMemory(usage->peakMemoryMegabytes);
  }
  if (samples) {
    ledger_.addSample(node.id, secondsNow(), *samples);
  }
}

NodeFigures NodeMonitor::figures() const {
  const std::lock_guard lock(mutex_);
  return ledger_.figures();
}

}  // namespace umberhold::experiment
