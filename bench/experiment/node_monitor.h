/** @file Samples what the nodes spend and which configuration they hold, while an experiment runs.
 */
#pragma once

#include <atomic>
#include <cstdint>
#include <mutex>
#include <optional>
#include <thread>

#include "environment.h"
#include "node_ledger.h"

namespace umberhold::experiment {

/** A thread that asks the nodes for their metrics. */
class NodeMonitor {
 public:
  explicit NodeMonitor(Environment& environment);
  ~NodeMonitor();
  NodeMonitor(const NodeMonitor&) = delete;
  NodeMonitor& operator=(const NodeMonitor&) = delete;

  NodeFigures figures() const;
  /** @return the version of the configuration that a node holds, where it tells. */
  static std::optional<uint64_t> configVersion(const NodePlan& node);
  /** @return whether the node says now that it accepts and signs with just these keys. */
  static bool holdsKeys(const NodePlan& node, const NodeKeys& keys);
  /** Forgets a node that was started again. */
  void forget(const NodePlan& node);

 private:
  void sampleAll();
  void sample(const NodePlan& node);

  Environment& environment_;
  mutable std::mutex mutex_;
  NodeLedger ledger_;
  std::atomic<bool> stop_{false};
  std::thread thread_;
};

}  // namespace umberhold::experiment
