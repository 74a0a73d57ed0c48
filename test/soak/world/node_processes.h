/** @file The nodes as real processes: started, signalled, started again after their end. */
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

/** Not thread safe, but for the cuts. */
class NodeProcesses {
 public:
  /**
   * @param program the node's. @param store where the store is. @param folder for settings and
   * logs.
   */
  NodeProcesses(const DeploymentPlan& plan, std::string program, const Endpoint& store,
                std::string folder);

  /** Starts all for the first time. */
  void startAll();
  void kill(size_t node) { processes_.kill(plan_.nodes()[node].name); }
  void signal(size_t node, int signal) { processes_.signal(plan_.nodes()[node].name, signal); }
  /** Writes settings that can or can't be read, and sends SIGHUP. */
  void reload(size_t node, bool valid);
  void setCut(size_t node, bool cut) { *cuts_[node] = cut; }

  /** Starts nodes again that have ended a short while ago; @return them. */
  std::vector<size_t> restartEnded(TimePoint now);
  /** Notes what each node uses. */
  void measure();
  /** Notes how long each node waited for a processor. */
  void measureWaits(TimePoint now, WaitWatch& waits) const;
  const std::vector<NodePeak>& peaks() const { return peaks_; }
  std::string logFile(size_t node) const;
  /** @return a node that reads the store for its zone. */
  std::optional<size_t> readerOfZone() const;
  /** Ends all nodes; no node is started again. */
  void endAll();

 private:
  void start(size_t node, bool firstStart);
  std::string settingsFile(size_t node) const;

  const DeploymentPlan& plan_;
  const std::string program_;
  const std::string folder_;
  std::vector<std::unique_ptr<std::atomic<bool>>> cuts_;
  std::vector<std::unique_ptr<standins::TcpFront>> fronts_;
  experiment::ProcessGroup processes_;
  std::vector<TimePoint> restartAt_;
  std::vector<NodePeak> peaks_;
};

}  // namespace umberhold::soak
