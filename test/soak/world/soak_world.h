/**
 * @file Callers, routers and hosts of the platform on real sockets, around nodes that are real
 * processes; what they see is held against the promises.
 */
#pragma once

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "common/base/random.h"
#include "standins/common/datagram_loop.h"
#include "standins/common/delay_line.h"
#include "standins/proxy/fault_rules.h"
#include "test/platform/store/standin_store.h"
#include "test/soak/world/contact_record.h"
#include "test/soak/world/host_fleet.h"
#include "test/soak/world/load_watch.h"
#include "test/soak/world/promises.h"
#include "test/soak/world/readiness_watch.h"
#include "test/soak/world/route_book.h"
#include "test/soak/world/sabotage.h"
#include "test/soak/world/soak_caller.h"
#include "test/soak/world/wait_watch.h"

namespace umberhold::soak {

/** Requests by the second in which they began. */
struct SecondCounts {
  uint64_t asked = 0;
  uint64_t served = 0;
};

/**
 * Runs a thread of its own from start() to the end. Other threads take mutex() before they touch
 * anything but start().
 */
class SoakWorld {
 public:
  /** @param plan, store borrowed. */
  SoakWorld(const DeploymentPlan& plan, test::StandinStore& store, uint64_t seed, Sabotage sabotage,
            SoakLoad load);
  ~SoakWorld();
  SoakWorld(const SoakWorld&) = delete;
  SoakWorld& operator=(const SoakWorld&) = delete;

  /** Starts the hosts and registers them; callers begin with startTraffic(). */
  void start();
  void startTraffic(TimePoint now);
  void stopTraffic();

  std::mutex& mutex() { return loop_.mutex(); }
  HostFleet& hosts() { return *fleet_; }
  RouteBook& routes() { return *routes_; }
  PromiseBook& promises() { return promises_; }
  /** Every trouble, and those that no plan brought. */
  ContactRecord& anyTrouble() { return anyTrouble_; }
  LoadWatch& load() { return loadWatch_; }
  /** Several times the usual callers come, or go. */
  void setCrowd(bool comes);
  ContactRecord& unplannedTrouble() { return unplannedTrouble_; }
  standins::FaultRules& fabric() { return fabric_; }
  const ReadinessWatch& readiness() const { return *readiness_; }
  /** Stores the next version of the configuration. */
  void storeConfiguration(uint32_t extraRoutes);
  /** The last fault is over. */
  void afterLastFault() { faultsOver_ = true; }

  CallerCounts totals() const;
  /** @return the most open flows that a host had. */
  size_t mostOpenFlows() const { return mostOpenFlows_; }
  /** @return the longest time for which callers and hosts stood still, all at once: the machine was
   * too busy for the soak. */
  Duration longestPause() const { return longestPause_; }
  /** Times for which callers and hosts stood still. */
  const WaitWatch& pauses() const { return pauses_; }
  uint64_t runs() const { return runs_.runs(); }
  /** By seconds since startTraffic(). */
  const std::map<int64_t, SecondCounts>& seconds() const { return seconds_; }

 private:
  struct CallerEntry {
    std::unique_ptr<SoakCaller> caller;
    std::string zone;
    standins::SocketIndex socket = 0;
  };

  void openHostSockets();
  void makeCallers();
  void addCaller(uint32_t number);
  HostHooks hooksOf(size_t slot);
  void onHostDatagram(size_t slot, const Endpoint& from, std::string_view bytes);
  void onCallerDatagram(size_t caller, const Endpoint& from, std::string_view bytes);
  void onProbeDatagram(std::string_view bytes);
  void onHostOpening(size_t slot, const FlowName& flow, const Endpoint& node);
  void onHostRun(size_t slot, const FlowName& flow, const Request& request);
  void onOpenFlowReset(const FlowName& flow);
  void onTurnedAway(size_t slot, const Request& request);
  void onEnded(const CallerRoute& route, TimePoint begunAt, bool served);
  bool isAllInTouch(TimePoint now) const;
  void toNode(size_t node, standins::SocketIndex socket, const std::string& zone,
              std::string_view packet);
  void toCaller(size_t slot, const Endpoint& caller, const std::string& packet);
  void tick();
  void probe(TimePoint now);
  std::string nodeNameOf(const Endpoint& data) const;

  // Sabotage (soak_world_sabotage.cc).
  /** @return whether the datagram was dealt with. */
  bool sabotageToHost(size_t slot, const Endpoint& from, std::string_view bytes);
  bool redirect(size_t slot, const Endpoint& from, std::string_view bytes,
                const EchoPacket& packet);
  std::vector<size_t> redirectionTargets(size_t slot) const;
  std::string sabotageToCaller(const std::string& packet);
  void sendSystemReset(const EchoPacket& packet);
  bool strikes(double share) { return random_.unit() < share; }

  const DeploymentPlan& plan_;
  test::StandinStore& store_;
  RandomSource random_;
  const Sabotage sabotage_;
  const SoakLoad load_;
  PromiseBook promises_;
  RunBook runs_;
  LoadWatch loadWatch_;
  ContactRecord anyTrouble_;
  ContactRecord unplannedTrouble_;
  standins::DatagramLoop loop_;
  standins::DelayLine delays_;
  standins::FaultRules fabric_;
  std::unique_ptr<RouteBook> routes_;
  std::unique_ptr<HostFleet> fleet_;
  std::unique_ptr<ReadinessWatch> readiness_;
  std::vector<standins::SocketIndex> hostSockets_;
  std::vector<CallerEntry> callers_;
  standins::SocketIndex probeSocket_ = 0;
  uint16_t probePort_ = 0;
  TimePoint nextProbe_{};
  /** Who sent the datagram that a caller is handling. */
  Endpoint sender_;
  bool traffic_ = false;
  bool faultsOver_ = false;
  size_t mostOpenFlows_ = 0;
  std::optional<TimePoint> lastTick_;
  Duration longestPause_{0};
  WaitWatch pauses_;
  TimePoint trafficSince_{};
  std::map<int64_t, SecondCounts> seconds_;
  /** Flows that sabotage leads elsewhere. */
  std::map<FlowName, size_t> redirected_;
  std::atomic<bool> stop_{false};
  std::thread thread_;
};

}  // namespace umberhold::soak
