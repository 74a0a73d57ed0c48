#include "common/shard/snapshot.h"

#include <unordered_map>

namespace umberhold {
namespace {

// Encoded sizes in MessagePack: 9 bytes per 64-bit integer, 1 per array header, up to 5 per 32-bit
// integer.
constexpr size_t kFixedBytes = 80;
constexpr size_t kHostBytes = 9;
constexpr size_t kBaseHostBytes = 12;
constexpr size_t kExceptionBytes = 13;
constexpr size_t kRefusedBytes = 9;
constexpr size_t kPermitBytes = 21;
constexpr size_t kOldFlowBytes = 5;
/** Snapshots with more chunks are rejected. */
constexpr uint32_t kMaxChunks = 65536;

size_t bytesOf(const HostPermits& permits) {
  return kPermitBytes + kHostBytes * (permits.lent.size() + permits.borrowed.size());
}

/** Distributes the content over chunks. */
class ChunkWriter {
 public:
  ChunkWriter(const SnapshotIdentity& identity, const ShardContent& content)
      : identity_(identity), content_(content) {
    startChunk();
  }

  void addBase(const BaseHost& host) {
    makeRoom(kBaseHostBytes);
    current().base.push_back(host);
    bytes_ += kBaseHostBytes;
  }

  void addPinned(const PinnedFlow& pinned) {
    makeRoom(kExceptionBytes + kHostBytes);
    const auto [slot, isNew] =
        hostIndex_.try_emplace(pinned.host, static_cast<uint16_t>(current().hosts.size()));
    if (isNew) {
      current().hosts.push_back(pinned.host);
      bytes_ += kHostBytes;
    }
    bytes_ += kExceptionBytes;
    current().exceptions.push_back(FlowException{pinned.flow, slot->second});
  }

  void addRefused(FlowHash flow) {
    makeRoom(kRefusedBytes);
    current().refused.push_back(flow);
    bytes_ += kRefusedBytes;
  }

  void addPermits(const HostPermits& permits) {
    makeRoom(bytesOf(permits));
    current().permits.push_back(permits);
    bytes_ += bytesOf(permits);
  }

  void addOldFlow(uint32_t fingerprint) {
    makeRoom(kOldFlowBytes);
    current().oldFlows.push_back(fingerprint);
    bytes_ += kOldFlowBytes;
  }

  std::vector<SnapshotChunk> finish() {
    for (uint32_t index = 0; index < chunks_.size(); ++index) {
      chunks_[index].index = index;
      chunks_[index].chunks = static_cast<uint32_t>(chunks_.size());
    }
    return std::move(chunks_);
  }

 private:
  SnapshotChunk& current() { return chunks_.back(); }

  void startChunk() {
    SnapshotChunk chunk;
    chunk.shard = identity_.shard;
    chunk.purpose = identity_.purpose;
    chunk.attempt = identity_.attempt;
    chunk.epoch = content_.epoch;
    chunk.sequence = content_.sequence;
    chunk.knowsAllFlows = content_.knowsAllFlows;
    chunk.listsOldFlows = content_.oldFlows.has_value();
    chunks_.push_back(std::move(chunk));
    hostIndex_.clear();
    bytes_ = kFixedBytes;
  }

  void makeRoom(size_t bytes) {
    if (bytes_ + bytes > kSnapshotChunkBytes) {
      startChunk();
    }
  }

  SnapshotIdentity identity_;
  const ShardContent& content_;
  std::vector<SnapshotChunk> chunks_;
  std::unordered_map<HostId, uint16_t> hostIndex_;
  size_t bytes_ = 0;
};

}  // namespace

std::vector<SnapshotChunk> splitSnapshot(const SnapshotIdentity& identity,
                                         const ShardContent& content) {
  ChunkWriter writer(identity, content);
  for (const BaseHost& host : content.base) {
    writer.addBase(host);
  }
  for (const PinnedFlow& pinned : content.pinned) {
    writer.addPinned(pinned);
  }
  for (const FlowHash& flow : content.refused) {
    writer.addRefused(flow);
  }
  for (const HostPermits& permits : content.permits) {
    writer.addPermits(permits);
  }
  for (const uint32_t fingerprint : content.oldFlows.value_or(std::vector<uint32_t>{})) {
    writer.addOldFlow(fingerprint);
  }
  return writer.finish();
}

size_t estimatedBytes(const SnapshotChunk& chunk) {
  size_t bytes = kFixedBytes + kBaseHostBytes * chunk.base.size() +
                 kHostBytes * chunk.hosts.size() + kExceptionBytes * chunk.exceptions.size() +
                 kRefusedBytes * chunk.refused.size() + kOldFlowBytes * chunk.oldFlows.size();
  for (const HostPermits& permits : chunk.permits) {
    bytes += bytesOf(permits);
  }
  return bytes;
}

void SnapshotAssembler::accept(const SnapshotChunk& chunk) {
  if (total_ == 0 && chunk.chunks > 0 && chunk.chunks <= kMaxChunks) {
    total_ = chunk.chunks;
    epoch_ = chunk.epoch;
    chunks_.resize(total_);
    received_.resize(total_, false);
  }
  const bool belongs = chunk.chunks == total_ && chunk.epoch == epoch_ && chunk.index < total_;
  if (!belongs || received_[chunk.index]) {
    return;
  }
  received_[chunk.index] = true;
  chunks_[chunk.index] = chunk;
  while (next_ < total_ && received_[next_]) {
    ++next_;
  }
}

ShardContent SnapshotAssembler::assemble() const {
  ShardContent content;
  for (const SnapshotChunk& chunk : chunks_) {
    content.epoch = chunk.epoch;
    content.sequence = chunk.sequence;
    content.knowsAllFlows = chunk.knowsAllFlows;
    content.base.insert(content.base.end(), chunk.base.begin(), chunk.base.end());
    content.refused.insert(content.refused.end(), chunk.refused.begin(), chunk.refused.end());
    content.permits.insert(content.permits.end(), chunk.permits.begin(), chunk.permits.end());
    if (chunk.listsOldFlows) {
      auto& oldFlows =
          content.oldFlows.has_value() ? *content.oldFlows : content.oldFlows.emplace();
      oldFlows.insert(oldFlows.end(), chunk.oldFlows.begin(), chunk.oldFlows.end());
    }
    for (const FlowException& exception : chunk.exceptions) {
      if (exception.host < chunk.hosts.size()) {
        content.pinned.push_back(PinnedFlow{exception.flow, chunk.hosts[exception.host]});
      }
    }
  }
  return content;
}

}  // namespace umberhold
