#include "test/soak/world/soak_caller.h"

#include <array>
#include <utility>

namespace umberhold::soak {
namespace {

/** After the first opening packet: when copies are sent, and when the caller gives up. */
constexpr std::array<Duration, 2> kOpeningCopies = {std::chrono::milliseconds(200),
                                                    std::chrono::milliseconds(600)};
constexpr Duration kOpeningPatience = std::chrono::milliseconds(1400);
/** Well below the longest life of a flow. */
constexpr Duration kFlowLife = std::chrono::seconds(20);
/** A reset by the system ends an open flow if its number is within this of the last
 * acknowledgement. */
constexpr uint32_t kResetWindow = 76800;
constexpr uint16_t kFirstPort = 10000;
constexpr uint16_t kLastPort = 60000;
/** Requests of one caller are numbered within this. */
constexpr uint64_t kRequestsOfCaller = 1000000;

}  // namespace

SoakCaller::SoakCaller(uint32_t address, uint32_t number, CallerHabit habit, CallerHooks hooks,
                       RandomSource& random)
    : address_(address),
      number_(number),
      habit_(habit),
      hooks_(std::move(hooks)),
      random_(random),
      port_(static_cast<uint16_t>(kFirstPort + random.below(kLastPort - kFirstPort))) {}

void SoakCaller::begin(TimePoint now) {
  ++counts_.asked;
  wanted_ = Wanted{{0, habit_.repeatable, habit_.answerBytes}, now, 0};
  tryOnce(now);
}

void SoakCaller::tryOnce(TimePoint now) {
  ++counts_.tries;
  ++wanted_->tries;
  // Each try is distinguished, so that runs can be distinguished.
  wanted_->request.id = (uint64_t{number_} + 1) * kRequestsOfCaller + ++nextRequest_;
  const bool usable = phase_ == Phase::kOpen && !habit_.freshFlows && now - openedAt_ < kFlowLife;
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
  openings_ = 0;
  firstSequence_ = static_cast<uint32_t>(random_.below(UINT32_MAX));
  text_.clear();
  sendOpening();
}

void SoakCaller::sendOpening() {
  EchoPacket packet;
  packet.flags = kSyn;
  packet.sequence = firstSequence_;
  packet.acknowledged = openings_++;
  packet.source = address_;
  packet.sourcePort = port_;
  packet.target = habit_.service.address;
  packet.targetPort = habit_.service.port;
  hooks_.send(encodeSealed(packet));
}

void SoakCaller::sendRequest(TimePoint now) {
  std::vector<std::string> out;
  stream_->write(requestText(wanted_->request));
  stream_->tick(now, out);
  sendAll(out);
}

void SoakCaller::onDatagram(TimePoint now, std::string_view bytes) {
  const auto packet = decode(bytes);
  const bool isSystemReset =
      packet && packet->has(kRst) && packet->sum == 0 && packet->data.empty();
  if (!packet || (!isSystemReset && !isSealed(*packet))) {
    hooks_.wrongAnswer("a packet that nobody wrote so");
    return;
  }
  const FlowName other{{packet->target, packet->targetPort}, {packet->source, packet->sourcePort}};
  if (phase_ == Phase::kNone || other != flow()) {
    return;
  }
  if (packet->has(kRst)) {
    onReset(now, *packet);
  } else if (phase_ == Phase::kOpening) {
    onOpened(now, *packet);
  } else {
    onOpen(now, *packet);
  }
}

void SoakCaller::onOpened(TimePoint now, const EchoPacket& packet) {
  if (!packet.has(kSyn) || packet.acknowledged != firstSequence_ + 1) {
    return;
  }
  phase_ = Phase::kOpen;
  openedAt_ = now;
  stream_.emplace(StreamAddresses{address_, habit_.service.address, port_, habit_.service.port},
                  firstSequence_ + 1, packet.sequence + 1);
  stream_->setEcho(packet.echo);
  sendRequest(now);
}

void SoakCaller::onReset(TimePoint now, const EchoPacket& packet) {
  const bool wasOpen = phase_ == Phase::kOpen;
  const bool bySystem = packet.sum == 0;
  if (bySystem && wasOpen) {
    const uint32_t ahead = packet.sequence - stream_->acknowledged();
    if (ahead > kResetWindow && -ahead > kResetWindow) {
      ++counts_.strayResets;
      return;
    }
  }
  ++(bySystem ? counts_.systemResets : counts_.hostResets);
  counts_.openingsRefused += bySystem && !wasOpen ? 1 : 0;
  if (bySystem && wasOpen) {
    hooks_.openFlowReset(flow());
  }
  phase_ = Phase::kNone;
  stream_.reset();
  if (wanted_) {
    failTry(now, wasOpen);
  }
}

void SoakCaller::onOpen(TimePoint now, const EchoPacket& packet) {
  if (packet.has(kSyn)) {
    return;  // Another host answered a copy of the opening packet.
  }
  std::vector<std::string> out;
  text_ += stream_->onPacket(now, packet, out);
  sendAll(out);
  while (const auto answer = takeAnswer(text_)) {
    checkAnswer(now, *answer);
  }
  if (stream_ && stream_->isFinishedByOther()) {
    closeFlow(now);
    if (wanted_) {
      failTry(now, true);
    }
  }
}

void SoakCaller::checkAnswer(TimePoint now, const Answer& answer) {
  if (!wanted_ || answer.id != wanted_->request.id) {
    hooks_.wrongAnswer("an answer to request " + std::to_string(answer.id));
    return;
  }
  if (answer.notRun) {
    ++counts_.turnedAway;
    closeFlow(now);  // A further try takes a new flow.
    failTry(now, false);
    return;
  }
  if (answer.body != bodyOf(answer.id, habit_.answerBytes)) {
    hooks_.wrongAnswer("another body for request " + std::to_string(answer.id));
  }
  endRequest(now, true);
}

void SoakCaller::failTry(TimePoint now, bool ran) {
  if (!ran) {
    hooks_.notRun(wanted_->request.id);
  }
  const bool mayRepeat = habit_.repeatable || !ran;
  if (mayRepeat && wanted_->tries <= habit_.retries && now - wanted_->begunAt < habit_.deadline) {
    tryOnce(now);
    return;
  }
  endRequest(now, false);
}

void SoakCaller::endRequest(TimePoint now, bool served) {
  ++(served ? counts_.served : counts_.failed);
  hooks_.ended(wanted_->begunAt, served);
  wanted_.reset();
  nextAt_ = now + Duration{static_cast<Duration::rep>(static_cast<double>(habit_.pause.count()) *
                                                      (0.5 + random_.unit()))};
  if (habit_.freshFlows || !served) {
    closeFlow(now);
  }
}

void SoakCaller::closeFlow(TimePoint now) {
  if (phase_ == Phase::kOpen) {
    // What is left of the flow is of no interest; the host gives it up in time.
    std::vector<std::string> out;
    stream_->finish();
    stream_->tick(now, out);
    sendAll(out);
  }
  phase_ = Phase::kNone;
  stream_.reset();
}

void SoakCaller::tick(TimePoint now) {
  if (!wanted_) {
    if (!stopping_ && now >= nextAt_) {
      begin(now);
    }
    return;
  }
  if (now - wanted_->begunAt >= habit_.deadline) {
    endRequest(now, false);
    return;
  }
  if (phase_ == Phase::kOpening) {
    const Duration waited = now - openedAt_;
    if (waited >= kOpeningPatience) {
      ++counts_.openingsUnanswered;
      phase_ = Phase::kNone;
      failTry(now, false);
    } else if (openings_ <= kOpeningCopies.size() && waited >= kOpeningCopies[openings_ - 1]) {
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
