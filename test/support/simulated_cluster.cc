#include "test/support/simulated_cluster.h"

#include <algorithm>

#include "common/base/hash.h"
#include "common/wire/codec.h"

namespace umberhold {
namespace {

constexpr uint32_t kFirstAddress = 0x0A000000U;
constexpr uint16_t kControlPort = 7300;
constexpr uint16_t kRelayPort = 7200;
constexpr const char* kZoneNames[SimulatedCluster::kZones] = {"bole", "piassa", "merkato"};
constexpr uint32_t kKeyId = 1;

KeyRing sharedKeys() {
  auto ring = KeyRing::create({AuthenticationKey{kKeyId, "secret of the simulation"}}, kKeyId);
  return std::move(valueOf(ring));
}

/** @return the node at an endpoint of the simulated network. */
NodeId nodeAt(const Endpoint& endpoint) {
  return NodeId{endpoint.address - kFirstAddress};
}

}  // namespace

Endpoint SimulatedCluster::controlOf(NodeId id) {
  return Endpoint{kFirstAddress + id.value, kControlPort};
}

Endpoint SimulatedCluster::relayOf(NodeId id) {
  return Endpoint{kFirstAddress + id.value, kRelayPort};
}

NodeCore& SimulatedCluster::addNode() {
  return startNode(NodeId{nextId_++});
}

NodeCore& SimulatedCluster::restartNode(NodeId id) {
  nodes_.erase(id);
  return startNode(id);
}

NodeCore& SimulatedCluster::startNode(NodeId id) {
  const auto clockMillis =
      static_cast<uint64_t>(now_.time_since_epoch() / std::chrono::milliseconds(1));
  lastIncarnation_ = std::max(lastIncarnation_ + 1, clockMillis);
  NodeOptions options;
  options.regionName = "addis";
  options.zoneName = kZoneNames[zoneOf(id)];
  options.self = Member{id,
                        lastIncarnation_,
                        MemberState::kJoining,
                        regionIdOf(options.regionName),
                        zoneIdOf(options.zoneName),
                        kFirstAddress + id.value,
                        kControlPort,
                        kRelayPort};
  for (const auto& [other, running] : nodes_) {
    options.seeds.push_back(controlOf(other));
  }
  Running running;
  running.outputs = std::make_unique<Outputs>(*this, id, lastIncarnation_);
  running.core = std::make_unique<NodeCore>(
      options, NodeOutputs{*running.outputs, *running.outputs, *running.outputs}, policies_,
      id.value);
  running.core->start(now_, unixNow());
  return *nodes_.emplace(id, std::move(running)).first->second.core;
}

void SimulatedCluster::killNode(NodeId id) {
  nodes_.erase(id);
}

void SimulatedCluster::pauseNode(NodeId id) {
  nodes_.at(id).paused = true;
}

void SimulatedCluster::resumeNode(NodeId id) {
  Running& running = nodes_.at(id);
  running.paused = false;
  const std::deque<Frame> queuedFrames = std::move(running.queuedFrames);
  running.queuedFrames.clear();
  for (const Frame& frame : queuedFrames) {
    processFrame(running, frame);
  }
  deliver();
}

void SimulatedCluster::cutZones(uint32_t left, uint32_t right) {
  partitionedZones_.emplace(std::min(left, right), std::max(left, right));
}

bool SimulatedCluster::isCut(NodeId left, NodeId right) const {
  return partitionedZones_.contains(std::minmax({zoneOf(left), zoneOf(right)}));
}

NodeCore& SimulatedCluster::node(NodeId id) {
  return *nodes_.at(id).core;
}

std::vector<NodeId> SimulatedCluster::runningNodes() const {
  std::vector<NodeId> ids;
  for (const auto& [id, running] : nodes_) {
    ids.push_back(id);
  }
  return ids;
}

void SimulatedCluster::run(Duration time) {
  runUntil([] { return false; }, time);
}

bool SimulatedCluster::runUntil(const std::function<bool()>& condition, Duration limit) {
  const TimePoint end = now_ + limit;
  while (now_ < end) {
    if (condition()) {
      return true;
    }
    now_ += kStep;
    for (auto& [id, running] : nodes_) {
      if (!running.paused) {
        running.core->onTick(now_, unixNow());
      }
    }
    updateFabric();
    deliver();
  }
  return condition();
}

void SimulatedCluster::updateFabric() {
  for (const auto& [id, running] : nodes_) {
    fabric_.try_emplace(id);
  }
  for (auto& [id, entry] : fabric_) {
    const auto running = nodes_.find(id);
    const bool ready =
        running != nodes_.end() && running->second.core->readiness() == NodeReadiness::kReady;
    if (ready == entry.listed) {
      entry.outdatedSince.reset();
      continue;
    }
    entry.outdatedSince = entry.outdatedSince.value_or(now_);
    if (now_ - *entry.outdatedSince >= fabricLag_) {
      entry = FabricEntry{ready, std::nullopt};
    }
  }
}

void SimulatedCluster::publish(NodeId reader, const std::vector<ConfigRecord>& records) {
  node(reader).onStoreRecords(now_, records);
  node(reader).onStoreListed(now_);
}

void SimulatedCluster::packet(NodeId id, const std::string& bytes) {
  deliverFrame(Frame{Frame::Kind::kFabric, NodeId{}, id, bytes, {}});
  deliver();
}

void SimulatedCluster::packetFromFabric(const std::string& bytes) {
  std::vector<NodeId> listed;
  for (const auto& [id, entry] : fabric_) {
    if (entry.listed) {
      listed.push_back(id);
    }
  }
  if (!listed.empty()) {
    packet(listed[random_.below(listed.size())], bytes);
  }
}

void SimulatedCluster::datagram(NodeId to, const std::string& bytes) {
  deliverFrame(Frame{Frame::Kind::kMessage, NodeId{}, to, bytes, {}});
  deliver();
}

void SimulatedCluster::transmit(Frame frame) {
  const uint32_t copies = random_.unit() < faults_.repetition ? 2 : 1;
  for (uint32_t copy = 0; copy < copies; ++copy) {
    if (isCut(frame.from, frame.to) || random_.unit() < faults_.loss) {
      continue;
    }
    const auto delayRange =
        static_cast<uint64_t>((faults_.longestDelay - faults_.shortestDelay).count());
    const Duration delay = faults_.shortestDelay + Duration(random_.below(delayRange + 1));
    inFlight_.emplace(now_ + delay, frame);
  }
}

void SimulatedCluster::deliver() {
  while (!inFlight_.empty() && inFlight_.begin()->first <= now_) {
    Frame frame = std::move(inFlight_.begin()->second);
    inFlight_.erase(inFlight_.begin());
    deliverFrame(std::move(frame));
  }
}

void SimulatedCluster::deliverFrame(Frame frame) {
  const auto running = nodes_.find(frame.to);
  if (running == nodes_.end()) {
    return;
  }
  if (running->second.paused) {
    running->second.queuedFrames.push_back(std::move(frame));
    return;
  }
  processFrame(running->second, frame);
}

void SimulatedCluster::processFrame(Running& running, const Frame& frame) {
  switch (frame.kind) {
    case Frame::Kind::kMessage: {
      const auto envelope = running.outputs->opener.open(frame.bytes);
      if (!isOk(envelope)) {
        return;
      }
      const NodeId sender = valueOf(envelope).sender;
      const auto message = decode(valueOf(envelope).body);
      if (isOk(message)) {
        running.core->onMessage(now_, controlOf(sender), sender, valueOf(message));
      }
      break;
    }
    case Frame::Kind::kRelayed:
      running.core->onPacket(now_, PacketSource::kPeer, frame.bytes);
      break;
    case Frame::Kind::kFabric:
      running.core->onPacket(now_, PacketSource::kFabric, frame.bytes);
      break;
    case Frame::Kind::kProbe:
      running.core->onProbeResult(now_, frame.probe);
      break;
  }
}

SimulatedCluster::Outputs::Outputs(SimulatedCluster& owner, NodeId id, uint64_t incarnation)
    : cluster(owner), self(id), keys(sharedKeys()), sealer(keys, id, incarnation), opener(keys) {}

void SimulatedCluster::Outputs::send(const Endpoint& to, Message message) {
  const auto bytes = encode(message);
  if (isOk(bytes)) {
    cluster.lastDatagram_ = sealer.seal(valueOf(bytes));
    cluster.transmit(Frame{Frame::Kind::kMessage, self, nodeAt(to), cluster.lastDatagram_, {}});
  }
}

void SimulatedCluster::Outputs::sendToHost(const Endpoint& host, std::string_view packet) {
  cluster.toHosts_.push_back(SentPacket{self, host, std::string(packet)});
  if (cluster.hostObserver_) {
    cluster.hostObserver_(cluster.toHosts_.back());
  }
}

void SimulatedCluster::Outputs::sendToNode(const Endpoint& relay, std::string_view packet) {
  cluster.transmit(Frame{Frame::Kind::kRelayed, self, nodeAt(relay), std::string(packet), {}});
}

void SimulatedCluster::Outputs::sendToCaller(const Endpoint& /*caller*/, std::string_view packet) {
  cluster.toCallers_.emplace_back(packet);
  if (cluster.callerObserver_) {
    cluster.callerObserver_(cluster.toCallers_.back());
  }
}

void SimulatedCluster::Outputs::probe(ServiceId service, HostId host, const Endpoint&) {
  constexpr uint32_t kLoadPercent = 10;
  cluster.inFlight_.emplace(cluster.now_,
                            Frame{Frame::Kind::kProbe,
                                  self,
                                  self,
                                  {},
                                  ProbeResult{service, host, true, true, kLoadPercent}});
}

}  // namespace umberhold
