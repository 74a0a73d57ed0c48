/**
 * @file Which hosts are silent to all nodes of a zone.
 *
 * A node of a large fleet sends too few requests to a host to know soon that it is dead. So each
 * tells the node that reads the store for its zone which hosts acknowledged data of late and which
 * did not. Decision logic without I/O.
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

/** Signs of hosts in one report, hosts without acknowledgements first: 12 bytes each, 26 of a
 * silent host. With 48 late hosts a report fits into the path of one question (2.3 KB, base64). */
constexpr size_t kMaxReportedSigns = 64;
/** Callers that a report names for a host: as many as are needed. */
constexpr size_t kMaxReportedCallers = 2;
/** Hosts in one answer, 8 bytes each. */
constexpr size_t kMaxSilentHosts = 256;

/** Gathers a node's own signs until its next report. Not thread safe. */
class AckStateCollector {
 public:
  void add(const std::vector<HostAckState>& signs);
  /** @return what is new since the last report, and hosts that stay silent. */
  std::vector<HostSign> take(TimePoint now);

 private:
  std::unordered_map<uint32_t, HostAckState> pending_;
};

/** Merges the signs that a zone's nodes report. Not thread safe. */
class ZoneSilence {
 public:
  /** @param reporter tells the nodes of the zone apart. */
  void merge(TimePoint now, uint64_t reporter, const std::vector<HostSign>& signs);
  /**
   * @return the hosts that left data of several callers unacknowledged at two nodes or more, and
   * that gave no node a sign of life from when the first of it was sent until kMinSilence later
   * or more: one node that is cut off or wrong silences no host.
   */
  std::vector<SilentHost> silentHosts(TimePoint now);

 private:
  struct Report {
    TimePoint at{};
    uint32_t copies = 0;
    std::vector<uint32_t> callers;
    TimePoint since{};
  };
  struct Host {
    TimePoint answeredAt{};
    std::unordered_map<uint64_t, Report> reports;
  };

  /** @return how long ago the silence began; nothing where the host may live. */
  static std::optional<TimePoint> silentSince(const Host& host);

  std::unordered_map<uint32_t, Host> hosts_;
};

}  // namespace umberhold
