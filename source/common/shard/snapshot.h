/** @file Splits the state of a shard into datagram-sized chunks and reassembles it. */
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "common/messages/shard_messages.h"
#include "common/shard/shard_content.h"

namespace umberhold {

/** Identifies the transfer that a snapshot belongs to. */
struct SnapshotIdentity {
  ShardId shard;
  SnapshotPurpose purpose = SnapshotPurpose::kTakeover;
  uint32_t attempt = 0;
};

/** @return the content as at least one chunk; each encodes to less than kSnapshotChunkBytes. */
std::vector<SnapshotChunk> splitSnapshot(const SnapshotIdentity& identity,
                                         const ShardContent& content);

/** Upper bound of an encoded chunk, without the envelope. */
inline constexpr size_t kSnapshotChunkBytes = 1200;

/** @return an estimate of the encoded size of a chunk, never below the actual size. */
size_t estimatedBytes(const SnapshotChunk& chunk);

/** Reassembles the chunks of one snapshot, which may arrive in any order. */
class SnapshotAssembler {
 public:
  /**
   * Adds a chunk; a chunk that does not belong to the same snapshot as the first one is ignored.
   */
  void accept(const SnapshotChunk& chunk);
  /** @return the first missing index; all lower ones have arrived. */
  uint32_t next() const { return next_; }
  bool complete() const { return total_ > 0 && next_ == total_; }
  /** @return the content; call it only once complete(). */
  ShardContent assemble() const;

 private:
  uint32_t epoch_ = 0;
  uint32_t total_ = 0;
  uint32_t next_ = 0;
  std::vector<SnapshotChunk> chunks_;
  std::vector<bool> received_;
};

}  // namespace umberhold
