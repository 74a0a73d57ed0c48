/**
 * @file Comparison of two stores, level by level: total, groups of buckets, buckets, records.
 *
 * Stateless and bounded: one exchange reconciles at most a few buckets, and whoever still differs
 * begins another. So the begin rate alone is the flow control of a node that fetches everything.
 */
#pragma once

#include <vector>

#include "common/base/random.h"
#include "common/spread/record_sender.h"
#include "common/spread/record_store.h"

namespace umberhold {

/** What a digest message has shown. */
enum class DigestOutcome : uint8_t { kEqual, kPeerIsBehind, kDiffers };

/** Buckets that one exchange reconciles at most. */
constexpr size_t kBucketsPerExchange = 16;
/** Content of the buckets that one exchange reconciles, bytes: a bucket more is begun below it. */
constexpr size_t kBytesPerExchange = 4096;

/** Answers digest messages. */
class DigestExchange {
 public:
  DigestExchange(const RecordStore& store, RecordSender& sender, RandomSource& random,
                 MessageSink& sink)
      : store_(store), sender_(sender), random_(random), sink_(sink) {}

  void begin(const Endpoint& to, const CompletenessClaim& claim, bool wantsReply);
  /** Goes one level deeper where the digests differ; equal totals are left to the caller.
   * @param byteLimit for the content of the buckets that the peer gets; one bucket at least.
   */
  DigestOutcome onRequest(const Endpoint& from, const DigestRequest& request,
                          const CompletenessClaim& own, bool caughtUp, size_t byteLimit);
  /** Takes the whole content of the sender's buckets: pushes what is newer here, if `mayPush`;
   * @return what is newer there. */
  std::vector<RecordVersion> onSummary(const Endpoint& from, const DigestReply& reply,
                                       const CompletenessClaim& own, bool mayPush);

 private:
  std::vector<uint32_t> pickDiffering(const std::vector<uint64_t>& own,
                                      const std::vector<uint64_t>& other, size_t limit);
  /** @return the first buckets whose content stays within the limit, the first one in any case. */
  std::vector<uint32_t> limitBytes(std::vector<uint32_t> buckets, size_t byteLimit) const;
  void sendSummaries(const Endpoint& to, const std::vector<uint32_t>& buckets,
                     const CompletenessClaim& own, bool caughtUp);
  void announce(const Endpoint& to, const std::vector<RecordVersion>& versions,
                const CompletenessClaim& own, bool caughtUp);
  void pushNewer(const Endpoint& to, uint32_t bucket, const DigestReply& reply,
                 const CompletenessClaim& own);

  const RecordStore& store_;
  RecordSender& sender_;
  RandomSource& random_;
  MessageSink& sink_;
};

}  // namespace umberhold
