#include "common/token/path_record.h"

#include <algorithm>

namespace umberhold {

PathRecord::Bucket* PathRecord::bucketAt(TimePoint time) {
  const int64_t index = indexOf(time);
  Bucket& bucket = buckets_[slotOf(index)];
  if (bucket.index > index) {
    return nullptr;
  }
  if (bucket.index < index) {
    bucket = {};
    bucket.index = index;
  }
  latest_ = std::max(latest_, index);
  return &bucket;
}

void PathRecord::onDelivered(uint32_t token, TimePoint sentAt) {
  Bucket* bucket = bucketAt(sentAt);
  if (bucket == nullptr) {
    return;
  }
  ++bucket->delivered;
  if (bucket->tokens[0] == 0) {
    bucket->tokens[0] = token;
  } else if (bucket->tokens[0] != token) {
    bucket->tokens[1] = token;
  }
}

void PathRecord::onLost(TimePoint sentAt) {
  if (Bucket* bucket = bucketAt(sentAt)) {
    ++bucket->lost;
  }
}

bool PathRecord::workedAt(uint32_t token, TimePoint sentAt) const {
  const int64_t index = indexOf(sentAt);
  return hasAnswerOfOther(token, index - kProofBuckets, index - 1) &&
         hasAnswerOfOther(token, index + 1, index + kProofBuckets);
}

bool PathRecord::hasAnswerOfOther(uint32_t token, int64_t first, int64_t last) const {
  for (int64_t index = first; index <= last; ++index) {
    const Bucket& bucket = buckets_[slotOf(index)];
    const auto isOther = [token](uint32_t each) { return each != 0 && each != token; };
    if (bucket.index == index && std::any_of(bucket.tokens.begin(), bucket.tokens.end(), isOther)) {
      return true;
    }
  }
  return false;
}

uint64_t PathRecord::deliveredBetween(TimePoint first, TimePoint last) const {
  const int64_t oldest = latest_ - static_cast<int64_t>(kBuckets) + 1;
  uint64_t delivered = 0;
  for (int64_t index = std::max(oldest, indexOf(first)); index <= indexOf(last); ++index) {
    const Bucket& bucket = buckets_[slotOf(index)];
    delivered += bucket.index == index ? bucket.delivered : 0;
  }
  return delivered;
}

bool PathRecord::isLossySince(TimePoint since) const {
  const int64_t oldest = latest_ - static_cast<int64_t>(kBuckets) + 1;
  uint64_t delivered = 0;
  uint64_t lost = 0;
  for (int64_t index = std::max(oldest, indexOf(since) - kProofBuckets); index <= latest_;
       ++index) {
    const Bucket& bucket = buckets_[slotOf(index)];
    if (bucket.index == index) {
      delivered += bucket.delivered;
      lost += bucket.lost;
    }
  }
  return static_cast<double>(lost) > kMaxLossFraction * static_cast<double>(delivered + lost);
}

}  // namespace umberhold
