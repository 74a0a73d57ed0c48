/**
 * @file Detects hosts that are silent to all nodes of a zone.
 *
 * A node of a large fleet sends too few requests to a host to detect its death quickly. Therefore
 * each node reports to the node that reads the store for its zone which hosts recently acknowledged
 * data and which did not. Decision logic without I/O.
 */
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "common/base/time.h"
#include "common/messages/peer_messages.h"
#include "common/token/silence_evidence.h"

namespace umberhold {

/**
 * Maximum number of hosts in one report, unacknowledged ones first: 13 bytes each, 29 for a silent
 * host. Together with the response times of kMaxReportedHosts hosts, a report still fits into
 * the path of one query (2.3 KB, base64).
 */
constexpr size_t kMaxLivenessReports = 64;
/** Maximum number of callers listed per host in a report; detection needs no more. */
constexpr size_t kMaxReportedCallers = 2;
/** Maximum number of hosts in one response, 11 bytes each. */
constexpr size_t kMaxSilentHosts = 256;

/** Collects the acknowledgement states of this node until its next report. Not thread safe. */
class AckStateCollector {
 public:
  void add(const std::vector<HostAckState>& states);
  /** @return the states that changed since the last report, and the hosts that are still silent. */
  std::vector<HostLivenessReport> take(TimePoint now);
  /** @return what take() would return; it is reported again. */
  std::vector<HostLivenessReport> peek(TimePoint now) const;
  /** @return the states that the last take() reported for the last time. */
  const std::vector<HostAckState>& lastTaken() const { return lastTaken_; }
  /** Reports these states again unless they have changed: their report was lost. */
  void restore(const std::vector<HostAckState>& states);

 private:
  /** @return the states to report now, unacknowledged ones first. */
  std::vector<HostAckState> select() const;

  std::unordered_map<uint32_t, HostAckState> pending_;
  /** What the last report removed from pending_. */
  std::vector<HostAckState> lastTaken_;
};

/** Merges the acknowledgement states reported by the nodes of a zone. Not thread safe. */
class ZoneSilence {
 public:
  /**
   * Sets the number of nodes in the zone. A node that only a few nodes follow, such as those that
   * lost contact with their reader, does not know which hosts the others hear from; it names none.
   */
  void setZoneNodes(uint32_t nodes);
  /** @param reporter identifies the node within the zone. */
  void merge(TimePoint now, uint64_t reporter,
             const std::vector<HostLivenessReport>& livenessReports);
  /**
   * @return the hosts that left data of several callers unacknowledged at two or more nodes, and
   * that acknowledged no data at any node from the first transmission of that data until at least
   * kMinSilence later. A single node that is partitioned or faulty cannot mark a host as silent.
   * Nodes report answers less often than silence, so all nodes that reported recently must have
   * reported since.
   */
  std::vector<SilentHost> silentHosts(TimePoint now);

 private:
  struct Report {
    TimePoint at{};
    uint32_t copies = 0;
    std::vector<uint32_t> callers;
    TimePoint since{};
    TimePoint lastCopyAt{};
  };
  struct Host {
    TimePoint answeredAt{};
    std::unordered_map<uint64_t, Report> reports;
  };

  /** When a silence began, and the last sign of it. */
  struct Silence {
    TimePoint since{};
    TimePoint lastCopyAt{};
  };

  /** @return the silence of a host; nothing if the host may be alive. */
  std::optional<Silence> silenceOf(const Host& host) const;
  /** @return whether all nodes that report have reported at this time or later. */
  bool haveAllReportedSince(TimePoint time) const;

  std::unordered_map<uint32_t, Host> hosts_;
  /** When each node last reported; nodes that no longer report are removed. */
  std::unordered_map<uint64_t, TimePoint> reportedAt_;
  /** Minimum number of nodes that must have reported recently. */
  size_t minNodes_ = 0;
};

}  // namespace umberhold
