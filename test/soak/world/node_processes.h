/** @file Runs the nodes as real processes: start, signals, restart. */
#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "bench/support/process_group.h"
#include "common/base/time.h"
#include "standins/proxy/tcp_front.h"
#include "test/soak/world/deployment_plan.h"
#include "test/soak/world/node_evidence.h"
#include "test/soak/world/wait_watch.h"

namespace umberhold::soak {

/** Not thread safe except for setCut(). */
class NodeProcesses {
 public:
  /**
   * @param program path of the node's program. @param store endpoint of the store. @param folder
   * for settings and logs.
   */
  NodeProcesses(const DeploymentPlan& plan, std::string program, const Endpoint& store,
                std::string folder);

  /** Starts all nodes for the first time. */
  void startAll();
  void kill(size_t node) { processes_.kill(plan_.nodes()[node].name); }
  void signal(size_t node, int signal) { processes_.signal(plan_.nodes()[node].name, signal); }
  /** Writes valid or invalid settings and sends SIGHUP. */
  void reload(size_t node, bool valid);
  /** Cuts the node off from the store, or reconnects it. */
  void setCut(size_t node, bool cut) { *cuts_[node] = cut; }

  /** Restarts nodes some time after they ended. @return the restarted nodes. */
  std::vector<size_t> restartEnded(TimePoint now);
  /** Records the resource usage of each node. */
  void measure();
  /** Records the time that each node waited for a processor. */
  void measureWaits(TimePoint now, WaitWatch& waits) const;
  const std::vector<NodePeak>& peaks() const { return peaks_; }
  std::string logFile(size_t node) const;
  /** @return a node that reads the store for its zone. */
  std::optional<size_t> readerOfZone() const;
  /** Ends all nodes without restarting them. */
  void endAll();

 private:
  void start(size_t node, bool firstStart);
  std::string settingsFile(size_t node) const;

  const DeploymentPlan& plan_;
  const std::string program_;
  const std::string folder_;
  std::vector<std::unique_ptr<std::atomic<bool>>> cuts_;
  std::vector<std::unique_ptr<standins::TcpFront>> storeProxies_;
  experiment::ProcessGroup processes_;
  std::vector<TimePoint> restartAt_;
  std::vector<NodePeak> peaks_;
};

}  // namespace umberhold::soak
