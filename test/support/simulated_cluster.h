/**
 * @file Several NodeCores on a simulated network and clock: the complete decision logic without
 * processes.
 *
 * Messages pass through codec and envelope as on the wire. Without faults delivery is immediate,
 * and only messages to stopped nodes are lost. All randomness comes from one seed, so runs are
 * reproducible.
 */
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "common/base/random.h"
#include "common/node/node_core.h"
#include "common/policy/lua_policy_engine.h"
#include "common/wire/envelope.h"

namespace umberhold {

/** A packet that a node of the cluster sent to a host. */
struct SentPacket {
  NodeId node;
  Endpoint host;
  std::string bytes;
};

/** Faults of the network between nodes; apply to messages and relayed packets. */
struct ClusterFaults {
  double loss = 0.0;
  /** Probability that a datagram is duplicated. */
  double repetition = 0.0;
  Duration shortestDelay{};
  /** Datagrams may be reordered if this is longer than shortestDelay. */
  Duration longestDelay{};
};

/** A region of nodes. */
class SimulatedCluster {
 public:
  static constexpr Duration kStep = std::chrono::milliseconds(10);
  static constexpr uint32_t kZones = 3;

  explicit SimulatedCluster(uint64_t seed = 1) : random_(seed) {}

  /** Adds and starts a node; ids count from 1, and the id determines one of three zones. */
  NodeCore& addNode();
  /** Stops a node without a leave announcement. */
  void killNode(NodeId id);
  /** Restarts a node under its id and address with a higher incarnation. */
  NodeCore& restartNode(NodeId id);
  /** Suspends the node until resumeNode(); datagrams to it are queued. */
  void pauseNode(NodeId id);
  void resumeNode(NodeId id);
  void setFaults(const ClusterFaults& faults) { faults_ = faults; }
  /** Partitions two zones (0 to kZones - 1) from each other. */
  void cutZones(uint32_t left, uint32_t right);
  void healZones() { partitionedZones_.clear(); }
  /** Sets the delay until the fabric detects that a node became ready or ended. */
  void setFabricLag(Duration lag) { fabricLag_ = lag; }

  NodeCore& node(NodeId id);
  bool isRunning(NodeId id) const { return nodes_.contains(id); }
  bool isPaused(NodeId id) const { return nodes_.at(id).paused; }
  std::vector<NodeId> runningNodes() const;
  static uint32_t zoneOf(NodeId id) { return id.value % kZones; }

  /** Runs the cluster for some time. */
  void run(Duration time);
  /** Runs until the condition holds. @return whether it held within the limit. */
  bool runUntil(const std::function<bool()>& condition, Duration limit);
  /** Delivers records to a node as the result of listing the store. */
  void publish(NodeId reader, const std::vector<ConfigRecord>& records);
  /** Delivers a packet from the fabric to a node, and all resulting datagrams that are due. */
  void packet(NodeId node, const std::string& bytes);
  /** Delivers a packet to a random node on the fabric's list of ready nodes. */
  void packetFromFabric(const std::string& bytes);
  /** Delivers bytes to a node's control port as a datagram from the network. */
  void datagram(NodeId to, const std::string& bytes);
  /** @return the last sealed datagram between nodes; empty before the first. */
  const std::string& lastDatagram() const { return lastDatagram_; }

  std::vector<SentPacket>& toHosts() { return toHosts_; }
  std::vector<std::string>& toCallers() { return toCallers_; }
  /** Observers are called synchronously, in sending order. */
  void observeHosts(std::function<void(const SentPacket&)> observer) {
    hostObserver_ = std::move(observer);
  }
  void observeCallers(std::function<void(const std::string&)> observer) {
    callerObserver_ = std::move(observer);
  }
  TimePoint now() const { return now_; }
  UnixSeconds unixNow() const {
    return unixNow_ + (now_.time_since_epoch() / std::chrono::seconds(1));
  }

 private:
  struct Outputs : public MessageSink, public PacketOutput, public ProbeOutput {
    Outputs(SimulatedCluster& owner, NodeId id, uint64_t incarnation);
    void send(const Endpoint& to, Message message) override;
    void sendToHost(const Endpoint& host, std::string_view packet) override;
    void sendToNode(const Endpoint& relay, std::string_view packet) override;
    void sendToCaller(const Endpoint& /*caller*/, std::string_view packet) override;
    void probe(ServiceId service, HostId host, const Endpoint& httpEndpoint) override;
    SimulatedCluster& cluster;
    NodeId self;
    KeyRing keys;
    EnvelopeSealer sealer;
    EnvelopeOpener opener;
  };
  /** An event in transit to a node. */
  struct Frame {
    enum class Kind : uint8_t { kMessage, kRelayed, kFabric, kProbe };
    Kind kind = Kind::kMessage;
    NodeId from;
    NodeId to;
    std::string bytes;
    ProbeResult probe;
  };
  struct Running {
    std::unique_ptr<Outputs> outputs;
    std::unique_ptr<NodeCore> core;
    bool paused = false;
    std::deque<Frame> queuedFrames;
  };
  /** Whether the fabric lists a node, and since when that differs from the node's readiness. */
  struct FabricEntry {
    bool listed = false;
    std::optional<TimePoint> outdatedSince;
  };

  static Endpoint controlOf(NodeId id);
  static Endpoint relayOf(NodeId id);
  NodeCore& startNode(NodeId id);
  bool isCut(NodeId left, NodeId right) const;
  void transmit(Frame frame);
  void deliver();
  void deliverFrame(Frame frame);
  void processFrame(Running& running, const Frame& frame);
  /** Lists and unlists nodes whose readiness changed at least fabricLag_ ago. */
  void updateFabric();

  TimePoint now_{std::chrono::seconds(1000)};
  UnixSeconds unixNow_ = 1800000000;
  RandomSource random_;
  LuaPolicyEngine policies_;
  ClusterFaults faults_;
  std::set<std::pair<uint32_t, uint32_t>> partitionedZones_;
  Duration fabricLag_{};
  uint32_t nextId_ = 1;
  uint64_t lastIncarnation_ = 0;
  std::map<NodeId, Running> nodes_;
  std::map<NodeId, FabricEntry> fabric_;
  std::multimap<TimePoint, Frame> inFlight_;
  std::string lastDatagram_;
  std::vector<SentPacket> toHosts_;
  std::vector<std::string> toCallers_;
  std::function<void(const SentPacket&)> hostObserver_;
  std::function<void(const std::string&)> callerObserver_;
};

}  // namespace umberhold
