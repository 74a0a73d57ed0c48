#include "test/soak/world/node_processes.h"

#include <algorithm>
#include <csignal>
#include <fstream>
#include <utility>

namespace umberhold::soak {
namespace {

constexpr Duration kRestartDelay = std::chrono::milliseconds(500);
constexpr int kShutdownTimeoutMillis = 5000;

}  // namespace

NodeProcesses::NodeProcesses(const DeploymentPlan& plan, std::string program, const Endpoint& store,
                             std::string folder)
    : plan_(plan),
      program_(std::move(program)),
      folder_(std::move(folder)),
      processes_(folder_),
      restartAt_(plan.nodes().size(), TimePoint::max()),
      peaks_(plan.nodes().size()) {
  for (const NodePlan& node : plan_.nodes()) {
    cuts_.push_back(std::make_unique<std::atomic<bool>>(false));
    std::atomic<bool>* const cut = cuts_.back().get();
    storeProxies_.push_back(
        std::make_unique<standins::TcpFront>(node.store, store, [cut] { return cut->load(); }));
  }
}

std::string NodeProcesses::settingsFile(size_t node) const {
  return folder_ + "/" + plan_.nodes()[node].name + ".toml";
}

std::string NodeProcesses::logFile(size_t node) const {
  return folder_ + "/" + plan_.nodes()[node].name + ".log";
}

void NodeProcesses::start(size_t node, bool firstStart) {
  std::ofstream(settingsFile(node)) << settingsText(plan_, plan_.nodes()[node], firstStart);
  processes_.start(plan_.nodes()[node].name, program_, {"--settings", settingsFile(node)});
  ++peaks_[node].processCount;
}

void NodeProcesses::startAll() {
  for (size_t node = 0; node < plan_.nodes().size(); ++node) {
    start(node, true);
  }
}

void NodeProcesses::reload(size_t node, bool valid) {
  std::ofstream file(settingsFile(node));
  file << settingsText(plan_, plan_.nodes()[node], false)
       << (valid ? "linger_milliseconds = 2400\n" : "linger_milliseconds = \"soon\"\n");
  file.close();
  signal(node, SIGHUP);
}

std::vector<size_t> NodeProcesses::restartEnded(TimePoint now) {
  std::vector<size_t> restarted;
  for (size_t node = 0; node < plan_.nodes().size(); ++node) {
    if (processes_.running(plan_.nodes()[node].name)) {
      continue;
    }
    if (restartAt_[node] == TimePoint::max()) {
      restartAt_[node] = now + kRestartDelay;
    } else if (now >= restartAt_[node]) {
      restartAt_[node] = TimePoint::max();
      start(node, false);
      restarted.push_back(node);
    }
  }
  return restarted;
}

std::optional<size_t> NodeProcesses::readerOfZone() const {
  for (size_t node = 0; node < plan_.nodes().size(); ++node) {
    std::ifstream log(logFile(node));
    if (isReaderOfZone(log)) {
      return node;
    }
  }
  return std::nullopt;
}

void NodeProcesses::measure() {
  for (size_t node = 0; node < plan_.nodes().size(); ++node) {
    const auto usage = processes_.usage(plan_.nodes()[node].name);
    if (usage) {
      NodePeak& peak = peaks_[node];
      peak.memoryMegabytes = std::max(peak.memoryMegabytes, usage->peakMemoryMegabytes);
      peak.descriptors = std::max(peak.descriptors, usage->descriptors);
    }
  }
}

void NodeProcesses::measureWaits(TimePoint now, WaitWatch& waits) const {
  for (const NodePlan& node : plan_.nodes()) {
    if (const auto waited = processes_.processorWaitTime(node.name)) {
      waits.onTotal(now, node.name, std::chrono::duration_cast<Duration>(*waited));
    }
  }
}

void NodeProcesses::endAll() {
  for (const NodePlan& node : plan_.nodes()) {
    processes_.signal(node.name, SIGCONT);
    processes_.signal(node.name, SIGTERM);
  }
  for (const NodePlan& node : plan_.nodes()) {
    processes_.waitForExit(node.name, kShutdownTimeoutMillis);
  }
}

}  // namespace umberhold::soak
