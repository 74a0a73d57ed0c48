#include "test/soak/world/readiness_watch.h"

#include <algorithm>
#include <chrono>

#include "bench/support/http_client.h"
#include "common/base/hash.h"

namespace umberhold::soak {
namespace {

constexpr auto kPeriod = std::chrono::milliseconds(500);
constexpr uint32_t kMissesUntilOut = 2;

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
  uint32_t misses = kMissesUntilOut;
  while (!stop_) {
    const auto next = std::chrono::steady_clock::now() + kPeriod;
    const bool answered = experiment::httpOk(state.readiness, "/api/readiness");
    misses = answered ? 0 : misses + 1;
    if (answered || misses >= kMissesUntilOut) {
      state.in = answered;
    }
    std::this_thread::sleep_until(next);
  }
}

size_t ReadinessWatch::readyCount() const {
  return static_cast<size_t>(std::count_if(states_.begin(), states_.end(),
                                           [](const auto& state) { return bool(state->in); }));
}

size_t routeOf(const std::vector<NodePlan>& nodes, const ReadinessWatch& readiness,
               const std::string& zone, uint64_t flow) {
  std::vector<size_t> ofZone;
  std::vector<size_t> in;
  std::vector<size_t> elsewhere;
  for (size_t index = 0; index < nodes.size(); ++index) {
    const bool own = nodes[index].zone == zone;
    if (own) {
      ofZone.push_back(index);
    }
    if (readiness.isReady(index)) {
      (own ? in : elsewhere).push_back(index);
    }
  }
  const std::vector<size_t>* candidates = &in;
  if (in.empty() && !elsewhere.empty()) {
    candidates = &elsewhere;
  } else if (2 * in.size() < ofZone.size()) {
    candidates = &ofZone;
  }
  return *std::max_element(
      candidates->begin(), candidates->end(),
      [flow](size_t left, size_t right) { return mixHash(flow, left) < mixHash(flow, right); });
}

}  // namespace umberhold::soak
