#include "test/soak/world/readiness_watch.h"

#include <algorithm>
#include <chrono>

#include "bench/support/http_client.h"
#include "common/base/hash.h"

namespace umberhold::soak {
namespace {

constexpr auto kPollInterval = std::chrono::milliseconds(500);
constexpr uint32_t kFailuresUntilExcluded = 2;

}  // namespace

ReadinessWatch::ReadinessWatch(const std::vector<NodePlan>& nodes) {
  for (const NodePlan& node : nodes) {
    states_.push_back(std::make_unique<State>());
    State* const state = states_.back().get();
    state->readiness = node.readiness;
    state->thread = std::thread([this, state] { watch(*state); });
  }
}

ReadinessWatch::~ReadinessWatch() {
  stop_ = true;
  for (const auto& state : states_) {
    state->thread.join();
  }
}

void ReadinessWatch::watch(State& state) {
  uint32_t failures = kFailuresUntilExcluded;
  while (!stop_) {
    const auto next = std::chrono::steady_clock::now() + kPollInterval;
    const bool answered = experiment::httpOk(state.readiness, "/api/readiness");
    failures = answered ? 0 : failures + 1;
    if (answered || failures >= kFailuresUntilExcluded) {
      state.ready = answered;
    }
    std::this_thread::sleep_until(next);
  }
}

size_t ReadinessWatch::readyCount() const {
  return static_cast<size_t>(std::count_if(states_.begin(), states_.end(),
                                           [](const auto& state) { return bool(state->ready); }));
}

size_t selectNode(const std::vector<NodePlan>& nodes, const ReadinessWatch& readiness,
                  const std::string& zone, uint64_t flow) {
  std::vector<size_t> zoneNodes;
  std::vector<size_t> readyInZone;
  std::vector<size_t> readyElsewhere;
  for (size_t index = 0; index < nodes.size(); ++index) {
    const bool own = nodes[index].zone == zone;
    if (own) {
      zoneNodes.push_back(index);
    }
    if (readiness.isReady(index)) {
      (own ? readyInZone : readyElsewhere).push_back(index);
    }
  }
  const std::vector<size_t>* candidates = &readyInZone;
  if (readyInZone.empty() && !readyElsewhere.empty()) {
    candidates = &readyElsewhere;
  } else if (2 * readyInZone.size() < zoneNodes.size()) {
    candidates = &zoneNodes;
  }
  return *std::max_element(
      candidates->begin(), candidates->end(),
      [flow](size_t left, size_t right) { return mixHash(flow, left) < mixHash(flow, right); });
}

}  // namespace umberhold::soak
