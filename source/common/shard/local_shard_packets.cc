/** @file Packet decisions of LocalShard. */
#include "common/flow/flow_state.h"
#include "common/shard/local_shard.h"

namespace umberhold {
namespace {

bool isTcp(const FlowPacket& packet) {
  return packet.key.protocol == TransportProtocol::kTcp;
}

}  // namespace

FlowDecision LocalShard::decide(TimePoint now, const FlowPacket& packet, std::string_view bytes) {
  switch (role_) {
    case ShardRole::kOwner:
      return decideAsOwner(now, packet, bytes);
    case ShardRole::kAcquiring:
      return decideAcquiring(now, packet, bytes);
    case ShardRole::kReleased:
      return decideReleased(now, packet, bytes);
    case ShardRole::kNone:
      break;
  }
  if (isAssignedOwner()) {
    startTakeover(now);
    return decideAcquiring(now, packet, bytes);
  }
  return relayToAssignedOwner();
}

FlowDecision LocalShard::decideAsOwner(TimePoint now, const FlowPacket& packet,
                                       std::string_view bytes) {
  if (unacknowledged_.contains(packet.hash)) {
    unacknowledged_.hold(packet.hash, bytes, packet.source);
    return HoldPacket{};
  }
  const auto before = context_.flows.find(now, flowSlot_, packet.hash);
  if (!before) {
    return decideUnknown(now, packet, bytes);
  }
  const FlowEntry entry = *context_.flows.touch(now, flowSlot_, packet.hash, packet.phase);
  updateFlowCounts(*before, entry);
  return serveEntry(now, packet, bytes, entry);
}

void LocalShard::updateFlowCounts(const FlowEntry& before, const FlowEntry& after) {
  const HostId host = slots_.at(after.hostSlot).host;
  if (isOpen(before.state) && !isOpen(after.state)) {
    service_.placement->flowRemoved(id_, host);
  } else if (!isOpen(before.state) && isOpen(after.state)) {
    service_.placement->flowAdded(id_, host, FlowOrigin::kNew);
  }
}

FlowDecision LocalShard::decideAcquiring(TimePoint now, const FlowPacket& packet,
                                         std::string_view bytes) {
  if (hasState_ && !handedOver_) {
    const auto entry = context_.flows.find(now, flowSlot_, packet.hash);
    if (entry && slots_.at(entry->hostSlot).usable) {
      return forward(entry->hostSlot);
    }
  }
  const auto servingNode = takeover_ ? takeover_->servingNode() : std::nullopt;
  if (servingNode && packet.source == PacketSource::kFabric && context_.isReachable(*servingNode)) {
    return relayTo(*servingNode);
  }
  return hold(packet, bytes);
}

FlowDecision LocalShard::decideReleased(TimePoint now, const FlowPacket& packet,
                                        std::string_view bytes) {
  const bool successorReachable = successor_ != context_.self() && context_.isReachable(successor_);
  if (handedOver_ && successorReachable) {
    return relayTo(successor_);
  }
  const auto entry = context_.flows.touch(now, flowSlot_, packet.hash, packet.phase);
  if (entry && slots_.at(entry->hostSlot).usable) {
    return forward(entry->hostSlot);
  }
  if (refused_.contains(packet.hash)) {
    return RefuseFlow{};
  }
  if (successorReachable) {
    return relayTo(successor_);
  }
  return isAssignedOwner() ? hold(packet, bytes) : relayToAssignedOwner();
}

FlowDecision LocalShard::serveEntry(TimePoint now, const FlowPacket& packet, std::string_view bytes,
                                    const FlowEntry& entry) {
  const HostSlot& slot = slots_.at(entry.hostSlot);
  if (!slot.usable) {
    return decideHostGone(now, packet, bytes, entry);
  }
  const bool ended = entry.state == FlowState::kClosing || entry.state == FlowState::kReset;
  const bool reopens = ended && packet.phase == PacketPhase::kOpening;
  if (reopens && !service_.placement->isAdmissible(now, id_, slot.host)) {
    dropEntry(now, entry);
    return placeNew(now, packet, bytes);
  }
  return forward(entry.hostSlot);
}

FlowDecision LocalShard::decideHostGone(TimePoint now, const FlowPacket& packet,
                                        std::string_view bytes, const FlowEntry& entry) {
  dropEntry(now, entry);
  const bool canStartFlow = packet.phase == PacketPhase::kOpening || !isTcp(packet);
  if (canStartFlow) {
    return placeNew(now, packet, bytes);
  }
  if (packet.phase == PacketPhase::kReset) {
    return DropPacket{DropReason::kHostGone};
  }
  return RefuseFlow{};
}

void LocalShard::dropEntry(TimePoint now, const FlowEntry& entry) {
  context_.flows.erase(flowSlot_, entry.flow);
  onFlowRemoved(now, entry);
}

void LocalShard::onFlowRemoved(TimePoint now, const FlowEntry& entry) {
  if (role_ != ShardRole::kOwner) {
    return;
  }
  if (isOpen(entry.state)) {
    service_.placement->flowRemoved(id_, slots_.at(entry.hostSlot).host);
  }
  if (entry.exception) {
    log_.appendRemoved(now, entry.flow);
  }
}

FlowDecision LocalShard::decideUnknown(TimePoint now, const FlowPacket& packet,
                                       std::string_view bytes) {
  if (refused_.contains(packet.hash)) {
    return RefuseFlow{};
  }
  switch (packet.phase) {
    case PacketPhase::kOpening:
      return placeNew(now, packet, bytes);
    case PacketPhase::kUnmarked:
      return opensUdpFlow(packet.hash) ? placeNew(now, packet, bytes) : adopt(now, packet, bytes);
    case PacketPhase::kContinuing:
    case PacketPhase::kClosing:
    case PacketPhase::kReset:
      return adopt(now, packet, bytes);
  }
  return DropPacket{DropReason::kMalformed};
}

bool LocalShard::opensUdpFlow(FlowHash flow) const {
  if (knowsAllFlows_ || !oldFlows_) {
    return knowsAllFlows_;
  }
  // Only a draining host takes no new flows: for other hosts the base table is right for new and
  // for existing flows.
  const auto host = base_.defaultHost(flow);
  const HostRecord* record = host ? service_.hosts.find(*host) : nullptr;
  const bool draining = record != nullptr && record->state == HostState::kDraining;
  return draining && !oldFlows_->contains(flow);
}

FlowDecision LocalShard::adopt(TimePoint now, const FlowPacket& packet, std::string_view bytes) {
  const auto host = base_.defaultHost(packet.hash);
  const auto slot = host ? enterHost(*host) : std::nullopt;
  if (!slot) {
    if (!isTcp(packet)) {
      return placeNew(now, packet, bytes);
    }
    const bool dropSilently = packet.phase == PacketPhase::kReset;
    return dropSilently ? FlowDecision{DropPacket{DropReason::kHostGone}}
                        : FlowDecision{RefuseFlow{RefusalReason::kHostEnded}};
  }
  if (packet.phase == PacketPhase::kReset) {
    return forward(*slot);
  }
  const NewFlow flow{flowSlot_,    packet.hash,
                     *slot,        isException(packet.hash, *host),
                     packet.phase, packet.key.caller.address};
  if (isOk(context_.flows.insert(now, flow))) {
    ++context_.counters.flowsAdopted;
    if (!oldFlows_ || !oldFlows_->contains(packet.hash)) {
      knownFlows_.add(fingerprintOf(packet.hash));
    }
    if (packet.phase != PacketPhase::kClosing) {
      service_.placement->flowAdded(id_, *host, FlowOrigin::kAdopted);
    }
    if (flow.exception) {
      log_.appendAdded(now, PinnedFlow{packet.hash, *host});
    }
  } else {
    // The base table serves the flow without an entry, so it must not change in the meantime.
    invalidateKnownFlows(now);
  }
  return forward(*slot);
}

bool LocalShard::placesAtBaseOnly(TimePoint now) const {
  return now < baseOnlyUntil_ || now < context_.baseOnlyUntil;
}

FlowDecision LocalShard::placeNew(TimePoint now, const FlowPacket& packet, std::string_view bytes) {
  if (placesAtBaseOnly(now)) {
    return placeAtBase(now, packet, bytes);
  }
  if (!service_.admitting) {
    return refuse(now, packet);
  }
  ServicePlacement& placement = *service_.placement;
  const bool reliable = replicationReliable(now);
  PlacementChoice choice = placement.choose(
      now, id_, packet.hash, base_, reliable ? PlacementMode::kNormal : PlacementMode::kBaseOnly);
  if (!reliable && std::holds_alternative<NoAdmissibleHost>(choice)) {
    choice = placement.choose(now, id_, packet.hash, base_, PlacementMode::kNormal);
  }
  if (const auto* chosen = std::get_if<ChosenHost>(&choice)) {
    return accept(now, packet, bytes, chosen->host);
  }
  return refuse(now, packet);
}

FlowDecision LocalShard::placeAtBase(TimePoint now, const FlowPacket& packet,
                                     std::string_view bytes) {
  const auto host = base_.defaultHost(packet.hash);
  if (!host || !service_.placement->isAdmissible(now, id_, *host)) {
    // The flow may already be established at the host, so neither another host nor a refusal is
    // correct.
    return DropPacket{DropReason::kNoHost};
  }
  return accept(now, packet, bytes, *host);
}

FlowDecision LocalShard::accept(TimePoint now, const FlowPacket& packet, std::string_view bytes,
                                HostId host) {
  const auto slot = enterHost(host);
  if (!slot) {
    return DropPacket{DropReason::kNoHost};
  }
  const NewFlow flow{flowSlot_,    packet.hash,
                     *slot,        isException(packet.hash, host),
                     packet.phase, packet.key.caller.address};
  const auto inserted = context_.flows.insert(now, flow);
  if (!isOk(inserted)) {
    return DropPacket{errorOf(inserted)};
  }
  ++context_.counters.flowsPlaced;
  knownFlows_.add(fingerprintOf(packet.hash));
  service_.placement->flowAdded(id_, host, FlowOrigin::kNew);
  if (flow.exception) {
    ++context_.counters.exceptionsPlaced;
    const bool acknowledgedRecently =
        now - lastReplicaAck_ < UnacknowledgedFlows::kAcknowledgementTimeout;
    const bool waits = replicaNode_ && !acknowledgedRecently && replicationReliable(now) &&
                       !unacknowledged_.isFull();
    log_.appendAdded(now, PinnedFlow{packet.hash, host});
    if (waits) {
      unacknowledged_.add(now, packet.hash, log_.nextSequence() - 1, bytes, packet.source);
      return HoldPacket{};
    }
  }
  return forward(*slot);
}

FlowDecision LocalShard::refuse(TimePoint now, const FlowPacket& packet) {
  // If another owner may have forwarded the flow, a refusal would be incorrect.
  if (!replicationReliable(now) || !refused_.record(now, packet.hash)) {
    return DropPacket{DropReason::kNoHost};
  }
  ++context_.counters.refusals;
  log_.appendRefused(now, packet.hash);
  return RefuseFlow{};
}

FlowDecision LocalShard::forward(uint16_t slot) const {
  const HostSlot& host = slots_.at(slot);
  if (!host.isResolved()) {
    return DropPacket{DropReason::kNoHost};
  }
  return ForwardToHost{host.host, host.endpoint};
}

FlowDecision LocalShard::relayTo(NodeId node) const {
  const Member* member = context_.view.find(node);
  if (member == nullptr || node == context_.self()) {
    return DropPacket{DropReason::kNoOwner};
  }
  return RelayToNode{node, member->relayEndpoint()};
}

FlowDecision LocalShard::relayToAssignedOwner() const {
  const auto assignment = context_.map.lookup(id_);
  return assignment ? relayTo(assignment->owner) : FlowDecision{DropPacket{DropReason::kNoOwner}};
}

FlowDecision LocalShard::hold(const FlowPacket& packet, std::string_view bytes) {
  if (!heldPackets_.push(bytes, packet.source)) {
    return DropPacket{DropReason::kHoldQueueFull};
  }
  return HoldPacket{};
}

PlacementExplanation LocalShard::explain(TimePoint now, FlowHash flow) const {
  PlacementExplanation answer;
  answer.shard = id_;
  answer.role = role_;
  if (const auto assignment = context_.map.lookup(id_)) {
    answer.owner = assignment->owner;
  }
  if (role_ != ShardRole::kOwner) {
    return answer;
  }
  answer.owner = context_.self();
  const auto entry = context_.flows.find(now, flowSlot_, flow);
  if (entry) {
    answer.reason = ExplainReason::kEstablished;
    answer.host = slots_.at(entry->hostSlot).host;
    answer.exception = entry->exception;
  } else if (refused_.contains(flow)) {
    answer.reason = ExplainReason::kRefusedBefore;
  } else {
    answer.host = base_.defaultHost(flow);
    answer.reason = answer.host ? ExplainReason::kBaseTable : ExplainReason::kNoHost;
  }
  return answer;
}

}  // namespace umberhold
