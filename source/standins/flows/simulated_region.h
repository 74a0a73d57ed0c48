/**
 * @file A region of nodes in one process: simulated clock, network, membership and configuration.
 *
 * Runs the real FlowDirectors without sockets. All randomness comes from one seed, so runs are
 * reproducible. Messages and relayed packets may be lost, duplicated, delayed and reordered; zones
 * can be partitioned; nodes join, leave, pause and fail; membership updates and configuration reach
 * each node at a different time.
 */
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <vector>

#include "common/base/random.h"
#include "common/config/service_source.h"
#include "common/flow/flow_director.h"
#include "common/flow/flow_table.h"
#include "common/membership/membership_view.h"
#include "common/node/node_core.h"
#include "common/shard/baseline_director.h"
#include "common/shard/shard_director.h"
#include "standins/flows/flow_oracle.h"
#include "standins/flows/shard_traffic.h"

namespace umberhold {

/** Faults of the network between nodes. */
struct NetworkFaults {
  double loss = 0.0;
  double repetition = 0.0;
  Duration shortestDelay = std::chrono::microseconds(500);
  Duration longestDelay = std::chrono::microseconds(3000);
};

/** Maximum propagation delays of updates to a node; delays are uniformly distributed. */
struct Lags {
  Duration membership = std::chrono::milliseconds(500);
  Duration configuration = std::chrono::milliseconds(1000);
  /** From receipt of the member list to state alive; the node fetches the configuration meanwhile.
   */
  Duration catchUp = std::chrono::milliseconds(1000);
  /** From a node's failure to its state dead in another view; drawn for each view. */
  Duration shortestDetection = std::chrono::milliseconds(2000);
  Duration longestDetection = std::chrono::milliseconds(3500);
};

struct RegionOptions {
  uint64_t seed = 1;
  FlowStrategy strategy = FlowStrategy::kOwned;
  ShardDirectorOptions director;
  NetworkFaults faults;
  Lags lags;
};

/** See the file comment. */
class SimulatedRegion {
 public:
  explicit SimulatedRegion(RegionOptions options);
  ~SimulatedRegion();

  /**
   * Starts a node. Like a real node it becomes alive, owns shards and receives packets only after
   * it has the member list of a joined node or, if all nodes are starting, of all nodes.
   */
  void startNode(uint32_t id, uint32_t zone);
  /** Ends the process without a leave announcement. */
  void killNode(uint32_t id);
  /** Graceful stop: the node ends after the handover and a linger time. */
  void leaveNode(uint32_t id);
  /** Suspends the process; packets and messages to it are lost meanwhile. */
  void pauseNode(uint32_t id, Duration pause);
  /** Partitions a zone from the other zones; callers reach both sides. */
  void cutZone(uint32_t zone);
  void healZones();
  /** Changes the service on all nodes, each after its own delay. */
  void configure(const Service& service);
  void setFaults(const NetworkFaults& faults) { options_.faults = faults; }

  /** Delivers a caller's packet to a random node among those that the fabric uses. */
  void sendFromCaller(uint32_t flow, PacketPhase phase);
  /** Runs all events until this time. */
  void runUntil(TimePoint end);
  void runFor(Duration duration) { runUntil(now_ + duration); }
  /** Runs the action after the delay. */
  void after(Duration delay, std::function<void()> action);

  TimePoint now() const { return now_; }
  UnixSeconds unixNow() const;
  RandomSource& random() { return random_; }
  FlowOracle& oracle() { return oracle_; }
  const Service& service() const { return service_; }
  ServiceId serviceId() const;
  bool isRunning(uint32_t id) const;
  bool hasEnded(uint32_t id) const;
  /** @return the nodes that have not ended, including paused ones. */
  std::vector<uint32_t> runningNodes() const;
  /** @return the time since which all running nodes have had the current configuration. */
  Duration configurationAge() const;
  /** @return counters of the traffic between all nodes. */
  const ShardTraffic& traffic() const { return traffic_; }
  const ShardDirector* director(uint32_t id) const;
  /** @return the number of shards with exactly one running owner. */
  uint32_t shardsWithOneOwner() const;

 private:
  class Node;
  static constexpr uint16_t kControlPort = 1;
  struct Event {
    TimePoint when;
    uint64_t order = 0;
    std::function<void()> action;
  };
  struct Later {
    bool operator()(const Event& left, const Event& right) const {
      return std::tie(left.when, left.order) > std::tie(right.when, right.order);
    }
  };

  /** @return the node, or nullptr if it has ended or is paused. */
  Node* runningNode(uint32_t id);
  /** @return a uniformly distributed duration. */
  Duration randomDuration(Duration shortest, Duration longest);
  bool connected(uint32_t left, uint32_t right) const;
  /** Sends over the network, with its faults; `deliver` runs once for each copy that arrives. */
  void transmit(uint32_t from, uint32_t to, const std::function<void(Node&)>& deliver);
  void sendMessage(uint32_t from, const Endpoint& to, Message message);
  void sendRelay(uint32_t from, NodeId to, std::string bytes, uint8_t timeToLive);
  void announce(const Member& member, Duration shortest, Duration longest);
  void sendMemberUpdate(uint32_t id, const Member& member, Duration delay);
  void tickNodes();
  void endNode(uint32_t id);
  /** @return the process with this start incarnation if it is still joining, else nullptr. */
  Node* joiningNode(uint32_t id, uint64_t startIncarnation);
  void join(uint32_t id, uint64_t startIncarnation);
  /** @return whether the list came from a joined node, or all other nodes are still joining. */
  bool fetchMemberList(Node& newcomer);
  void markAlive(uint32_t id, uint64_t startIncarnation);
  void scheduleViewExchange();
  void exchangeViews();
  uint32_t randomNode();
  /** @return the nodes to which the fabric sends packets. */
  std::vector<uint32_t> readyNodes() const;

  RegionOptions options_;
  RandomSource random_;
  FlowOracle oracle_;
  TimePoint now_ = TimePoint(std::chrono::seconds(1000));
  std::priority_queue<Event, std::vector<Event>, Later> events_;
  uint64_t nextOrder_ = 0;
  TimePoint nextTick_;
  std::map<uint32_t, std::unique_ptr<Node>> nodes_;
  /** Kept, because a node may end while its own code runs. */
  std::vector<std::unique_ptr<Node>> ended_;
  std::set<uint32_t> cutZones_;
  Service service_;
  /** When all nodes have the current configuration at the latest. */
  TimePoint configuredEverywhereAt_;
  uint64_t configurationVersion_ = 0;
  uint64_t incarnation_ = 1;
  ShardTraffic traffic_;
};

}  // namespace umberhold
