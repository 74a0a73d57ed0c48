/** @file Counts the bytes on the wire of one node, by purpose, in total and per time window. */
#pragma once

#include <array>
#include <cstdint>

#include "common/base/time.h"
#include "common/wire/codec.h"

namespace umberhold {

/** Bytes of the envelope (wire/envelope.h) plus the IP and UDP headers of one datagram. */
constexpr uint64_t kDatagramOverhead = 50 + 28;

/** Purpose of a message, as printed in the tables. */
enum class ByteClass : uint8_t { kMembership, kSpread, kCoverage, kCount };

/** @return kSpread for all messages that belong to neither membership nor coverage. */
inline ByteClass byteClassOf(const Message& message) {
  // Indexes of Ping and JoinReply in MessageBody.
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
  const bool isCoverage = std::holds_alternative<CoverageReport>(message.body) ||
                          std::holds_alternative<CoverageQuery>(message.body) ||
                          std::holds_alternative<CoverageSummary>(message.body);
  return isCoverage ? ByteClass::kCoverage : ByteClass::kSpread;
}

/** @return the size of the message on the wire if it is sent as one datagram, bytes. */
inline uint64_t datagramBytes(const Message& message) {
  const auto encoded = encode(message);
  return (isOk(encoded) ? valueOf(encoded).size() : 0) + kDatagramOverhead;
}

/** Bytes that one node sent and received. */
struct ByteAccount {
  std::array<uint64_t, static_cast<size_t>(ByteClass::kCount)> sent{};
  /** Bytes of all datagrams sent to the node, including lost ones. */
  uint64_t received = 0;
  /** Sent and received in the current window. */
  uint64_t windowTotal = 0;
  /** Maximum of windowTotal over the counted windows. */
  uint64_t maxWindowTotal = 0;
  /** Maximum of windowSent over the counted windows. */
  uint64_t maxWindowSent = 0;
  /** Sent in the current window. */
  uint64_t windowSent = 0;

  uint64_t totalSent() const { return sent[0] + sent[1] + sent[2]; }
  void addSent(ByteClass byteClass, uint64_t bytes) {
    sent[static_cast<size_t>(byteClass)] += bytes;
    windowTotal += bytes;
    windowSent += bytes;
  }
  void addReceived(uint64_t bytes) {
    received += bytes;
    windowTotal += bytes;
  }
  /** Begins a new window. @param isCounted whether the maxima include the ended one. */
  void closeWindow(bool isCounted) {
    if (isCounted) {
      maxWindowTotal = std::max(maxWindowTotal, windowTotal);
      maxWindowSent = std::max(maxWindowSent, windowSent);
    }
    windowTotal = 0;
    windowSent = 0;
  }
};

}  // namespace umberhold
