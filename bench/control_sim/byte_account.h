/** @file Bytes on the wire per node: by class, in total and in the busiest window. */
#pragma once

#include <array>
#include <cstdint>

#include "common/base/time.h"
#include "common/wire/codec.h"

namespace umberhold {

/** Envelope (wire/envelope.h) plus IP and UDP headers of one datagram. */
constexpr uint64_t kDatagramOverhead = 50 + 28;

/** Purposes that are distinguished in the tables. */
enum class ByteClass : uint8_t { kMembership, kSpread, kCoverage, kCount };

/** @return the purpose of a message. */
inline ByteClass byteClassOf(const Message& message) {
  constexpr size_t kFirstMembership = 0;
  constexpr size_t kLastMembership = 4;
  const size_t index = message.body.index();
  if (index >= kFirstMembership && index <= kLastMembership) {
    return ByteClass::kMembership;
  }
  if (std::holds_alternative<MemberGossip>(message.body) ||
      std::holds_alternative<PingNack>(message.body) ||
      std::holds_alternative<MemberDigest>(message.body) ||
      std::holds_alternative<MemberDigestReply>(message.body) ||
      std::holds_alternative<MemberQuery>(message.body)) {
    return ByteClass::kMembership;
  }
  const bool coverage = std::holds_alternative<CoverageReport>(message.body) ||
                        std::holds_alternative<CoverageQuery>(message.body) ||
                        std::holds_alternative<CoverageSummary>(message.body);
  return coverage ? ByteClass::kCoverage : ByteClass::kSpread;
}

/** @return the bytes of the message as one datagram. */
inline uint64_t datagramBytes(const Message& message) {
  const auto encoded = encode(message);
  return (isOk(encoded) ? valueOf(encoded).size() : 0) + kDatagramOverhead;
}

/** What one node has sent and received. */
struct ByteAccount {
  std::array<uint64_t, static_cast<size_t>(ByteClass::kCount)> sent{};
  uint64_t received = 0;
  /** Sent and received in the window that runs now, and in the busiest one so far. */
  uint64_t window = 0;
  uint64_t busiestWindow = 0;
  uint64_t busiestSent = 0;
  uint64_t windowSent = 0;

  uint64_t totalSent() const { return sent[0] + sent[1] + sent[2]; }
  void addSent(ByteClass byteClass, uint64_t bytes) {
    sent[static_cast<size_t>(byteClass)] += bytes;
    window += bytes;
    windowSent += bytes;
  }
  void addReceived(uint64_t bytes) {
    received += bytes;
    window += bytes;
  }
  /** @param counts whether the node is past its start, so that the window counts. */
  void closeWindow(bool counts) {
    if (counts) {
      busiestWindow = std::max(busiestWindow, window);
      busiestSent = std::max(busiestSent, windowSent);
    }
    window = 0;
    windowSent = 0;
  }
};

}  // namespace umberhold
