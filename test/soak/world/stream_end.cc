#include "test/soak/world/stream_end.h"

#include <algorithm>

namespace umberhold::soak {
namespace {

constexpr size_t kMaximumInFlight = 16;
constexpr Duration kFirstWait = std::chrono::milliseconds(200);
constexpr Duration kLongestWait = std::chrono::milliseconds(1600);

bool isAfter(uint32_t left, uint32_t right) {
  return static_cast<int32_t>(left - right) > 0;
}

}  // namespace

void StreamEnd::write(const std::string& bytes) {
  for (size_t at = 0; at < bytes.size(); at += kMaximumData) {
    Part part;
    part.sequence = nextSequence_;
    part.data = bytes.substr(at, kMaximumData);
    nextSequence_ += part.length();
    parts_.push_back(std::move(part));
  }
}

void StreamEnd::finish() {
  Part part;
  part.sequence = nextSequence_++;
  part.last = true;
  parts_.push_back(std::move(part));
}

EchoPacket StreamEnd::blank(uint8_t flags) const {
  EchoPacket packet;
  packet.flags = flags;
  packet.echo = echo_;
  packet.sequence = nextSequence_;
  packet.acknowledged = expected_;
  packet.source = addresses_.source;
  packet.target = addresses_.target;
  packet.sourcePort = addresses_.sourcePort;
  packet.targetPort = addresses_.targetPort;
  return packet;
}

void StreamEnd::takeAcknowledgement(uint32_t acknowledged) {
  while (!parts_.empty() && parts_.front().tries > 0 &&
         !isAfter(parts_.front().sequence + parts_.front().length(), acknowledged)) {
    parts_.pop_front();
  }
}

std::string StreamEnd::onPacket(TimePoint now, const EchoPacket& packet,
                                std::vector<std::string>& out) {
  echo_ = packet.echo;
  if (packet.has(kAck)) {
    takeAcknowledgement(packet.acknowledged);
  }
  if (packet.data.empty() && !packet.has(kFin)) {
    tick(now, out);
    return {};
  }
  if (!isAfter(expected_, packet.sequence)) {
    early_[packet.sequence] = packet;
  }
  std::string bytes;
  for (auto next = early_.find(expected_); next != early_.end(); next = early_.find(expected_)) {
    bytes += next->second.data;
    expected_ += static_cast<uint32_t>(next->second.data.size());
    if (next->second.has(kFin)) {
      ++expected_;
      finishedByOther_ = true;
    }
    early_.erase(next);
  }
  out.push_back(encodeSealed(blank(kAck)));
  tick(now, out);
  return bytes;
}

void StreamEnd::tick(TimePoint now, std::vector<std::string>& out) {
  const size_t inFlight = std::min(parts_.size(), kMaximumInFlight);
  for (size_t index = 0; index < inFlight; ++index) {
    Part& part = parts_[index];
    if (part.tries > 0 && now < part.dueAt) {
      continue;
    }
    part.wait = part.tries == 0 ? kFirstWait : std::min(2 * part.wait, kLongestWait);
    part.dueAt = now + part.wait;
    ++part.tries;
    EchoPacket packet = blank(static_cast<uint8_t>(kAck | (part.last ? kFin : 0)));
    packet.sequence = part.sequence;
    packet.data = part.data;
    out.push_back(encodeSealed(packet));
  }
}

}  // namespace umberhold::soak
