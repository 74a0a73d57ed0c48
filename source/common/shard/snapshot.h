/** @file Cuts the state of a shard into datagram-sized chunks and puts it together again. */
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "common/messages/shard_messages.h"
#include "common/shard/shard_content.h"

namespace umberhold {

/** What a snapshot belongs to. */
struct SnapshotIdentity {
  ShardId shard;
  SnapshotPurpose purpose = SnapshotPurpose::kTakeover;
  uint32_t attempt = 0;
};

/** @return the content as at least one chunk; each encodes to less than kSnapshotChunkBytes. */
std::vector<SnapshotChunk> splitSnapshot(const SnapshotIdentity& identity,
                                       const ShardContent& content);

/** Upper bound of an encoded chunk, before the envelope. */
inline constexpr size_t kSnapshotChunkBytes = 1200;

/** @return an estimate, not below the encoded size, of a chunk. */
size_t estimatedBytes(const SnapshotChunk& chunk);

/** Collects the chunks of one snapshot, in any order. */
class SnapshotAssembler {
 public:
  /** Takes a chunk; a chunk of another snapshot than the first one's is ignored. */
  void accept(const SnapshotChunk& chunk);
  /** @return every index below it has arrived. */
  uint32_t next() const { return next_; }
  bool complete() const { return total_ > 0 && next_ == total_; }
  /** @return the content; only once complete. */
  ShardContent assemble() const;

 private:
  uint32_t epoch_ = 0;
  uint32_t total_ = 0;
  uint32_t next_ = 0;
  std::vector<SnapshotChunk> chunks_;
  std::vector<bool> received_;
};

}  // namespace umberhold
