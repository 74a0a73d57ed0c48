#include "common/token/flow_progress.h"

#include <utility>

#include "common/flow/sequence_number.h"

namespace umberhold {
namespace {

/**
 * Callers retransmit after at least this time. Packets of one flow within this time are parts of
 * one request, which the first packet represents.
 */
constexpr Duration kMinRepeatInterval = std::chrono::milliseconds(150);

}  // namespace

PacketProgress FlowProgress::begin(TimePoint now, const FlowPacket& packet, Entry& entry) const {
  const uint32_t copies = packet.dataBytes > 0 ? 1 : 0;
  entry = {packet.hash, packet.token, packet.sequence, packet.acknowledged, copies,
           now,         now,          drainCount_};
  return {copies, now, now};
}

PacketProgress FlowProgress::record(TimePoint now, const FlowPacket& packet) {
  Entry& entry = entries_[packet.hash.value % entries_.size()];
  if (entry.flow != packet.hash || entry.token != packet.token) {
    return begin(now, packet, entry);
  }
  if (isAfter(packet.acknowledged, entry.acknowledged)) {
    const std::optional<TimePoint> sentAt =
        entry.copies > 0 ? std::optional(entry.firstAt) : std::nullopt;
    const uint32_t answeredCopies = entry.copies;
    PacketProgress progress = begin(now, packet, entry);
    progress.answered = true;
    progress.answeredSentAt = sentAt;
    progress.answeredCopies = answeredCopies;
    return progress;
  }
  if (packet.dataBytes == 0) {
    return {0, entry.firstAt, entry.lastAt};
  }
  if (entry.copies == 0 ||
      (packet.sequence != entry.sequence && now - entry.lastAt >= kMinRepeatInterval)) {
    return begin(now, packet, entry);
  }
  if (packet.sequence != entry.sequence) {
    return {1, entry.firstAt, entry.lastAt};
  }
  if (now - entry.lastAt >= kMinRepeatInterval && entry.drainCount != drainCount_) {
    const TimePoint previousAt = std::exchange(entry.lastAt, now);
    ++entry.copies;
    entry.drainCount = drainCount_;
    return {entry.copies, entry.firstAt, previousAt};
  }
  return {1, entry.firstAt, entry.lastAt};
}

}  // namespace umberhold
