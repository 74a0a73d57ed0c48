/** @file Replay protection with the sliding window of RFC 4303, section 3.4.3. */
#pragma once

#include <bitset>
#include <cstdint>
#include <unordered_map>

#include "common/base/strong_id.h"

namespace umberhold {

/** Size of the window: how far a reordered datagram may be behind the newest one of its sender. */
constexpr uint64_t kReplayWindow = 256;
/** Maximum number of tracked senders; beyond it the least recently active one is evicted. */
constexpr size_t kMaxSenders = 4096;

/** Result of the replay check. */
enum class ReplayVerdict : uint8_t {
  kFresh,
  /** The sequence number was already received. */
  kRepeated,
  /** The datagram is behind the window, or from an earlier incarnation of the sender. */
  kTooOld,
};

/** Tracks the received sequence numbers of each sender. Must be used for authenticated datagrams
 * only. */
class ReplayGuard {
 public:
  /** Checks and records a datagram; only kFresh ones may be accepted. */
  ReplayVerdict check(NodeId sender, uint64_t incarnation, uint64_t sequence);
  size_t senders() const { return senders_.size(); }

 private:
  struct Sender {
    uint64_t incarnation = 0;
    uint64_t highest = 0;
    /** Value of datagramCount_ at the last datagram of the sender. */
    uint64_t lastReceived = 0;
    /** Bit i: sequence number highest - i was received. */
    std::bitset<kReplayWindow> received;
  };

  Sender& find(NodeId sender, uint64_t incarnation, uint64_t sequence);
  void evictOldest();

  std::unordered_map<NodeId, Sender> senders_;
  /** Number of datagrams so far, used as a logical clock. */
  uint64_t datagramCount_ = 0;
};

}  // namespace umberhold
