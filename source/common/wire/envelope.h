/**
 * @file Authenticated datagrams that carry one message each between nodes.
 *
 * Format: msgpack [version, key id, sender, incarnation, sequence, body, tag]. The tag is
 * HMAC-SHA256 over all preceding bytes, truncated to 16 bytes. Contents are authenticated, not
 * encrypted. The receiver is not authenticated (a proxy may be in between), so an intercepted
 * datagram can be replayed once to another node; all messages are harmless if they are duplicated,
 * delayed or misdelivered.
 */
#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

#include "common/base/result.h"
#include "common/base/strong_id.h"
#include "common/wire/key_ring.h"
#include "common/wire/replay_guard.h"

namespace umberhold {

/** Version of the envelope's format. */
constexpr uint8_t kEnvelopeVersion = 1;
/** Maximum size of a datagram between nodes, bytes; larger ones are fragmented on common links. */
constexpr size_t kMaxDatagramBytes = 1400;
/** Maximum overhead of the envelope, bytes. */
constexpr size_t kMaxEnvelopeOverhead = 64;

/** Reason for which a datagram was rejected. */
enum class OpenError : uint8_t {
  kMalformed,
  kUnsupportedVersion,
  kUnknownKey,
  kBadTag,
  kReplayed,
  kTooOld,
  kCount,
};

/** @return the snake_case label of an error. */
std::string_view toString(OpenError error);

/** The content of an authenticated datagram; the body points into the datagram. */
struct OpenedEnvelope {
  NodeId sender;
  /** Start time of the sender's process, Unix milliseconds. */
  uint64_t incarnation = 0;
  uint64_t sequence = 0;
  std::string_view body;
};

/** Creates the authenticated datagrams of one process. Not thread safe. */
class EnvelopeSealer {
 public:
  /** @param keys borrowed. @param incarnation start time of this process, Unix milliseconds. */
  EnvelopeSealer(KeyRing& keys, NodeId self, uint64_t incarnation);
  /** @return a datagram with the body and the next sequence number. */
  std::string seal(std::string_view body);

 private:
  KeyRing& keys_;
  NodeId self_;
  uint64_t incarnation_;
  uint64_t sequence_ = 0;
};

/** Authenticates received datagrams and counts rejected ones. Not thread safe. */
class EnvelopeOpener {
 public:
  explicit EnvelopeOpener(KeyRing& keys);
  /** @return the envelope; a duplicate of an accepted datagram is rejected. */
  Result<OpenedEnvelope, OpenError> open(std::string_view datagram);
  /** @return the number of datagrams rejected for the reason. */
  uint64_t refused(OpenError reason) const { return refused_[static_cast<size_t>(reason)]; }

 private:
  Result<OpenedEnvelope, OpenError> authenticate(std::string_view datagram);
  Result<OpenedEnvelope, OpenError> checkReplay(const OpenedEnvelope& envelope);

  KeyRing& keys_;
  ReplayGuard replays_;
  std::array<uint64_t, static_cast<size_t>(OpenError::kCount)> refused_{};
};

}  // namespace umberhold
