/**
 * @file Callers, routers and hosts of the platform on real sockets, connected to real node
 * processes; checks the promises from their observations.
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
#include "test/soak/world/disturbance_tracker.h"
#include "test/soak/world/host_fleet.h"
#include "test/soak/world/load_watch.h"
#include "test/soak/world/promises.h"
#include "test/soak/world/readiness_watch.h"
#include "test/soak/world/route_tracker.h"
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
 * Runs its own thread from start() to destruction. Other threads must hold mutex() for all calls
 * except start().
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
  RouteTracker& routes() { return *routes_; }
  ViolationRecord& promises() { return promises_; }
  /** @return all disturbances; unplannedDisturbances() has only the unplanned ones. */
  DisturbanceTracker& allDisturbances() { return allDisturbances_; }
  LoadWatch& loadWatch() { return loadWatch_; }
  /** @return the indices of the routes that may be absent from the configuration. */
  std::vector<size_t> returningRoutes() const;
  /** Starts or stops the extra callers, a multiple of the usual ones. */
  void setExtraCallers(bool active);
  DisturbanceTracker& unplannedDisturbances() { return unplannedDisturbances_; }
  standins::FaultRules& fabric() { return fabric_; }
  /** Loses a share of the node's datagrams to all hosts until relieveLink(). */
  void overloadLink(TimePoint now, size_t node, double lossShare);
  void relieveLink(TimePoint now, size_t node);
  /** @return the number of datagrams lost on overloaded links. */
  uint64_t lostOnLinks() const { return lostOnLinks_; }
  const ReadinessWatch& readiness() const { return *readiness_; }
  /** Stores the next version of the configuration. */
  void storeConfiguration(uint32_t extraRoutes);
  /** Records the end of the last fault. */
  void afterLastFault() { faultsOver_ = true; }

  CallerCounts totals() const;
  /** @return the maximum number of open flows of a host. */
  size_t maxOpenFlows() const { return maxOpenFlows_; }
  /** @return the maximum pause of the event loop, which stops all callers and hosts; caused by an
   * overloaded machine. */
  Duration longestPause() const { return longestPause_; }
  /** @return the pauses of the event loop. */
  const WaitWatch& pauses() const { return pauses_; }
  uint64_t runs() const { return runs_.runs(); }
  /** @return the longest time after which an undisturbed node still opened a flow at a leaving
   * host. */
  Duration longestDrainDelay() const { return longestDrainDelay_; }
  /** @return the counts by seconds since startTraffic(). */
  const std::map<int64_t, SecondCounts>& seconds() const { return seconds_; }

 private:
  struct CallerEntry {
    std::unique_ptr<SoakCaller> caller;
    std::string zone;
    standins::SocketIndex socket = 0;
  };

  void openHostSockets();
  void makeCallers();
  void addCaller(uint32_t number, size_t route);
  HostHooks makeHostHooks(size_t slot);
  void onHostDatagram(size_t slot, const Endpoint& from, std::string_view bytes);
  /** @return whether an overloaded link loses a datagram from the node to a host. */
  bool isLostOnLink(const Endpoint& node);
  void onCallerDatagram(size_t caller, const Endpoint& from, std::string_view bytes);
  void onProbeDatagram(std::string_view bytes);
  void onHostOpening(size_t slot, const FlowName& flow, const Endpoint& node);
  void onHostRun(size_t slot, const FlowName& flow, const Request& request);
  void onOpenFlowReset(const FlowName& flow, TimePoint openedAt);
  void onRejected(size_t slot, const Request& request);
  void onEnded(const CallerRoute& route, TimePoint startedAt, bool served);
  bool areAllSettled(TimePoint now) const;
  void sendToNode(size_t node, standins::SocketIndex socket, const std::string& zone,
                  std::string_view packet);
  void sendToCaller(size_t slot, const Endpoint& caller, const std::string& packet);
  void tick();
  void probe(TimePoint now);
  std::string nodeNameOf(const Endpoint& data) const;

  // Sabotage (soak_world_sabotage.cc).
  /** @return whether the datagram was handled. */
  bool sabotageToHost(size_t slot, const Endpoint& from, std::string_view bytes);
  bool redirect(size_t slot, const Endpoint& from, std::string_view bytes,
                const EchoPacket& packet);
  std::vector<size_t> redirectionTargets(size_t slot) const;
  /** @return the route whose openings Sabotage::kIgnoresRoom loses. */
  const CallerRoute& starvedRoute() const;
  std::string sabotageToCaller(const std::string& packet);
  void sendSystemReset(const EchoPacket& packet);
  /** @return true with the probability `share`. */
  bool drawShare(double share) { return random_.unit() < share; }

  const DeploymentPlan& plan_;
  test::StandinStore& store_;
  RandomSource random_;
  const Sabotage sabotage_;
  const SoakLoad load_;
  ViolationRecord promises_;
  RunTracker runs_;
  LoadWatch loadWatch_;
  DisturbanceTracker allDisturbances_;
  DisturbanceTracker unplannedDisturbances_;
  standins::DatagramLoop loop_;
  standins::DelayLine delays_;
  standins::FaultRules fabric_;
  /** Packet loss on the nodes' links to hosts. */
  standins::FaultRules links_;
  uint64_t lostOnLinks_ = 0;
  /** Nodes with an overloaded link; named with a violation, excuses none. */
  DisturbanceTracker overloadedLinks_;
  std::unique_ptr<RouteTracker> routes_;
  std::unique_ptr<HostFleet> fleet_;
  std::unique_ptr<ReadinessWatch> readiness_;
  std::vector<standins::SocketIndex> hostSockets_;
  std::vector<CallerEntry> callers_;
  /** Index of the first caller that setExtraCallers() starts and stops. */
  size_t firstExtraCaller_ = 0;
  standins::SocketIndex probeSocket_ = 0;
  uint16_t probePortOffset_ = 0;
  TimePoint nextProbe_{};
  /** Sender of the datagram that a caller is processing. */
  Endpoint sender_;
  bool traffic_ = false;
  bool faultsOver_ = false;
  size_t maxOpenFlows_ = 0;
  std::optional<TimePoint> lastTick_;
  Duration longestPause_{0};
  Duration longestDrainDelay_{0};
  WaitWatch pauses_;
  TimePoint trafficStartedAt_{};
  std::map<int64_t, SecondCounts> seconds_;
  /** Flows redirected by sabotage, with the slots of the hosts that receive them. */
  std::map<FlowName, size_t> redirected_;
  std::atomic<bool> stop_{false};
  std::thread thread_;
};

}  // namespace umberhold::soak
