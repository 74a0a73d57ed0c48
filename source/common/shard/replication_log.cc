#include "common/shard/replication_log.h"

#include <algorithm>
#include <unordered_map>

namespace umberhold {
namespace {

// Encoded sizes in MessagePack; the fixed part includes the UDP and IP headers and the envelope.
constexpr size_t kFixedBytes = 115;
constexpr size_t kHostBytes = 9;
constexpr size_t kAddedBytes = 12;
constexpr size_t kFlowBytes = 9;

}  // namespace

void ReplicationLog::reset(TimePoint now) {
  changes_.clear();
  first_ = 1;
  synchronised_ = false;
  inFlight_ = false;
  resendAfter_ = kInitialResendInterval;
  lastSend_ = now;
}

uint32_t ReplicationLog::startSnapshot() {
  first_ = nextSequence();
  changes_.clear();
  synchronised_ = false;
  inFlight_ = false;
  return first_;
}

void ReplicationLog::onSnapshotDelivered(TimePoint now) {
  synchronised_ = true;
  resendAfter_ = kInitialResendInterval;
  lastSend_ = now;
  // The acknowledgement delay of changes made during the transfer counts from its end.
  for (Change& change : changes_) {
    change.when = now;
  }
}

void ReplicationLog::markReplicaLost() {
  synchronised_ = false;
  inFlight_ = false;
}

void ReplicationLog::append(const Change& change) {
  changes_.push_back(change);
  if (changes_.size() > kMaxChanges) {
    startSnapshot();
  }
}

void ReplicationLog::appendAdded(TimePoint now, const PinnedFlow& pinned) {
  append(Change{Kind::kAdded, pinned.flow, pinned.host, now});
}

void ReplicationLog::appendRemoved(TimePoint now, FlowHash flow) {
  append(Change{Kind::kRemoved, flow, HostId{}, now});
}

void ReplicationLog::appendRefused(TimePoint now, FlowHash flow) {
  append(Change{Kind::kRefused, flow, HostId{}, now});
}

ReplicaAppend ReplicationLog::makeBatch(const ShardId& shard, uint32_t epoch, size_t& bytes) const {
  ReplicaAppend batch{shard, epoch, first_, {}, {}, {}, {}, {}};
  std::unordered_map<HostId, uint16_t> index;
  bytes = kFixedBytes;
  std::unordered_map<FlowHash, Kind> last;
  for (const Change& change : changes_) {
    // The receiver applies added, removed and refused flows in this order. Changes of different
    // flows may be reordered; a batch ends before a change that would be applied before an earlier
    // one of the same flow.
    const auto seen = last.try_emplace(change.flow, change.kind).first;
    if (change.kind < seen->second || bytes > kBatchBytes) {
      break;
    }
    seen->second = change.kind;
    if (change.kind == Kind::kRemoved) {
      batch.removed.push_back(change.flow);
      bytes += kFlowBytes;
    } else if (change.kind == Kind::kRefused) {
      batch.refused.push_back(change.flow);
      bytes += kFlowBytes;
    } else {
      const auto [slot, isNew] =
          index.try_emplace(change.host, static_cast<uint16_t>(batch.hosts.size()));
      if (isNew) {
        batch.hosts.push_back(change.host);
        bytes += kHostBytes;
      }
      batch.added.push_back(FlowException{change.flow, slot->second});
      bytes += kAddedBytes;
    }
  }
  return batch;
}

TimePoint ReplicationLog::oldestUrgentChangeTime() const {
  const auto urgent = std::find_if(changes_.begin(), changes_.end(), [](const Change& change) {
    return change.kind != Kind::kRemoved;
  });
  return urgent == changes_.end() ? TimePoint::max() : urgent->when;
}

bool ReplicationLog::canDelay(TimePoint now) const {
  return now - changes_.front().when < kMaxRemovalDelay &&
         oldestUrgentChangeTime() == TimePoint::max();
}

std::optional<ReplicaAppend> ReplicationLog::poll(TimePoint now, ByteBudget& budget,
                                                  const ShardId& shard, uint32_t epoch) {
  if (!synchronised_ || changes_.empty() || (inFlight_ && now - lastSend_ < resendAfter_)) {
    return std::nullopt;
  }
  if (canDelay(now) || !budget.hasTokens(now)) {
    return std::nullopt;
  }
  size_t bytes = 0;
  ReplicaAppend batch = makeBatch(shard, epoch, bytes);
  budget.consume(now, static_cast<double>(bytes));
  if (inFlight_) {
    resendAfter_ = std::min(resendAfter_ * 2, kMaxResendInterval);
  } else {
    firstSend_ = now;
  }
  inFlight_ = true;
  lastSend_ = now;
  return batch;
}

void ReplicationLog::onAck(TimePoint now, uint32_t next) {
  if (next <= first_ || next > nextSequence()) {
    return;
  }
  const uint32_t acknowledged = next - first_;
  changes_.erase(changes_.begin(), changes_.begin() + acknowledged);
  first_ = next;
  inFlight_ = false;
  resendAfter_ = kInitialResendInterval;
  lastSend_ = now;
}

bool ReplicationLog::current(TimePoint now) const {
  const bool unacknowledged = inFlight_ && now - firstSend_ > kMaxUnacknowledgedTime;
  const bool lags = !changes_.empty() && now - changes_.front().when > kMaxLag;
  return synchronised_ && !unacknowledged && !lags;
}

}  // namespace umberhold
