/** @file How a process's reading of the platform's store goes, for logs and metrics. */
#pragma once

#include <cstdint>
#include <optional>

#include "common/base/time.h"

namespace umberhold {

/** A snapshot. */
struct StoreReadStatus {
  uint64_t lists = 0;
  uint64_t watches = 0;
  /** Calls without a whole answer of use. */
  uint64_t failures = 0;
  /** Objects that could not be understood. */
  uint64_t unreadable = 0;
  /** Answers of peers by whether they confirmed what this node holds, and their absence. */
  uint64_t peerConfirmations = 0;
  uint64_t peerFailures = 0;
  /** Questions of peers that were answered with this node's reading. */
  uint64_t answeredPeerRequests = 0;
  /** How often all hosts were encoded for peers that were too far behind. */
  uint64_t hostCopies = 0;
  /** Whether this node reads the store itself at present; otherwise it follows a peer. */
  bool readsStore = true;
  /** Nodes of this node's zone that are known, itself included. */
  uint32_t zoneNodes = 1;
  /** Whether calls fail at present. */
  bool failing = false;
  /** When the store last answered. */
  std::optional<TimePoint> lastAnswerAt;
  /** The operator's version of the effective configuration, and when it was read; 0 for none. */
  uint64_t configurationVersion = 0;
  TimePoint configurationReadAt{};
};

}  // namespace umberhold
