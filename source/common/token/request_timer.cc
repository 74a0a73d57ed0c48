#include "common/token/request_timer.h"

#include "common/flow/sequence_number.h"

namespace umberhold {
namespace {

/**
 * Maximum number of queued checks. Requests that start beyond it are timed but never become
 * overdue.
 */
constexpr size_t kMaxDue = 4096;

}  // namespace

std::optional<Duration> RequestTimer::record(TimePoint now, const FlowPacket& packet,
                                             std::optional<Duration> overdueAfter) {
  const size_t index = packet.hash.value % entries_.size();
  Entry& entry = entries_[index];
  const bool isKnown = entry.flow == packet.hash && entry.token == packet.token;
  if (isKnown && entry.requestInFlight && isAfter(packet.acknowledged, entry.acknowledged)) {
    const std::optional<Duration> response = end(now, packet, entry);
    if (packet.dataBytes > 0) {
      begin(now, packet, overdueAfter, index);
    }
    return response;
  }
  if (isKnown && entry.requestInFlight) {
    if (packet.phase == PacketPhase::kClosing || packet.phase == PacketPhase::kReset) {
      entry.requestInFlight = false;
    } else if (packet.dataBytes > 0 && packet.sequence == entry.endSequence) {
      entry.endSequence += packet.dataBytes;
    } else if (packet.dataBytes > 0) {
      entry.retransmitted = true;
    }
    return std::nullopt;
  }
  const bool isRequest = packet.dataBytes > 0 && packet.phase == PacketPhase::kContinuing;
  const bool isCopy = isKnown && !isAfter(packet.sequence, entry.sequence);
  if (isRequest && !isCopy) {
    begin(now, packet, overdueAfter, index);
  }
  return std::nullopt;
}

void RequestTimer::begin(TimePoint now, const FlowPacket& packet,
                         std::optional<Duration> overdueAfter, size_t index) {
  Entry& entry = entries_[index];
  entry = Entry{};
  entry.flow = packet.hash;
  entry.service = packet.service;
  entry.token = packet.token;
  entry.sequence = packet.sequence;
  entry.endSequence = packet.sequence + packet.dataBytes;
  entry.acknowledged = packet.acknowledged;
  entry.requestInFlight = true;
  entry.beganAt = now;
  entry.drainCount = drainCount_;
  if (overdueAfter && due_.size() < kMaxDue) {
    due_.push({now + *overdueAfter, now, index});
  }
}

std::optional<Duration> RequestTimer::end(TimePoint now, const FlowPacket& packet,
                                          Entry& entry) const {
  entry.requestInFlight = false;
  const bool isMeasured = packet.dataBytes == 0 && !entry.retransmitted &&
                          packet.sequence == entry.endSequence && entry.drainCount != drainCount_;
  return isMeasured ? std::optional(now - entry.beganAt) : std::nullopt;
}

void RequestTimer::discardHost(uint32_t token) {
  for (Entry& entry : entries_) {
    if (entry.token == token) {
      entry.requestInFlight = false;
    }
  }
}

std::vector<OverdueRequest> RequestTimer::onCaughtUp(TimePoint now) {
  ++drainCount_;
  std::vector<OverdueRequest> overdue;
  while (!due_.empty() && due_.top().at <= now) {
    const Due due = due_.top();
    due_.pop();
    Entry& entry = entries_[due.index];
    if (entry.requestInFlight && entry.beganAt == due.beganAt) {
      entry.requestInFlight = false;
      overdue.push_back({entry.service, entry.token, now - entry.beganAt});
    }
  }
  return overdue;
}

}  // namespace umberhold
