#include "common/packet/packet_path.h"

#include <variant>

#include "common/packet/packet_rewriter.h"

namespace umberhold {
namespace {

FlowPacket flowPacketOf(const ParsedPacket& packet, PacketSource source) {
  FlowPacket flow;
  flow.key = packet.key;
  flow.hash = hashOf(packet.key);
  flow.phase = packet.phase;
  flow.source = source;
  flow.timeToLive = packet.timeToLive;
  flow.token = packet.token;
  flow.sequence = packet.sequence;
  flow.acknowledged = packet.acknowledged;
  flow.dataBytes = packet.dataBytes;
  return flow;
}

}  // namespace

PacketPath::PacketPath(const ServiceLookup& services, FlowDirector& director, PacketOutput& output,
                       const PacketFormat& format)
    : services_(services), director_(director), output_(output), format_(format) {}

void PacketPath::onPacket(TimePoint now, PacketSource source, std::string_view bytes) {
  ++counters_.received[static_cast<size_t>(source)];
  if (!ready_ && holdUntilReady_) {
    hold(now, bytes);
    return;
  }
  if (!ready_) {
    dropBeforeDecision(now, DropReason::kNotReady, bytes);
    return;
  }
  const auto parsed = format_.parse(bytes);
  if (!isOk(parsed)) {
    dropBeforeDecision(now, errorOf(parsed), bytes);
    return;
  }
  route(now, source, valueOf(parsed), bytes.substr(0, valueOf(parsed).totalLength));
}

void PacketPath::hold(TimePoint now, std::string_view bytes) {
  const auto parsed = format_.parse(bytes);
  if (!isOk(parsed)) {
    dropBeforeDecision(now, errorOf(parsed), bytes);
    return;
  }
  ++counters_.heldUntilReady;
  const size_t evicted =
      held_.hold(now, flowPacketOf(valueOf(parsed), PacketSource::kFabric), bytes);
  counters_.dropped[static_cast<size_t>(DropReason::kNotReady)] += evicted;
}

void PacketPath::releaseHeld(TimePoint now) {
  holdUntilReady_ = false;
  for (const std::string& bytes : held_.take(now)) {
    onPacket(now, PacketSource::kFabric, bytes);
  }
}

void PacketPath::onReset(TimePoint now, const ResetFlow& decision) {
  const auto reset = format_.reset(decision.key, decision.acknowledged);
  if (!isOk(reset)) {
    ++counters_.unanswered;
    return;
  }
  ++counters_.resetFlows;
  output_.sendToCaller(decision.key.caller, valueOf(reset));
  if (observer_ != nullptr) {
    observer_->onReset(now, decision);
  }
}

void PacketPath::release(TimePoint now, std::string bytes, PacketSource source) {
  onPacket(now, source, bytes);
}

void PacketPath::route(TimePoint now, PacketSource source, const ParsedPacket& packet,
                       std::string_view bytes) {
  const FlowDecision decision = decide(now, source, packet, bytes);
  std::visit([&](const auto& chosen) { act(chosen, packet, bytes); }, decision);
  if (observer_ != nullptr) {
    observer_->onDecided(now, packet, decision, bytes);
  }
}

FlowDecision PacketPath::decide(TimePoint now, PacketSource source, const ParsedPacket& packet,
                                std::string_view bytes) {
  const Endpoint& address = packet.key.service;
  const auto match = services_.find(address.address, address.port, packet.key.protocol);
  FlowPacket flow = flowPacketOf(packet, source);
  if (!match) {
    return decideWithoutService(now, flow, bytes);
  }
  if (!match->homeRegion) {
    return DropPacket{DropReason::kWrongRegion};
  }
  flow.service = match->service;
  return director_.decide(now, flow, bytes);
}

FlowDecision PacketPath::decideWithoutService(TimePoint now, const FlowPacket& packet,
                                              std::string_view bytes) {
  if (!refuseUnknownServices_) {
    return DropPacket{DropReason::kUnknownService};
  }
  if (packet.phase == PacketPhase::kOpening) {
    return RefuseFlow{RefusalReason::kUnknownService};
  }
  return director_.decide(now, packet, bytes);
}

void PacketPath::dropBeforeDecision(TimePoint now, DropReason reason, std::string_view bytes) {
  drop(reason);
  if (observer_ != nullptr) {
    observer_->onDropped(now, reason, bytes);
  }
}

void PacketPath::drop(DropReason reason) {
  ++counters_.dropped[static_cast<size_t>(reason)];
}

void PacketPath::act(const ForwardToHost& decision, const ParsedPacket& /*packet*/,
                     std::string_view bytes) {
  ++counters_.forwarded;
  output_.sendToHost(decision.endpoint, format_.rewriteForHost(bytes, decision, hostBuffer_));
}

void PacketPath::act(const RelayToNode& decision, const ParsedPacket& /*packet*/,
                     std::string_view bytes) {
  relayBuffer_.assign(bytes);
  auto* start = reinterpret_cast<uint8_t*>(relayBuffer_.data());
  if (!decrementTimeToLive({start, relayBuffer_.size()})) {
    drop(DropReason::kRelayLoop);
    return;
  }
  ++counters_.relayed;
  output_.sendToNode(decision.endpoint, relayBuffer_);
}

void PacketPath::act(const RefuseFlow&, const ParsedPacket& packet, std::string_view bytes) {
  ++counters_.refused;
  const auto answer = format_.refusal(bytes);
  if (!isOk(answer)) {
    ++counters_.unanswered;
    return;
  }
  output_.sendToCaller(packet.key.caller, valueOf(answer));
}

void PacketPath::act(const HoldPacket&, const ParsedPacket&, std::string_view) {
  ++counters_.held;
}

void PacketPath::act(const DropPacket& decision, const ParsedPacket&, std::string_view) {
  drop(decision.reason);
}

}  // namespace umberhold
