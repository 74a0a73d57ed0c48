/** @file Refuses datagrams that were already taken, after the sliding window of RFC 4303,
 * section 3.4.3. */
#pragma once

#include <bitset>
#include <cstdint>
#include <unordered_map>

#include "common/base/strong_id.h"

namespace umberhold {

/** How far a datagram may be overtaken by later ones of its sender and still be taken. */
constexpr uint64_t kReplayWindow = 256;
/** Senders remembered; beyond them the one unheard for longest is forgotten. */
constexpr size_t kMaxSenders = 4096;

/** What the guard says of a datagram. */
enum class ReplayVerdict : uint8_t {
  kFresh,
  /** This very number was taken before. */
  kRepeated,
  /** More than kReplayWindow behind the newest, or of an earlier incarnation of the sender. */
  kTooOld,
};

/** Remembers per sender which numbers were taken. Ask it only about authenticated datagrams. */
class ReplayGuard {
 public:
  /** Notes the datagram; @return whether it may be taken. */
  ReplayVerdict check(NodeId sender, uint64_t incarnation, uint64_t sequence);
  size_t senders() const { return senders_.size(); }

 private:
  struct Sender {
    uint64_t incarnation = 0;
    uint64_t highest = 0;
    /** Value of datagramCount_ when last heard. */
    uint64_t lastReceived = 0;
    /** Bit i: number highest - i was taken. */
    std::bitset<kReplayWindow> received;
  };

  Sender& find(NodeId sender, uint64_t incarnation, uint64_t sequence);
  void evictOldest();

  std::unordered_map<NodeId, Sender> senders_;
  /** Counts datagrams; stands for time. */
  uint64_t datagramCount_ = 0;
};

}  // namespace umberhold
