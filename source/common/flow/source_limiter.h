/**
 * @file Limits the number of unestablished flows per source.
 *
 * Counts are kept in a fixed number of hash buckets: 1,024 buckets of /24 prefixes, each with 64
 * buckets of addresses. Sources in the same bucket share its limit; the memory is always 130 KB.
 */
#pragma once

#include <cstdint>
#include <vector>

namespace umberhold {

/** Maximum number of unestablished flows per source; high enough for many callers behind one NAT
 * address.
 */
struct SourceLimits {
  uint32_t perAddress = 16384;
  /** Per /24 prefix. */
  uint32_t perPrefix = 65536;
};

/** Index of an address bucket; the upper bits are the index of the prefix bucket. */
using SourceBucket = uint16_t;

/** Counts unestablished flows by source. Not thread safe. */
class SourceLimiter {
 public:
  /** @param seed secret for the choice of buckets. */
  SourceLimiter(SourceLimits limits, uint64_t seed);

  /** @return the bucket of a caller's address (host byte order). */
  SourceBucket bucketOf(uint32_t address) const;
  /** Counts an unestablished flow. @return false, without counting it, if the source is at its
   * limit. */
  bool acquire(SourceBucket bucket);
  /** Stops counting a flow that acquire() has counted. */
  void release(SourceBucket bucket);

 private:
  SourceLimits limits_;
  uint64_t seed_;
  std::vector<uint16_t> addresses_;
  std::vector<uint32_t> prefixes_;
};

}  // namespace umberhold
