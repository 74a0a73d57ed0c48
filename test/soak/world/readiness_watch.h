/** @file Readiness checks of the platform's routers, which forward packets to ready nodes only. */
#pragma once

#include <atomic>
#include <memory>
#include <thread>
#include <vector>

#include "test/soak/world/deployment_plan.h"

namespace umberhold::soak {

/** Polls each node twice a second on a thread per node; two consecutive failures exclude it. Thread
 * safe. */
class ReadinessWatch {
 public:
  explicit ReadinessWatch(const std::vector<NodePlan>& nodes);
  ~ReadinessWatch();
  ReadinessWatch(const ReadinessWatch&) = delete;
  ReadinessWatch& operator=(const ReadinessWatch&) = delete;

  bool isReady(size_t node) const { return states_[node]->ready; }
  size_t readyCount() const;

 private:
  struct State {
    Endpoint readiness;
    std::atomic<bool> ready{false};
    std::thread thread;
  };
  void watch(State& state);

  std::atomic<bool> stop_{false};
  std::vector<std::unique_ptr<State>> states_;
};

/** @return the node for a flow of the zone by rendezvous hashing, so that the loss of a node moves
 * only its own flows. Candidates are the ready nodes of the zone; if none is ready, the ready nodes
 * of other zones; if fewer than half are ready, all nodes of the zone, as on the users' page. */
size_t selectNode(const std::vector<NodePlan>& nodes, const ReadinessWatch& readiness,
                  const std::string& zone, uint64_t flow);

}  // namespace umberhold::soak
