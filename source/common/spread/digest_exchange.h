/**
 * @file Anti-entropy comparison of two stores, level by level: total, groups of buckets, buckets,
 * records.
 *
 * Stateless and bounded: one exchange reconciles at most a few buckets, and nodes that still differ
 * start another one. The rate at which exchanges are started is therefore the only flow control of
 * a node that fetches all records.
 */
#pragma once

#include <vector>

#include "common/base/random.h"
#include "common/spread/record_sender.h"
#include "common/spread/record_store.h"

namespace umberhold {

/** Result of a digest comparison. */
enum class DigestOutcome : uint8_t { kEqual, kPeerIsBehind, kDiffers };

/** Maximum number of buckets that one exchange reconciles. */
constexpr size_t kBucketsPerExchange = 16;
/** Content of the buckets that one exchange reconciles, bytes; another bucket is added as long as
 * the content is below it. */
constexpr size_t kBytesPerExchange = 4096;

/** Starts comparisons and answers digest messages. */
class DigestExchange {
 public:
  DigestExchange(const RecordStore& store, RecordSender& sender, RandomSource& random,
                 MessageSink& sink)
      : store_(store), sender_(sender), random_(random), sink_(sink) {}

  void begin(const Endpoint& to, const CompletenessClaim& claim, bool wantsReply);
  /** Compares one level deeper if the digests differ; sends nothing if the totals are equal.
   * @param byteLimit for the content of the summarized buckets; at least one bucket is sent.
   */
  DigestOutcome onRequest(const Endpoint& from, const DigestRequest& request,
                          const CompletenessClaim& own, bool caughtUp, size_t byteLimit);
  /** Processes the complete content of the sender's buckets: if `mayPush`, pushes the records that
   * are newer in this store. @return the versions that are newer at the sender. */
  std::vector<RecordVersion> onSummary(const Endpoint& from, const DigestReply& reply,
                                       const CompletenessClaim& own, bool mayPush);

 private:
  std::vector<uint32_t> pickDiffering(const std::vector<uint64_t>& own,
                                      const std::vector<uint64_t>& other, size_t limit);
  /** @return the first buckets up to the limit on their content, at least one. */
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
