/** @file The flows of one caller process: sockets, ramp-up, replacement and control requests. */
#pragma once

#include <deque>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "standins/caller/caller_flow.h"
#include "standins/common/control_server.h"
#include "standins/common/datagram_loop.h"

namespace umberhold::standins {

/** Flows to one service. */
struct TargetPlan {
  FlowProfile profile;
  /** Number of concurrently open flows; flows that end or break are replaced. */
  uint32_t flows = 100;
};

/** Options of a caller process. */
struct CallerPoolOptions {
  /** Receives answers (the return gateway). */
  Endpoint listen;
  /** Forwards packets to the balancers. */
  Endpoint fabric;
  Endpoint control;
  /** New flows per second over all targets. */
  uint32_t openPerSecond = 1000;
  /** Number of this process; makes request ids and addresses unique in a run; 1 to 4,095. */
  uint32_t process = 1;
  uint64_t seed = 1;
};

/** The flows of one process. */
class CallerPool {
 public:
  CallerPool(const CallerPoolOptions& options, std::vector<TargetPlan> targets);
  ~CallerPool();
  CallerPool(const CallerPool&) = delete;
  CallerPool& operator=(const CallerPool&) = delete;

  /** Runs the event loop until stop is set. */
  void run(const std::atomic<bool>& stop);
  Endpoint controlEndpoint() const;
  Endpoint listenEndpoint() const;
  /** @return the current counts. Thread safe. */
  CallerReport report();
  /** Starts no more flows or requests; flows close after their last answer. Thread safe. */
  void finish();

 private:
  struct Target {
    TargetPlan plan;
    /** Number of flows that have not ended. */
    uint32_t live = 0;
  };
  struct LiveFlow {
    CallerFlow flow;
    Target* target;
  };

  void onTick();
  void openFlows(UnixMillis now);
  void openFlow(UnixMillis now, Target& target);
  void onPacket(std::string_view bytes);
  void sendPackets();
  Endpoint nextLocalEndpoint();
  ControlResponse onControl(const ControlRequest& request);
  CallerReport reportLocked();
  void finishLocked();

  CallerPoolOptions options_;
  RandomSource random_;
  RequestIds ids_;
  CallerReport report_;
  std::vector<std::string> out_;
  FlowContext context_;
  DatagramLoop loop_;
  SocketIndex socket_ = 0;
  std::vector<std::unique_ptr<Target>> targets_;
  std::unordered_map<Endpoint, LiveFlow> flows_;
  uint64_t nextLocalIndex_ = 0;
  double openBudget_ = 0;
  UnixMillis lastTick_ = 0;
  bool finishing_ = false;
  std::unique_ptr<ControlServer> control_;
};

}  // namespace umberhold::standins
