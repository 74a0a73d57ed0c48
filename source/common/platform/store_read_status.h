/** @file Status of a process's reads from the platform's store, for logs and metrics. */
#pragma once

#include <cstdint>
#include <optional>

#include "common/base/time.h"

namespace umberhold {

/** A snapshot of the status. */
struct StoreReadStatus {
  uint64_t lists = 0;
  uint64_t watches = 0;
  /** Calls without a complete, usable response. */
  uint64_t failures = 0;
  /** Calls whose answer did not begin in time: the store may have lost them. */
  uint64_t overdueCalls = 0;
  /** Objects that could not be parsed. */
  uint64_t unreadable = 0;
  /**
   * Peer answers that confirmed this node's state, and requests to peers without such an answer.
   */
  uint64_t peerConfirmations = 0;
  uint64_t peerFailures = 0;
  /** Peer requests that were answered with this node's state. */
  uint64_t answeredPeerRequests = 0;
  /** Bytes of answers to peers, by what they contain. */
  uint64_t answeredChangesBytes = 0;
  uint64_t answeredHostsBytes = 0;
  uint64_t answeredConfigurationBytes = 0;
  /** Number of times that all hosts were encoded for peers that were too far behind. */
  uint64_t hostCopies = 0;
  /** Whether this node currently reads the store itself; otherwise it follows a peer. */
  bool readsStore = true;
  /** Known nodes of this node's zone, itself included. */
  uint32_t zoneNodes = 1;
  /** Whether calls are currently failing. */
  bool failing = false;
  /** Time of the store's last answer. */
  std::optional<TimePoint> lastAnswerAt;
  /** The operator's version of the effective configuration, and when it was read; 0 for none. */
  uint64_t configurationVersion = 0;
  TimePoint configurationReadAt{};
};

}  // namespace umberhold
