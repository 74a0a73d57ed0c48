/** @file Samples the resource usage and configuration versions of nodes while an experiment runs.
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

/** Samples the metrics of the nodes periodically on a thread of its own. */
class NodeMonitor {
 public:
  /** @param environment borrowed; must outlive the monitor. */
  explicit NodeMonitor(Environment& environment);
  ~NodeMonitor();
  NodeMonitor(const NodeMonitor&) = delete;
  NodeMonitor& operator=(const NodeMonitor&) = delete;

  NodeFigures figures() const;
  /** Fetches the configuration version of a node. @return nullopt if the node doesn't report it. */
  static std::optional<uint64_t> configVersion(const NodePlan& node);
  /** Fetches the metrics of a node. @return whether it signs with the key `keys.signing` and
   * accepts as many keys as `keys.accepted` has; the ids of accepted keys are not compared. */
  static bool usesKeys(const NodePlan& node, const NodeKeys& keys);
  /** Discards the samples of a node that restarts. */
  void resetNode(const NodePlan& node);

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
