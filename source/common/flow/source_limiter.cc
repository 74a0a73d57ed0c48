#include "common/flow/source_limiter.h"

#include <algorithm>
#include <limits>

#include "common/base/hash.h"

namespace umberhold {
namespace {

constexpr unsigned kPrefixBucketBits = 10;
constexpr unsigned kAddressBucketBits = 6;
constexpr unsigned kHostBits = 8;

SourceBucket prefixOf(SourceBucket bucket) {
  return static_cast<SourceBucket>(bucket >> kAddressBucketBits);
}

}  // namespace

SourceLimiter::SourceLimiter(SourceLimits limits, uint64_t seed)
    : limits_(limits),
      seed_(seed),
      addresses_(size_t{1} << (kPrefixBucketBits + kAddressBucketBits)),
      prefixes_(size_t{1} << kPrefixBucketBits) {
  constexpr uint32_t kMaxCount = std::numeric_limits<uint16_t>::max();
  limits_.perAddress = std::min(limits_.perAddress, kMaxCount);
}

SourceBucket SourceLimiter::bucketOf(uint32_t address) const {
  const uint64_t prefix = mixHash(seed_, address >> kHostBits) >> (64U - kPrefixBucketBits);
  const uint64_t host = mixHash(~seed_, address) >> (64U - kAddressBucketBits);
  return static_cast<SourceBucket>((prefix << kAddressBucketBits) | host);
}

bool SourceLimiter::acquire(SourceBucket bucket) {
  uint16_t& address = addresses_[bucket];
  uint32_t& prefix = prefixes_[prefixOf(bucket)];
  if (address >= limits_.perAddress || prefix >= limits_.perPrefix) {
    return false;
  }
  ++address;
  ++prefix;
  return true;
}

void SourceLimiter::release(SourceBucket bucket) {
  --addresses_[bucket];
  --prefixes_[prefixOf(bucket)];
}

}  // namespace umberhold
