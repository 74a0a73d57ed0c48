/**
 * @file Messages between the nodes that read the platform's store (readers) and the nodes that
 * follow them.
 *
 * The fields are written in the order of visitFields (wire/codec.h).
 */
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "common/config/service.h"

namespace umberhold {

/** One change of a host's registration. If the registration ended, only name and version are valid.
 */
struct HostEvent {
  /** HostPool that the host belongs to. */
  std::string pool;
  HostSpec host;
  /** Store version of the change. */
  uint64_t version = 0;
  /** Store version at which the registration was created. */
  uint64_t madeAt = 0;
  bool ended = false;

  bool operator==(const HostEvent&) const = default;

  template <class Visitor>
  void visitFields(Visitor& visitor) {
    visitor(pool, host, version, madeAt, ended);
  }
};

/** A node's measurements of one host since its previous report. */
struct HostObservation {
  /** Flow token of the host. */
  uint32_t token = 0;
  /** Number of requests that ended, or that are overdue by a wide margin. */
  uint32_t requests = 0;
  /** Mean response time, as a percentage of the usual response time of the services. */
  uint32_t percentOfUsual = 100;
  /** Mean processing time on the host, without network and queueing delays, as a percentage of the
   * usual one; 0: not measured. */
  uint32_t workPercent = 0;

  bool operator==(const HostObservation&) const = default;

  /** Number of trailing fields that nodes of an earlier release do not send. */
  static constexpr uint32_t kOptionalFields = 1;

  template <class Visitor>
  void visitFields(Visitor& visitor) {
    visitor(token, requests, percentOfUsual, workPercent);
  }
};

/** Value of HostLivenessReport::answeredAgoMilliseconds if the host acknowledged nothing so far. */
constexpr uint32_t kNeverAnswered = UINT32_MAX;

/** Whether a host acknowledged the data that the callers of a node sent to it. */
struct HostLivenessReport {
  /** Nodes of earlier versions do not send copyAgoMilliseconds. */
  static constexpr uint32_t kOptionalFields = 1;

  /** Flow token of the host. */
  uint32_t token = 0;
  /** Time since its last acknowledgement, milliseconds. */
  uint32_t answeredAgoMilliseconds = kNeverAnswered;
  /** Retransmissions of data by callers since then. */
  uint32_t copies = 0;
  /** Distinct addresses of some of these callers. */
  std::vector<uint32_t> callers;
  /** Time since the first transmission of the earliest unacknowledged data, milliseconds. */
  uint32_t silentMilliseconds = 0;
  /** Time since the last of these retransmissions, milliseconds. */
  uint32_t copyAgoMilliseconds = 0;

  bool operator==(const HostLivenessReport&) const = default;

  template <class Visitor>
  void visitFields(Visitor& visitor) {
    visitor(token, answeredAgoMilliseconds, copies, callers, silentMilliseconds,
            copyAgoMilliseconds);
  }
};

/** Measurements of hosts that a node sends to the reader that it follows, since its previous
 * request. */
struct HostReport {
  /** Identifies the reporting node within its zone. */
  uint64_t reporter = 0;
  /** Increases with each report of one run of the node. */
  uint64_t sequence = 0;
  std::vector<HostObservation> hosts;
  std::vector<HostLivenessReport> livenessReports;

  bool operator==(const HostReport&) const = default;

  template <class Visitor>
  void visitFields(Visitor& visitor) {
    visitor(reporter, sequence, hosts, livenessReports);
  }
};

/** A host that is silent (acknowledges no data) to all nodes of a zone. */
struct SilentHost {
  /** Nodes of earlier versions do not send copyAgoMilliseconds. */
  static constexpr uint32_t kOptionalFields = 1;

  uint32_t token = 0;
  /** Duration of the silence, milliseconds. */
  uint32_t silentMilliseconds = 0;
  /** Time since the last retransmission that shows it, milliseconds. */
  uint32_t copyAgoMilliseconds = 0;

  bool operator==(const SilentHost&) const = default;

  template <class Visitor>
  void visitFields(Visitor& visitor) {
    visitor(token, silentMilliseconds, copyAgoMilliseconds);
  }
};

/** A host that answers slowly according to the combined reports of a zone. */
struct SlowHost {
  uint32_t token = 0;
  uint32_t percentOfUsual = 100;
  /** Age of the latest report on the host. */
  uint32_t ageMilliseconds = 0;

  bool operator==(const SlowHost&) const = default;

  template <class Visitor>
  void visitFields(Visitor& visitor) {
    visitor(token, percentOfUsual, ageMilliseconds);
  }
};

/** Speed of a host, estimated from the combined reports of a zone. */
struct LearnedSpeed {
  uint32_t token = 0;
  /** Work done in the same time, as a percentage of the usual. */
  uint32_t percentOfUsual = 100;
  /** Number of requests behind the estimate, each weighted by its age. */
  uint32_t samples = 0;

  bool operator==(const LearnedSpeed&) const = default;

  template <class Visitor>
  void visitFields(Visitor& visitor) {
    visitor(token, percentOfUsual, samples);
  }
};

/** Value of PeerChanges::outageEndedAgoMilliseconds if there was no outage. */
constexpr uint32_t kNoOutage = UINT32_MAX;

/** One part of a reader's snapshot of all registered hosts (platform/host_copy.h). */
struct HostCopyPart {
  std::vector<HostEvent> hosts;

  bool operator==(const HostCopyPart&) const = default;

  template <class Visitor>
  void visitFields(Visitor& visitor) {
    visitor(hosts);
  }
};

/** Offer of a snapshot of all registered hosts at a version, to be fetched in parts. */
struct HostCopyOffer {
  uint64_t version = 0;
  /** 0: no snapshot is offered. */
  uint32_t parts = 0;

  bool operator==(const HostCopyOffer&) const = default;

  template <class Visitor>
  void visitFields(Visitor& visitor) {
    visitor(version, parts);
  }
};

/** A range of store versions, both ends excluded, for which only the resulting state of hosts is
 * known: hosts that were registered and removed within the range are missing. */
struct VersionGap {
  uint64_t after = 0;
  uint64_t before = 0;

  bool operator==(const VersionGap&) const = default;

  template <class Visitor>
  void visitFields(Visitor& visitor) {
    visitor(after, before);
  }
};

/** Answer of a peer to a request for the changes after a version. */
struct PeerChanges {
  /** Whether the peer reads the store; if not, the other fields are not valid yet, unless it offers
   * a snapshot. Also false with an offer, because a node of an earlier release would take the
   * events for the complete list of hosts. */
  bool reading = false;
  /** Time since the peer last confirmed that it is up to date with the store, milliseconds. */
  uint32_t confirmedAgoMilliseconds = 0;
  /** Time since the end of the last outage of the store, milliseconds. */
  uint32_t outageEndedAgoMilliseconds = kNoOutage;
  /** Version of the peer's configuration; its text is fetched by a separate request. */
  uint64_t configurationVersion = 0;
  /** Store version up to which the peer's hosts are complete; the next request starts from it. */
  uint64_t hostsVersion = 0;
  /** Whether the events are the complete list of registered hosts, because the change history does
   * not reach back far enough. Set only by nodes of an earlier release, which offer no snapshot. */
  bool whole = false;
  std::vector<HostEvent> events;
  /** Hosts that answer slowly according to the combined reports of the zone; all others are normal.
   */
  std::vector<SlowHost> slowHosts;
  /** Store version up to which evacuations are complete. */
  uint64_t evacuationsVersion = 0;
  /** All zones that are evacuated at that version. */
  std::vector<std::string> evacuatedZones;
  /** Hosts that are silent to all nodes of the zone. */
  std::vector<SilentHost> silentHosts;
  /** Hosts whose speed is known; only some of them if there are many. */
  std::vector<LearnedSpeed> speeds;
  /** If the change history does not reach back far enough: a snapshot of all hosts that the
   * requester must fetch first. The events are those after the snapshot's version. */
  HostCopyOffer copy;
  /** Progress of a peer that does not read yet: increases with each part of its initial state that
   * it receives. */
  uint64_t progress = 0;
  /** Gaps in the history of the events. */
  std::vector<VersionGap> gaps;

  bool operator==(const PeerChanges&) const = default;

  bool offersCopy() const { return copy.parts > 0; }

  /** Number of trailing fields that nodes of an earlier release do not send. */
  static constexpr uint32_t kOptionalFields = 4;

  template <class Visitor>
  void visitFields(Visitor& visitor) {
    visitor(reading, confirmedAgoMilliseconds, outageEndedAgoMilliseconds, configurationVersion,
            hostsVersion, whole, events, slowHosts, evacuationsVersion, evacuatedZones, silentHosts,
            speeds, copy, progress, gaps);
  }
};

}  // namespace umberhold
