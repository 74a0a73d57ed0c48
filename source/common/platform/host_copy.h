/**
 * @file Snapshot of all registered hosts, which a reader serves to nodes that hold no hosts or too
 * old ones.
 *
 * A copy is encoded once for all requesters, in parts of one message each: a message holds at most
 * about 10,000 hosts, and a part is sent within milliseconds, so that a slow requester is not
 * dropped during the transfer. A copy is usable as long as the changes after its version are
 * available (host_event_log.h): a requester fetches the copy and the changes together. No I/O.
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

/** Hosts per part: about 45 kB before compression, 2% of one second on a 20 Mbit/s link. */
constexpr size_t kHostsPerCopyPart = 500;

/** Encoded snapshot of all hosts. */
struct HostCopy {
  /** Store version of the snapshot. */
  uint64_t version = 0;
  /** Encoded by encodeHostCopyPart(); at least one part, which may contain no host. */
  std::vector<std::string> parts;
};

/** @param hosts all hosts registered at the version. */
Result<HostCopy, EncodeError> makeHostCopy(uint64_t version, const std::vector<HostEvent>& hosts);

/**
 * The latest copies: a copy that is being fetched stays available while the next one is made. Not
 * thread safe.
 */
class HostCopies {
 public:
  void add(HostCopy copy);
  /** @return the latest copy; nullptr if there is none. */
  const HostCopy* latest() const { return copies_.empty() ? nullptr : &copies_.back(); }
  /** @return a part of the copy of a version; nullptr if that copy is not kept. */
  const std::string* part(uint64_t version, uint32_t index) const;

 private:
  static constexpr size_t kMaxCopies = 2;

  std::deque<HostCopy> copies_;
};

}  // namespace umberhold
