#include "standins/backend/virtual_host.h"

#include <algorithm>

namespace umberhold::standins {
namespace {

constexpr uint32_t kShedRetryAfterMillis = 500;
constexpr uint32_t kFullLoad = 100;

}  // namespace

VirtualHost::VirtualHost(HostProfile profile, UnixMillis now, uint64_t seed)
    : profile_(std::move(profile)), random_(seed), startedAt_(now) {}

void VirtualHost::restart(UnixMillis now) {
  for (const ActiveRequest& request : running_) {
    runs_[request.runIndex].endedAt = now;
  }
  for (const auto& [caller, connection] : connections_) {
    lostFlows_.push_back(LostFlow{caller, now});
  }
  connections_.clear();
  queue_.clear();
  running_.clear();
  scheduledPackets_ = {};
  startedAt_ = now;
}

void VirtualHost::onPacket(UnixMillis now, std::string_view bytes) {
  const auto parsed = parsePacket(bytes);
  if (!isOk(parsed)) {
    ++counters_.malformedPackets;
    return;
  }
  const InnerPacket& packet = valueOf(parsed);
  if (packet.destination != profile_.virtualAddress || packet.protocol() != profile_.protocol) {
    ++counters_.misroutedPackets;
    return;
  }
  switch (packet.kind) {
    case PacketKind::kSyn:
      return onSyn(now, packet);
    case PacketKind::kFin:
      return onFin(now, packet);
    case PacketKind::kSegment:
      return onSegment(now, packet);
    case PacketKind::kDatagram:
      return onDatagram(now, packet);
    case PacketKind::kReset:
      connections_.erase(packet.source);
      return;
    default:
      ++counters_.malformedPackets;
  }
}

VirtualHost::Connection* VirtualHost::openConnection(UnixMillis now, const Endpoint& caller) {
  if (connections_.size() >= profile_.connectionLimit) {
    ++counters_.overLimit;
    return nullptr;
  }
  Connection& connection = connections_[caller];
  connection.hostSequence = static_cast<uint32_t>(random_.below(uint64_t{1} << 32));
  if (profile_.pushMillis > 0 && profile_.protocol == TransportProtocol::kTcp) {
    connection.pushes.emplace(now, profile_.pushMillis, random_);
  }
  ++counters_.openedFlows;
  counters_.lastOpenedAt = now;
  return &connection;
}

void VirtualHost::onSyn(UnixMillis now, const InnerPacket& packet) {
  const auto found = connections_.find(packet.source);
  Connection* connection =
      found != connections_.end() ? &found->second : openConnection(now, packet.source);
  if (connection == nullptr) {
    sendControl(now, PacketKind::kReset, packet.source, 0, packet.sequence + 1);
    return;
  }
  connection->callerNext = packet.sequence + 1;
  sendControl(now, PacketKind::kSynAck, packet.source, connection->hostSequence,
              connection->callerNext);
}

void VirtualHost::onFin(UnixMillis now, const InnerPacket& packet) {
  connections_.erase(packet.source);
  sendControl(now, PacketKind::kFin, packet.source, packet.acknowledgement, packet.sequence + 1);
}

void VirtualHost::onSegment(UnixMillis now, const InnerPacket& packet) {
  const auto found = connections_.find(packet.source);
  if (found == connections_.end()) {
    ++counters_.resets;
    sendControl(now, PacketKind::kReset, packet.source, packet.acknowledgement, packet.sequence);
    return;
  }
  Connection& connection = found->second;
  const uint32_t sequenceEnd = packet.sequence + static_cast<uint32_t>(packet.payload.size());
  if (static_cast<int32_t>(sequenceEnd - connection.callerNext) > 0) {
    connection.callerNext = sequenceEnd;
  }
  if (!packet.payload.empty()) {
    onPayload(now, packet.source, connection, packet.payload);
  }
}

void VirtualHost::onDatagram(UnixMillis now, const InnerPacket& packet) {
  const auto found = connections_.find(packet.source);
  if (found != connections_.end()) {
    onPayload(now, packet.source, found->second, packet.payload);
    return;
  }
  const auto message = decodeExchange(packet.payload);
  if (!isOk(message) || !std::holds_alternative<Request>(valueOf(message))) {
    ++counters_.malformedPackets;
    return;
  }
  const Request& request = std::get<Request>(valueOf(message));
  // For answers to callers without a connection.
  Connection noConnection;
  if (!request.expectedHost.empty()) {
    ++counters_.resets;
    sendMessage(now, packet.source, noConnection,
                Answer{request.id, AnswerStatus::kUnknownFlow, 0, 1, profile_.name, 0});
    return;
  }
  Connection* connection = openConnection(now, packet.source);
  if (connection == nullptr) {
    ++counters_.shedRequests;
    sendMessage(
        now, packet.source, noConnection,
        Answer{request.id, AnswerStatus::kShed, 0, 1, profile_.name, kShedRetryAfterMillis});
    return;
  }
  onRequest(now, packet.source, *connection, request);
}

void VirtualHost::onPayload(UnixMillis now, const Endpoint& caller, Connection& connection,
                            const std::string& payload) {
  const auto message = decodeExchange(payload);
  if (!isOk(message)) {
    ++counters_.malformedPackets;
    return;
  }
  if (const auto* request = std::get_if<Request>(&valueOf(message))) {
    onRequest(now, caller, connection, *request);
  } else if (const auto* cancellation = std::get_if<Cancellation>(&valueOf(message))) {
    onCancellation(now, caller, connection, cancellation->id);
  } else if (const auto* receipt = std::get_if<PushReceipt>(&valueOf(message))) {
    if (connection.pushes) {
      connection.pushes->onReceipt(receipt->id, counters_.pushes);
    }
  }
}

void VirtualHost::onRequest(UnixMillis now, const Endpoint& caller, Connection& connection,
                            const Request& request) {
  const auto found = connection.exchanges.find(request.id);
  if (found != connection.exchanges.end()) {
    if (found->second.state == RequestState::kAnswered) {
      answer(now, caller, connection, request.id, found->second);
    }
    return;
  }
  Exchange& exchange = connection.exchanges[request.id];
  exchange.parts = std::max<uint16_t>(1, request.answerParts);
  exchange.deadline = request.deadline;
  if (queue_.size() >= profile_.queueLimit) {
    ++counters_.shedRequests;
    exchange.state = RequestState::kAnswered;
    exchange.status = AnswerStatus::kShed;
    answer(now, caller, connection, request.id, exchange);
    return;
  }
  queue_.push_back(ActiveRequest{caller, request.id, 0, 0});
  startQueued(now);
}

void VirtualHost::onCancellation(UnixMillis now, const Endpoint& caller, Connection& connection,
                                 uint64_t id) {
  Exchange& exchange = connection.exchanges[id];
  if (exchange.state != RequestState::kQueued) {
    return;  // Already running or complete; its own answer reports the outcome.
  }
  std::erase_if(queue_, [&](const ActiveRequest& request) {
    return request.id == id && request.caller == caller;
  });
  exchange.state = RequestState::kAnswered;
  exchange.status = AnswerStatus::kCancelled;
  answer(now, caller, connection, id, exchange);
}

void VirtualHost::onTick(UnixMillis now) {
  completeRunning(now);
  startQueued(now);
  sendPushes(now);
  if (loadHistory_.empty() || loadHistory_.back().first + 100 <= now) {
    loadHistory_.emplace_back(now, loadNow());
  }
  while (loadHistory_.size() > 1 && loadHistory_[1].first + profile_.reportLagMillis <= now) {
    loadHistory_.pop_front();
  }
}

void VirtualHost::sendPushes(UnixMillis now) {
  for (auto& [caller, connection] : connections_) {
    if (!connection.pushes) {
      continue;
    }
    for (const uint64_t id : connection.pushes->due(now, nextPushId_, random_, counters_.pushes)) {
      sendMessage(now, caller, connection, Push{id, profile_.name});
    }
  }
}

uint32_t VirtualHost::serviceTime(UnixMillis now) {
  const bool cold = now < startedAt_ + profile_.coldMillis;
  const uint32_t minServiceTime = profile_.serviceMillis * (cold ? profile_.coldFactor : 1);
  return minServiceTime + static_cast<uint32_t>(random_.below(minServiceTime + 1));
}

void VirtualHost::startQueued(UnixMillis now) {
  while (!queue_.empty() && running_.size() < profile_.slots) {
    ActiveRequest request = queue_.front();
    queue_.pop_front();
    const auto connection = connections_.find(request.caller);
    if (connection == connections_.end()) {
      continue;
    }
    Exchange& exchange = connection->second.exchanges[request.id];
    if (exchange.deadline != 0 && exchange.deadline < now) {
      exchange.state = RequestState::kAnswered;
      exchange.status = AnswerStatus::kExpired;
      answer(now, request.caller, connection->second, request.id, exchange);
      continue;
    }
    exchange.state = RequestState::kRunning;
    request.completesAt = now + serviceTime(now);
    request.runIndex = runs_.size();
    runs_.push_back(RunRecord{request.id, request.caller, now, 0});
    running_.push_back(request);
  }
}

void VirtualHost::completeRunning(UnixMillis now) {
  std::vector<ActiveRequest> completed;
  for (const ActiveRequest& request : running_) {
    if (request.completesAt <= now) {
      completed.push_back(request);
    }
  }
  std::erase_if(running_,
                [now](const ActiveRequest& request) { return request.completesAt <= now; });
  for (const ActiveRequest& request : completed) {
    runs_[request.runIndex].endedAt = now;
    const auto connection = connections_.find(request.caller);
    if (connection == connections_.end()) {
      continue;
    }
    Exchange& exchange = connection->second.exchanges[request.id];
    exchange.state = RequestState::kAnswered;
    exchange.status = AnswerStatus::kDone;
    answer(now, request.caller, connection->second, request.id, exchange);
  }
}

void VirtualHost::answer(UnixMillis now, const Endpoint& caller, Connection& connection,
                         uint64_t id, const Exchange& exchange) {
  const uint16_t parts = exchange.status == AnswerStatus::kDone ? exchange.parts : 1;
  const uint32_t retryAfter = exchange.status == AnswerStatus::kShed ? kShedRetryAfterMillis : 0;
  for (uint16_t part = 0; part < parts; ++part) {
    const bool isDelayed = random_.unit() < profile_.lateShare;
    const UnixMillis due =
        isDelayed ? now + static_cast<UnixMillis>(random_.below(profile_.lateMillis + 1)) : now;
    sendMessage(due, caller, connection,
                Answer{id, exchange.status, part, parts, profile_.name, retryAfter});
  }
}

void VirtualHost::sendMessage(UnixMillis due, const Endpoint& caller, Connection& connection,
                              const ExchangeMessage& message) {
  InnerPacket packet;
  packet.kind =
      profile_.protocol == TransportProtocol::kTcp ? PacketKind::kSegment : PacketKind::kDatagram;
  packet.source = profile_.virtualAddress;
  packet.destination = caller;
  packet.payload = encodeExchange(message);
  packet.sequence = connection.hostSequence + 1;
  packet.acknowledgement = connection.callerNext;
  connection.hostSequence += static_cast<uint32_t>(packet.payload.size());
  schedulePacket(due, packet);
}

void VirtualHost::sendControl(UnixMillis now, PacketKind kind, const Endpoint& caller,
                              uint32_t sequence, uint32_t acknowledgement) {
  InnerPacket packet;
  packet.kind = kind;
  packet.source = profile_.virtualAddress;
  packet.destination = caller;
  packet.sequence = sequence;
  packet.acknowledgement = acknowledgement;
  schedulePacket(now, packet);
}

void VirtualHost::schedulePacket(UnixMillis due, const InnerPacket& packet) {
  scheduledPackets_.push(ScheduledPacket{due, ++scheduleOrder_, buildPacket(packet)});
}

std::vector<std::string> VirtualHost::takeDue(UnixMillis now) {
  std::vector<std::string> due;
  while (!scheduledPackets_.empty() && scheduledPackets_.top().due <= now) {
    due.push_back(scheduledPackets_.top().packet);
    scheduledPackets_.pop();
  }
  return due;
}

uint32_t VirtualHost::loadNow() const {
  const size_t activeRequests = running_.size() + queue_.size();
  return static_cast<uint32_t>(activeRequests * kFullLoad / std::max<uint32_t>(1, profile_.slots));
}

uint32_t VirtualHost::reportedLoad() const {
  if (loadOverride_) {
    return *loadOverride_;
  }
  return loadHistory_.empty() ? 0 : loadHistory_.front().second;
}

}  // namespace umberhold::standins
