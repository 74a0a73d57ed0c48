#include "test/soak/world/stream_end.h"

#include <algorithm>

namespace umberhold::soak {
namespace {

constexpr size_t kMaxInFlight = 16;
constexpr Duration kInitialRetransmissionTimeout = std::chrono::milliseconds(200);
constexpr Duration kMaxRetransmissionTimeout = std::chrono::milliseconds(1600);

bool isAfter(uint32_t left, uint32_t right) {
  return static_cast<int32_t>(left - right) > 0;
}

}  // namespace

void StreamEnd::write(const std::string& bytes) {
  for (size_t offset = 0; offset < bytes.size(); offset += kMaxDataBytes) {
    Part part;
    part.sequence = nextSequence_;
    part.data = bytes.substr(offset, kMaxDataBytes);
    nextSequence_ += part.length();
    parts_.push_back(std::move(part));
  }
}

void StreamEnd::finish() {
  Part part;
  part.sequence = nextSequence_++;
  part.isLast = true;
  parts_.push_back(std::move(part));
}

EchoPacket StreamEnd::emptyPacket(uint8_t flags) const {
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

void StreamEnd::onAcknowledgement(uint32_t acknowledged) {
  while (!parts_.empty() && parts_.front().transmissions > 0 &&
         !isAfter(parts_.front().sequence + parts_.front().length(), acknowledged)) {
    parts_.pop_front();
  }
}

std::string StreamEnd::onPacket(TimePoint now, const EchoPacket& packet,
                                std::vector<std::string>& out) {
  echo_ = packet.echo;
  if (packet.has(kAck)) {
    onAcknowledgement(packet.acknowledged);
  }
  if (packet.data.empty() && !packet.has(kFin)) {
    tick(now, out);
    return {};
  }
  if (!isAfter(expected_, packet.sequence)) {
    outOfOrder_[packet.sequence] = packet;
  }
  std::string bytes;
  for (auto next = outOfOrder_.find(expected_); next != outOfOrder_.end();
       next = outOfOrder_.find(expected_)) {
    bytes += next->second.data;
    expected_ += static_cast<uint32_t>(next->second.data.size());
    if (next->second.has(kFin)) {
      ++expected_;
      finishedByOther_ = true;
    }
    outOfOrder_.erase(next);
  }
  out.push_back(encodeSealed(emptyPacket(kAck)));
  tick(now, out);
  return bytes;
}

void StreamEnd::tick(TimePoint now, std::vector<std::string>& out) {
  const size_t inFlight = std::min(parts_.size(), kMaxInFlight);
  for (size_t index = 0; index < inFlight; ++index) {
    Part& part = parts_[index];
    if (part.transmissions > 0 && now < part.retransmitAt) {
      continue;
    }
    part.retransmissionTimeout = part.transmissions == 0 ? kInitialRetransmissionTimeout
                                                         : std::min(2 * part.retransmissionTimeout,
                                                                    kMaxRetransmissionTimeout);
    part.retransmitAt = now + part.retransmissionTimeout;
    ++part.transmissions;
    EchoPacket packet = emptyPacket(static_cast<uint8_t>(kAck | (part.isLast ? kFin : 0)));
    packet.sequence = part.sequence;
    packet.data = part.data;
    out.push_back(encodeSealed(packet));
  }
}

}  // namespace umberhold::soak
