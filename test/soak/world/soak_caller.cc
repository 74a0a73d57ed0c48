#include "test/soak/world/soak_caller.h"

#include <array>
#include <utility>

namespace umberhold::soak {
namespace {

/** Retransmission times of the opening packet, and its timeout, both counted from its first
 * transmission. */
constexpr std::array<Duration, 2> kOpeningRetransmissions = {std::chrono::milliseconds(200),
                                                             std::chrono::milliseconds(600)};
constexpr Duration kOpeningTimeout = std::chrono::milliseconds(1400);
/** A reset by the system ends an open flow if its sequence number is within this distance of the
 * last acknowledgement. */
constexpr uint32_t kResetWindow = 76800;
constexpr uint16_t kFirstPort = 10000;
constexpr uint16_t kLastPort = 60000;
/** Size of the request id range of one caller. */
constexpr uint64_t kRequestIdsPerCaller = 1000000;

}  // namespace

SoakCaller::SoakCaller(uint32_t address, uint32_t number, CallerProfile profile, CallerHooks hooks,
                       RandomSource& random)
    : address_(address),
      number_(number),
      profile_(profile),
      hooks_(std::move(hooks)),
      random_(random),
      port_(static_cast<uint16_t>(kFirstPort + random.below(kLastPort - kFirstPort))) {}

void SoakCaller::begin(TimePoint now) {
  ++counts_.asked;
  pending_ = PendingRequest{{0, profile_.repeatable, profile_.answerBytes}, now, 0};
  tryOnce(now);
}

void SoakCaller::tryOnce(TimePoint now) {
  ++counts_.tries;
  ++pending_->tries;
  // Each try has its own id, so that its runs can be distinguished.
  pending_->request.id = (uint64_t{number_} + 1) * kRequestIdsPerCaller + ++nextRequest_;
  const bool usable =
      phase_ == Phase::kOpen && !profile_.flowPerRequest && now - openedAt_ < profile_.maxFlowAge;
  if (usable) {
    sendRequest(now);
    return;
  }
  closeFlow(now);
  openFlow(now);
}

void SoakCaller::openFlow(TimePoint now) {
  port_ = port_ >= kLastPort ? kFirstPort : static_cast<uint16_t>(port_ + 1);
  phase_ = Phase::kOpening;
  openedAt_ = now;
  openingsSent_ = 0;
  firstSequence_ = static_cast<uint32_t>(random_.below(UINT32_MAX));
  received_.clear();
  sendOpening();
}

void SoakCaller::sendOpening() {
  EchoPacket packet;
  packet.flags = kSyn;
  packet.sequence = firstSequence_;
  packet.acknowledged = openingsSent_++;
  packet.source = address_;
  packet.sourcePort = port_;
  packet.target = profile_.service.address;
  packet.targetPort = profile_.service.port;
  hooks_.send(encodeSealed(packet));
}

void SoakCaller::sendRequest(TimePoint now) {
  std::vector<std::string> out;
  stream_->write(requestText(pending_->request));
  stream_->tick(now, out);
  sendAll(out);
}

void SoakCaller::onDatagram(TimePoint now, std::string_view bytes) {
  const auto packet = decode(bytes);
  const bool isSystemReset =
      packet && packet->has(kRst) && packet->sum == 0 && packet->data.empty();
  if (!packet || (!isSystemReset && !isSealed(*packet))) {
    hooks_.wrongAnswer("packet with an invalid checksum");
    return;
  }
  const FlowName packetFlow{{packet->target, packet->targetPort},
                            {packet->source, packet->sourcePort}};
  if (phase_ == Phase::kNone || packetFlow != flow()) {
    return;
  }
  if (packet->has(kRst)) {
    onReset(now, *packet);
  } else if (phase_ == Phase::kOpening) {
    onOpeningAnswer(now, *packet);
  } else {
    onSegment(now, *packet);
  }
}

void SoakCaller::onOpeningAnswer(TimePoint now, const EchoPacket& packet) {
  if (!packet.has(kSyn) || packet.acknowledged != firstSequence_ + 1) {
    return;
  }
  phase_ = Phase::kOpen;
  openedAt_ = now;
  stream_.emplace(StreamAddresses{address_, profile_.service.address, port_, profile_.service.port},
                  firstSequence_ + 1, packet.sequence + 1);
  stream_->setEcho(packet.echo);
  sendRequest(now);
}

void SoakCaller::onReset(TimePoint now, const EchoPacket& packet) {
  const bool wasOpen = phase_ == Phase::kOpen;
  const bool bySystem = packet.sum == 0;
  if (bySystem && wasOpen) {
    const uint32_t offset = packet.sequence - stream_->acknowledged();
    if (offset > kResetWindow && -offset > kResetWindow) {
      ++counts_.strayResets;
      return;
    }
  }
  ++(bySystem ? counts_.systemResets : counts_.hostResets);
  counts_.openingsRefused += bySystem && !wasOpen ? 1 : 0;
  if (bySystem && wasOpen) {
    hooks_.openFlowReset(flow(), openedAt_);
  }
  phase_ = Phase::kNone;
  stream_.reset();
  if (pending_) {
    failTry(now, wasOpen);
  }
}

void SoakCaller::onSegment(TimePoint now, const EchoPacket& packet) {
  if (packet.has(kSyn)) {
    return;  // Another host answered a copy of the opening packet.
  }
  std::vector<std::string> out;
  received_ += stream_->onPacket(now, packet, out);
  sendAll(out);
  while (const auto answer = extractAnswer(received_)) {
    checkAnswer(now, *answer);
  }
  if (stream_ && stream_->isFinishedByOther()) {
    closeFlow(now);
    if (pending_) {
      failTry(now, true);
    }
  }
}

void SoakCaller::checkAnswer(TimePoint now, const Answer& answer) {
  if (!pending_ || answer.id != pending_->request.id) {
    hooks_.wrongAnswer("unexpected answer to request " + std::to_string(answer.id));
    return;
  }
  if (answer.notRun) {
    ++counts_.rejected;
    closeFlow(now);  // The next try uses a new flow.
    failTry(now, false);
    return;
  }
  if (answer.body != bodyOf(answer.id, profile_.answerBytes)) {
    hooks_.wrongAnswer("wrong body for request " + std::to_string(answer.id));
  }
  endRequest(now, true);
}

void SoakCaller::failTry(TimePoint now, bool mayHaveRun) {
  if (!mayHaveRun) {
    hooks_.notRun(pending_->request.id);
  }
  const bool mayRepeat = profile_.repeatable || !mayHaveRun;
  if (mayRepeat && pending_->tries <= profile_.retries &&
      now - pending_->startedAt < profile_.deadline) {
    tryOnce(now);
    return;
  }
  endRequest(now, false);
}

void SoakCaller::endRequest(TimePoint now, bool served) {
  ++(served ? counts_.served : counts_.failed);
  hooks_.ended(pending_->startedAt, served);
  pending_.reset();
  nextRequestAt_ = now + Duration{static_cast<Duration::rep>(
                             static_cast<double>(profile_.pause.count()) * (0.5 + random_.unit()))};
  if (profile_.flowPerRequest || !served) {
    closeFlow(now);
  }
}

void SoakCaller::closeFlow(TimePoint now) {
  if (phase_ == Phase::kOpen) {
    // The rest of the flow is ignored; the host times it out.
    std::vector<std::string> out;
    stream_->finish();
    stream_->tick(now, out);
    sendAll(out);
  }
  phase_ = Phase::kNone;
  stream_.reset();
}

void SoakCaller::tick(TimePoint now) {
  if (!pending_) {
    if (!stopping_ && now >= nextRequestAt_) {
      begin(now);
    }
    return;
  }
  if (now - pending_->startedAt >= profile_.deadline) {
    endRequest(now, false);
    return;
  }
  if (phase_ == Phase::kOpening) {
    const Duration waited = now - openedAt_;
    if (waited >= kOpeningTimeout) {
      ++counts_.openingsUnanswered;
      phase_ = Phase::kNone;
      failTry(now, false);
    } else if (openingsSent_ <= kOpeningRetransmissions.size() &&
               waited >= kOpeningRetransmissions[openingsSent_ - 1]) {
      sendOpening();
    }
    return;
  }
  if (stream_) {
    std::vector<std::string> out;
    stream_->tick(now, out);
    sendAll(out);
  }
}

void SoakCaller::sendAll(const std::vector<std::string>& packets) {
  for (const std::string& packet : packets) {
    hooks_.send(packet);
  }
}

}  // namespace umberhold::soak
