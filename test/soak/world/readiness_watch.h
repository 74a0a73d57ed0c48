/** @file Which nodes the platform's routers hand packets to: those that answer 200. */
#pragma once

#include <atomic>
#include <memory>
#include <thread>
#include <vector>

#include "test/soak/world/deployment_plan.h"

namespace umberhold::soak {

/** Asks every node twice a second, on a thread each; two misses put a node out. Thread safe. */
class ReadinessWatch {
 public:
  explicit ReadinessWatch(const std::vector<NodePlan>& nodes);
  ~ReadinessWatch();
  ReadinessWatch(const ReadinessWatch&) = delete;
  ReadinessWatch& operator=(const ReadinessWatch&) = delete;

  bool isIn(size_t node) const { return states_[node]->in; }
  size_t inCount() const;

 private:
  struct State {
    Endpoint readiness;
    std::atomic<bool> in{false};
    std::thread thread;
  };
  void watch(State& state);

  std::atomic<bool> stop_{false};
  std::vector<std::unique_ptr<State>> states_;
};

/** @return the node for a flow of the zone: by rendezvous, so that a node that goes moves its own
 * flows only; see the users' page for zones where few nodes or none are in. */
size_t routeOf(const std::vector<NodePlan>& nodes, const ReadinessWatch& readiness,
               const std::string& zone, uint64_t flow);

}  // namespace umberhold::soak
