/**
 * @file Tells a failed host from a failed path: records when this node's path to hosts worked.
 *
 * A node that loses packets on its own link sees the same retransmissions as for a dead host. A
 * retransmission is therefore evidence against a host only if data that the node sent to other
 * hosts shortly before and shortly after the lost transmission was answered, and if little data to
 * live hosts was lost meanwhile. Decision logic without I/O.
 */
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include "common/base/time.h"

namespace umberhold {

/** Not thread safe. */
class PathRecord {
 public:
  /**
   * Records that a host answered data that passed only once.
   * @param sentAt when it passed.
   */
  void onDelivered(uint32_t token, TimePoint sentAt);
  /**
   * Records that data to a live host was lost: it was answered only after a retransmission, or data
   * that was sent later was answered first.
   * @param sentAt when it passed for the first time.
   */
  void onLost(TimePoint sentAt);
  /**
   * @param token flow token of the host whose own answers do not count.
   * @return whether data to other hosts was answered that was sent within kMaxProofDistance before,
   * and other data that was sent within the same time after.
   */
  bool workedAt(uint32_t token, TimePoint sentAt) const;
  /** @return how much data, sent between these times, hosts have answered. */
  uint64_t deliveredBetween(TimePoint first, TimePoint last) const;
  /**
   * @return whether more than kMaxLossFraction of the data sent since then is known to be lost.
   * Includes kMaxProofDistance before that time.
   */
  bool isLossySince(TimePoint since) const;

  /** A caller's first retransmission timeout: an outage that lasts longer loses both copies. */
  static constexpr Duration kMaxProofDistance = std::chrono::milliseconds(200);
  /** With this loss, three packets in a row are lost about once in 10^5. */
  static constexpr double kMaxLossFraction = 0.02;

 private:
  /** What is known about the data sent in one interval of kBucketDuration. */
  struct Bucket {
    int64_t index = -1;
    /** Flow tokens of two hosts that answered; 0: none. Two, so that one differs from any token. */
    std::array<uint32_t, 2> tokens{};
    uint32_t delivered = 0;
    uint32_t lost = 0;
  };
  static constexpr Duration kBucketDuration = std::chrono::milliseconds(20);
  static constexpr int64_t kProofBuckets = kMaxProofDistance / kBucketDuration;
  /** Covers 5 s, more than a host can be silent before the verdict. */
  static constexpr size_t kBuckets = 256;

  static int64_t indexOf(TimePoint time) { return time.time_since_epoch() / kBucketDuration; }
  static size_t slotOf(int64_t index) { return static_cast<size_t>(index) % kBuckets; }
  /** @return the bucket of this time, cleared if necessary; nullptr if the time is too old. */
  Bucket* bucketAt(TimePoint time);
  /** @return whether a host other than this one answered data sent in these buckets. */
  bool hasAnswerOfOther(uint32_t token, int64_t first, int64_t last) const;

  std::array<Bucket, kBuckets> buckets_{};
  int64_t latest_ = -1;
};

}  // namespace umberhold
