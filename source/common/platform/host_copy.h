/**
 * @file All registered hosts as a reader hands them to nodes that have none of them, or too old
 * ones.
 *
 * Encoded once for all that ask, in parts that fit a message each: a message holds about 10,000
 * hosts at most, and a part is sent within milliseconds, so that no slow asker is given up under
 * way. A copy serves for as long as the changes after its version are known (host_event_log.h): an
 * asker takes the copy and the changes together. No I/O.
 */
#pragma once

#include <cstdint>
#include <deque>
#include <string>
#include <vector>

#include "common/base/result.h"
#include "common/messages/peer_messages.h"
#include "common/wire/codec_error.h"

namespace umberhold {

/** Hosts of a part: about 45 kB before compression, 2% of a second of a link of 20 Mbit/s. */
constexpr size_t kHostsPerCopyPart = 500;

/** The encoded parts of a copy. */
struct HostCopy {
  /** Version of the store that it shows. */
  uint64_t version = 0;
  /** Each as of encodeHostCopyPart(); at least one, which may hold no host. */
  std::vector<std::string> parts;
};

/** @param hosts all registered ones as of the version. */
Result<HostCopy, EncodeError> makeHostCopy(uint64_t version, const std::vector<HostEvent>& hosts);

/** The latest copies: one that is being fetched stays while the next is made. Not thread safe. */
class HostCopies {
 public:
  void add(HostCopy copy);
  /** @return the latest one; nullptr for none. */
  const HostCopy* latest() const { return copies_.empty() ? nullptr : &copies_.back(); }
  /** @return a part of the copy of a version; nullptr where it isn't kept. */
  const std::string* part(uint64_t version, uint32_t index) const;

 private:
  static constexpr size_t kMostCopies = 2;

  std::deque<HostCopy> copies_;
};

}  // namespace umberhold
