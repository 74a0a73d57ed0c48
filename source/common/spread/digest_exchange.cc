#include "common/spread/digest_exchange.h"

#include <algorithm>
#include <iterator>
#include <map>
#include <utility>

#include "common/wire/message.h"

namespace umberhold {
namespace {

/** A peer that lacks at most this many recent changes is sent them directly, without a further
 * comparison. */
constexpr size_t kMaxPushedChanges = 16;
/** Approximate encoded size of a RecordVersion without its name, bytes. */
constexpr size_t kVersionOverhead = 14;

/** @return the approximate encoded size, bytes. */
size_t sizeOf(const std::vector<RecordVersion>& versions) {
  size_t size = 0;
  for (const RecordVersion& version : versions) {
    size += version.key.name.size() + kVersionOverhead;
  }
  return size;
}

}  // namespace

void DigestExchange::begin(const Endpoint& to, const CompletenessClaim& claim, bool wantsReply) {
  sink_.send(to, Message{DigestRequest{claim, wantsReply, kAllGroups, {}}});
}

DigestOutcome DigestExchange::onRequest(const Endpoint& from, const DigestRequest& request,
                                        const CompletenessClaim& claim, bool caughtUp,
                                        size_t byteLimit) {
  const auto changes = store_.changesSince(request.claim.total);
  if (changes && changes->empty()) {
    return DigestOutcome::kEqual;
  }
  if (changes && changes->size() <= kMaxPushedChanges) {
    sender_.send(from, *changes, false, claim);
    return DigestOutcome::kPeerIsBehind;
  }
  if (request.group == kAllGroups && request.digests.size() != kDigestGroups) {
    sink_.send(from, Message{DigestRequest{claim, false, kAllGroups, store_.groupDigests()}});
  } else if (request.group == kAllGroups) {
    for (const uint32_t group : pickDiffering(store_.groupDigests(), request.digests, 1)) {
      sink_.send(from, Message{DigestRequest{claim, false, group, store_.bucketDigests(group)}});
    }
  } else if (request.group < kDigestGroups && request.digests.size() == kBucketsPerGroup) {
    const auto own = store_.bucketDigests(request.group);
    std::vector<uint32_t> buckets = pickDiffering(own, request.digests, kBucketsPerExchange);
    for (uint32_t& bucket : buckets) {
      bucket += request.group * kBucketsPerGroup;
    }
    sendSummaries(from, limitBytes(std::move(buckets), byteLimit), claim, caughtUp);
  }
  return DigestOutcome::kDiffers;
}

std::vector<uint32_t> DigestExchange::pickDiffering(const std::vector<uint64_t>& own,
                                                    const std::vector<uint64_t>& other,
                                                    size_t limit) {
  std::vector<uint32_t> differing;
  for (uint32_t index = 0; index < own.size(); ++index) {
    if (own[index] != other[index]) {
      differing.push_back(index);
    }
  }
  std::shuffle(differing.begin(), differing.end(), random_.engine());
  differing.resize(std::min(differing.size(), limit));
  return differing;
}

std::vector<uint32_t> DigestExchange::limitBytes(std::vector<uint32_t> buckets,
                                                 size_t byteLimit) const {
  size_t bytes = 0;
  size_t count = 0;
  while (count < buckets.size() && (count == 0 || bytes < byteLimit)) {
    bytes += store_.bytesIn(buckets[count]);
    ++count;
  }
  buckets.resize(count);
  return buckets;
}

void DigestExchange::sendSummaries(const Endpoint& to, const std::vector<uint32_t>& buckets,
                                   const CompletenessClaim& own, bool caughtUp) {
  DigestReply reply{own, caughtUp, {}, {}};
  size_t packed = 0;
  for (const uint32_t bucket : buckets) {
    std::vector<RecordVersion> versions = store_.versionsIn(bucket);
    const size_t size = sizeOf(versions);
    if (size > kDatagramRecordBytes) {
      announce(to, versions, own, caughtUp);
      continue;
    }
    if (packed + size > kDatagramRecordBytes) {
      sink_.send(to, Message{std::exchange(reply, DigestReply{own, caughtUp, {}, {}})});
      packed = 0;
    }
    packed += size;
    reply.buckets.push_back(bucket);
    std::move(versions.begin(), versions.end(), std::back_inserter(reply.versions));
  }
  if (!reply.buckets.empty()) {
    sink_.send(to, Message{std::move(reply)});
  }
}

/** Sends a bucket that is too large for one datagram. No datagram holds its complete content, so
 * each one only announces records. */
void DigestExchange::announce(const Endpoint& to, const std::vector<RecordVersion>& versions,
                              const CompletenessClaim& own, bool caughtUp) {
  DigestReply reply{own, caughtUp, {}, {}};
  size_t packed = 0;
  for (const RecordVersion& version : versions) {
    const size_t size = sizeOf({version});
    if (packed + size > kDatagramRecordBytes) {
      sink_.send(to, Message{std::exchange(reply, DigestReply{own, caughtUp, {}, {}})});
      packed = 0;
    }
    packed += size;
    reply.versions.push_back(version);
  }
  sink_.send(to, Message{std::move(reply)});
}

std::vector<RecordVersion> DigestExchange::onSummary(const Endpoint& from, const DigestReply& reply,
                                                     const CompletenessClaim& own, bool mayPush) {
  std::vector<RecordVersion> newer;
  for (const RecordVersion& record : reply.versions) {
    if (record.version > store_.versionOf(record.key)) {
      newer.push_back(record);
    }
  }
  const uint64_t sentBefore = sender_.bytesSent();
  for (const uint32_t bucket : reply.buckets) {
    const bool hasRoom = sender_.bytesSent() - sentBefore < kBytesPerExchange;
    if (mayPush && hasRoom && bucket < kDigestBuckets &&
        reply.buckets.size() <= kBucketsPerExchange) {
      pushNewer(from, bucket, reply, own);
    }
  }
  return newer;
}

void DigestExchange::pushNewer(const Endpoint& to, uint32_t bucket, const DigestReply& reply,
                               const CompletenessClaim& own) {
  std::map<RecordKey, uint64_t> peerVersions;
  for (const RecordVersion& record : reply.versions) {
    peerVersions[record.key] = record.version;
  }
  std::vector<RecordKey> keys;
  for (const RecordVersion& record : store_.versionsIn(bucket)) {
    const auto known = peerVersions.find(record.key);
    const uint64_t version = known == peerVersions.end() ? 0 : known->second;
    // Several readers assign versions to contact records, so equal versions may differ in content.
    const bool mayDiffer = record.key.kind == ObjectKind::kRegionContacts;
    if (record.version > version || (mayDiffer && record.version == version)) {
      keys.push_back(record.key);
    }
  }
  sender_.send(to, keys, false, own);
}

}  // namespace umberhold
