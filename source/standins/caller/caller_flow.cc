#include "standins/caller/caller_flow.h"

#include <algorithm>
#include <limits>

namespace umberhold::standins {
namespace {

constexpr UnixMillis kInitialRetransmitMillis = 300;
constexpr UnixMillis kMaxRetransmitMillis = 1600;
/** Maximum number of transmissions of one SYN or request. */
constexpr uint32_t kMaxSends = 9;
constexpr uint32_t kMaxFinSends = 4;
constexpr uint32_t kLargeAnswerEvery = 4;

UnixMillis retransmitDelay(uint32_t sends) {
  const UnixMillis doubled = kInitialRetransmitMillis << std::min<uint32_t>(sends, 8);
  return std::min(doubled, kMaxRetransmitMillis);
}

}  // namespace

CallerFlow::CallerFlow(UnixMillis now, const Endpoint& local, const FlowProfile& profile,
                       FlowContext& context)
    : profile_(&profile),
      local_(local),
      state_(profile.protocol == TransportProtocol::kTcp ? State::kOpening : State::kOpen),
      sequence_(static_cast<uint32_t>(context.random.below(uint64_t{1} << 32))),
      nextRequest_(now),
      endsAt_(std::numeric_limits<UnixMillis>::max()) {
  if (profile.lifeMillis > 0) {
    endsAt_ = now + profile.lifeMillis / 2 +
              static_cast<UnixMillis>(context.random.below(profile.lifeMillis));
  }
  ++context.report.openedFlows;
  onTick(now, context);
}

UnixMillis CallerFlow::randomPause(FlowContext& context) const {
  const uint32_t mean = std::max<uint32_t>(1, profile_->requestPauseMillis);
  return mean / 2 + static_cast<UnixMillis>(context.random.below(mean));
}

void CallerFlow::send(PacketKind kind, std::string payload, FlowContext& context) {
  InnerPacket packet;
  packet.kind = kind;
  packet.source = local_;
  packet.destination = profile_->target;
  packet.sequence = sequence_;
  packet.acknowledgement = acknowledgement_;
  packet.payload = std::move(payload);
  context.out.push_back(buildPacket(packet));
}

void CallerFlow::startWaiting(UnixMillis now) {
  waitingSince_ = waitingSince_.value_or(now);
}

void CallerFlow::endWaiting(UnixMillis now, FlowContext& context) {
  if (!waitingSince_) {
    return;
  }
  const auto silence = static_cast<uint64_t>(std::max<UnixMillis>(0, now - *waitingSince_));
  context.report.longestSilenceMillis = std::max(context.report.longestSilenceMillis, silence);
  waitingSince_.reset();
}

void CallerFlow::onTick(UnixMillis now, FlowContext& context) {
  switch (state_) {
    case State::kOpening:
      return retransmitOpening(now, context);
    case State::kClosing:
      return retransmitFin(now, context);
    case State::kEnded:
      return;
    case State::kOpen:
      break;
  }
  retransmitRequests(now, context);
  if (state_ != State::kOpen) {
    return;
  }
  finishing_ = finishing_ || now >= endsAt_;
  if (!finishing_ && now >= nextRequest_) {
    startRequest(now, context);
  }
  if (finishing_ && exchanges_.empty()) {
    state_ = isTcp() ? State::kClosing : State::kEnded;
    ++context.report.endedFlows;
    onTick(now, context);
  }
}

void CallerFlow::retransmitOpening(UnixMillis now, FlowContext& context) {
  if (now < nextControlSend_) {
    return;
  }
  if (controlSends_ >= kMaxSends) {
    context.report.unansweredAt.push_back(now);
    ++context.report.unansweredOpenings;
    state_ = State::kEnded;
    return;
  }
  if (controlSends_ > 0) {
    ++context.report.repeatedPackets;
    context.report.unansweredAt.push_back(now);
  }
  send(PacketKind::kSyn, "", context);
  nextControlSend_ = now + retransmitDelay(controlSends_++);
}

void CallerFlow::retransmitFin(UnixMillis now, FlowContext& context) {
  if (now < nextControlSend_) {
    return;
  }
  if (controlSends_ >= kMaxFinSends) {
    state_ = State::kEnded;
    return;
  }
  send(PacketKind::kFin, "", context);
  nextControlSend_ = now + retransmitDelay(controlSends_++);
}

void CallerFlow::startRequest(UnixMillis now, FlowContext& context) {
  nextRequest_ = now + randomPause(context);
  Exchange exchange;
  exchange.request.id = context.ids.next();
  exchange.request.repeatable = context.random.unit() >= profile_->singleRunShare;
  exchange.request.deadline = now + profile_->deadlineMillis;
  exchange.request.answerParts =
      ++requestCount_ % kLargeAnswerEvery == 0 ? profile_->largeAnswerParts : 1;
  exchange.request.expectedHost = host_;
  exchange.parts.assign(exchange.request.answerParts, false);
  exchange.missing = exchange.request.answerParts;
  exchange.cancelled = context.random.unit() < profile_->cancelShare;
  ++context.report.requests;
  if (!exchange.request.repeatable) {
    context.report.singleRunIds.push_back(exchange.request.id);
  }
  Exchange& stored = exchanges_[exchange.request.id] = std::move(exchange);
  sendRequest(now, stored, context);
  if (stored.cancelled) {
    send(isTcp() ? PacketKind::kSegment : PacketKind::kDatagram,
         encodeExchange(Cancellation{stored.request.id}), context);
  }
}

void CallerFlow::sendRequest(UnixMillis now, Exchange& exchange, FlowContext& context) {
  const std::string payload = encodeExchange(exchange.request);
  send(isTcp() ? PacketKind::kSegment : PacketKind::kDatagram, payload, context);
  startWaiting(now);
  if (exchange.sends == 0) {
    sequence_ += static_cast<uint32_t>(payload.size());
  }
  exchange.nextSend = now + retransmitDelay(exchange.sends++);
}

void CallerFlow::retransmitRequests(UnixMillis now, FlowContext& context) {
  for (auto& [id, exchange] : exchanges_) {
    if (now < exchange.nextSend) {
      continue;
    }
    context.report.unansweredAt.push_back(now);
    context.report.delayedRequests += exchange.sends == 1 ? 1 : 0;
    if (exchange.sends >= kMaxSends) {
      return breakFlow(now, BreakReason::kSilence, context);
    }
    ++context.report.repeatedPackets;
    sendRequest(now, exchange, context);
  }
}

void CallerFlow::onPacket(UnixMillis now, const InnerPacket& packet, FlowContext& context) {
  switch (packet.kind) {
    case PacketKind::kSynAck:
      if (state_ == State::kOpening) {
        state_ = State::kOpen;
        establishedAt_ = now;
        controlSends_ = 0;
        nextControlSend_ = 0;
        ++sequence_;
        acknowledgement_ = packet.sequence + 1;
        nextRequest_ = now;
        ++context.report.establishedFlows;
      }
      return;
    case PacketKind::kReset:
    case PacketKind::kUnreachable:
      return onReset(now, context);
    case PacketKind::kFin:
      if (state_ == State::kClosing) {
        state_ = State::kEnded;
      }
      return;
    case PacketKind::kSegment:
    case PacketKind::kDatagram: {
      const auto message = decodeExchange(packet.payload);
      if (isOk(message) && std::holds_alternative<Answer>(valueOf(message))) {
        return onAnswer(now, std::get<Answer>(valueOf(message)), context);
      }
      if (isOk(message) && std::holds_alternative<Push>(valueOf(message))) {
        return onPush(now, std::get<Push>(valueOf(message)), context);
      }
      break;
    }
    default:
      break;
  }
  ++context.report.unexpectedPackets;
}

void CallerFlow::onReset(UnixMillis now, FlowContext& context) {
  if (state_ == State::kOpening || (state_ == State::kOpen && !isTcp() && host_.empty())) {
    return onRefused(context);
  }
  if (state_ == State::kOpen) {
    return breakFlow(now, BreakReason::kReset, context);
  }
}

/** Handles a refusal of the whole flow: none of its requests ran or will run. */
void CallerFlow::onRefused(FlowContext& context) {
  ++context.report.refusedOpenings;
  for (const auto& [id, exchange] : exchanges_) {
    context.report.refusedIds.push_back(id);
  }
  exchanges_.clear();
  state_ = State::kEnded;
}

void CallerFlow::onPush(UnixMillis now, const Push& push, FlowContext& context) {
  if (state_ != State::kOpen) {
    return;
  }
  if (!host_.empty() && host_ != push.host) {
    return breakFlow(now, BreakReason::kOtherHost, context);
  }
  context.report.pushes += pushes_.insert(push.id).second ? 1 : 0;
  send(PacketKind::kSegment, encodeExchange(PushReceipt{push.id}), context);
}

void CallerFlow::onAnswer(UnixMillis now, const Answer& answer, FlowContext& context) {
  if (state_ != State::kOpen) {
    return;
  }
  if (answer.status == AnswerStatus::kUnknownFlow) {
    if (exchanges_.contains(answer.id)) {
      context.report.refusedIds.push_back(answer.id);
      exchanges_.erase(answer.id);
    }
    return breakFlow(now, BreakReason::kReset, context);
  }
  if (host_.empty()) {
    host_ = answer.host;
    establishedAt_ = isTcp() ? establishedAt_ : now;
    context.report.establishedFlows += isTcp() ? 0 : 1;
  }
  if (host_ != answer.host) {
    return breakFlow(now, BreakReason::kOtherHost, context);
  }
  endWaiting(now, context);
  addAnswerPart(answer, context);
  if (!exchanges_.empty()) {
    startWaiting(now);
  }
}

void CallerFlow::addAnswerPart(const Answer& answer, FlowContext& context) {
  const auto found = exchanges_.find(answer.id);
  if (found == exchanges_.end()) {
    return;  // Duplicate of a complete answer.
  }
  Exchange& exchange = found->second;
  if (answer.status != AnswerStatus::kDone) {
    return complete(answer.id, answer, context);
  }
  if (answer.part >= exchange.parts.size() || answer.parts != exchange.parts.size()) {
    ++context.report.unexpectedPackets;
    return;
  }
  exchange.missing -= exchange.parts[answer.part] ? 0 : 1;
  exchange.parts[answer.part] = true;
  if (exchange.missing == 0) {
    complete(answer.id, answer, context);
  }
}

void CallerFlow::complete(uint64_t id, const Answer& answer, FlowContext& context) {
  CallerReport& report = context.report;
  switch (answer.status) {
    case AnswerStatus::kDone:
      ++report.answers;
      break;
    case AnswerStatus::kShed:
      ++report.shedRequests;
      break;
    case AnswerStatus::kExpired:
      ++report.expiredRequests;
      break;
    default:
      ++report.cancelledRequests;
  }
  if (answer.status != AnswerStatus::kDone) {
    report.refusedIds.push_back(id);
  }
  nextRequest_ += answer.retryAfterMillis;
  exchanges_.erase(id);
}

void CallerFlow::breakFlow(UnixMillis now, BreakReason reason, FlowContext& context) {
  endWaiting(now, context);
  context.report.broken.push_back(
      BrokenFlow{now, reason, profile_->service, host_, local_, establishedAt_});
  for (const auto& [id, exchange] : exchanges_) {
    const bool partial = exchange.missing < exchange.parts.size();
    context.report.cut.push_back(
        CutRequest{now, id, profile_->service, host_, partial, local_, establishedAt_});
  }
  exchanges_.clear();
  state_ = State::kEnded;
}

}  // namespace umberhold::standins
