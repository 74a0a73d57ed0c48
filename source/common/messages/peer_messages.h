/**
 * @file What nodes that read the platform's store tell the nodes that don't.
 *
 * The fields are written in the order of visitFields (wire/codec.h).
 */
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "common/config/service.h"

namespace umberhold {

/** One change of a host's registration. Of one that ended, only name and version mean something. */
struct HostEvent {
  /** HostPool that the host belongs to. */
  std::string pool;
  HostSpec host;
  /** Version of the store at the change. */
  uint64_t version = 0;
  /** Version at which the registration was made. */
  uint64_t madeAt = 0;
  bool ended = false;

  bool operator==(const HostEvent&) const = default;

  template <class Visitor>
  void visitFields(Visitor& visitor) {
    visitor(pool, host, version, madeAt, ended);
  }
};

/** What a node saw of one host since its last report. */
struct HostObservation {
  /** Flow token of the host. */
  uint32_t token = 0;
  /** Requests that ended, or waited beyond all measure. */
  uint32_t requests = 0;
  /** Mean of their times, as a percentage of their services' usual time. */
  uint32_t percentOfUsual = 100;
  /** Mean of the times that the host worked on them, the network and waiting left out, as a
   * percentage of the usual one; 0: not measured. */
  uint32_t workPercent = 0;

  bool operator==(const HostObservation&) const = default;

  /** Fields at the end that nodes of an earlier release leave out. */
  static constexpr uint32_t kOptionalFields = 1;

  template <class Visitor>
  void visitFields(Visitor& visitor) {
    visitor(token, requests, percentOfUsual, workPercent);
  }
};

/** HostLivenessReport::answeredAgoMilliseconds where there was no sign of life. */
constexpr uint32_t kNeverAnswered = UINT32_MAX;

/** Whether a host acknowledged what a node's callers sent it. */
struct HostLivenessReport {
  /** Flow token of the host. */
  uint32_t token = 0;
  /** Age of its last sign of life, milliseconds. */
  uint32_t answeredAgoMilliseconds = kNeverAnswered;
  /** Copies of data that callers sent since then. */
  uint32_t copies = 0;
  /** Addresses of these callers, each once; a few of them. */
  std::vector<uint32_t> callers;
  /** How long ago the first of that data was first sent, milliseconds. */
  uint32_t silentMilliseconds = 0;

  bool operator==(const HostLivenessReport&) const = default;

  template <class Visitor>
  void visitFields(Visitor& visitor) {
    visitor(token, answeredAgoMilliseconds, copies, callers, silentMilliseconds);
  }
};

/** What a node that follows a reader saw of hosts since it last asked. */
struct HostReport {
  /** Tells the nodes of a zone apart. */
  uint64_t reporter = 0;
  /** Rises with each report of one run of the node. */
  uint64_t sequence = 0;
  std::vector<HostObservation> hosts;
  std::vector<HostLivenessReport> livenessReports;

  bool operator==(const HostReport&) const = default;

  template <class Visitor>
  void visitFields(Visitor& visitor) {
    visitor(reporter, sequence, hosts, livenessReports);
  }
};

/** A host that is silent to all nodes of a zone. */
struct SilentHost {
  uint32_t token = 0;
  /** How long it has been silent, milliseconds. */
  uint32_t silentMilliseconds = 0;

  bool operator==(const SilentHost&) const = default;

  template <class Visitor>
  void visitFields(Visitor& visitor) {
    visitor(token, silentMilliseconds);
  }
};

/** A host that the nodes of a zone together see answering late. */
struct SlowHost {
  uint32_t token = 0;
  uint32_t percentOfUsual = 100;
  /** Age of the youngest report that speaks of it. */
  uint32_t ageMilliseconds = 0;

  bool operator==(const SlowHost&) const = default;

  template <class Visitor>
  void visitFields(Visitor& visitor) {
    visitor(token, percentOfUsual, ageMilliseconds);
  }
};

/** How fast the nodes of a zone together find a host. */
struct LearnedSpeed {
  uint32_t token = 0;
  /** Work in the same time, as a percentage of the usual. */
  uint32_t percentOfUsual = 100;
  /** Requests that it rests on, each weighed by its age. */
  uint32_t samples = 0;

  bool operator==(const LearnedSpeed&) const = default;

  template <class Visitor>
  void visitFields(Visitor& visitor) {
    visitor(token, percentOfUsual, samples);
  }
};

/** PeerChanges::outageEndedAgoMilliseconds where there was no outage. */
constexpr uint32_t kNoOutage = UINT32_MAX;

/** One part of all registered hosts of a reader (platform/host_copy.h). */
struct HostCopyPart {
  std::vector<HostEvent> hosts;

  bool operator==(const HostCopyPart&) const = default;

  template <class Visitor>
  void visitFields(Visitor& visitor) {
    visitor(hosts);
  }
};

/** All registered hosts as of a version, to be fetched in parts. */
struct HostCopyOffer {
  uint64_t version = 0;
  /** 0: nothing is offered. */
  uint32_t parts = 0;

  bool operator==(const HostCopyOffer&) const = default;

  template <class Visitor>
  void visitFields(Visitor& visitor) {
    visitor(version, parts);
  }
};

/** Versions of the store between which changes of hosts are known by their outcome alone, both
 * excluded: of a host that came and went nothing is known. */
struct VersionGap {
  uint64_t after = 0;
  uint64_t before = 0;

  bool operator==(const VersionGap&) const = default;

  template <class Visitor>
  void visitFields(Visitor& visitor) {
    visitor(after, before);
  }
};

/** The answer to a node that asks for the changes after a version. */
struct PeerChanges {
  /** Whether the peer reads the store; if not, the rest means nothing yet, unless it offers a copy.
   * False beside an offer, too: a node of an earlier release would take the events for all hosts.
   */
  bool reading = false;
  /** How long ago it was sure that it had missed nothing, milliseconds. */
  uint32_t confirmedAgoMilliseconds = 0;
  /** How long ago the store could be read again after an outage, milliseconds. */
  uint32_t outageEndedAgoMilliseconds = kNoOutage;
  /** The configuration that it holds; its text is asked for apart. */
  uint64_t configurationVersion = 0;
  /** Version of the store up to which its hosts are known; where the next question begins. */
  uint64_t hostsVersion = 0;
  /** The events are all hosts that are registered, because the changes reach not far enough back:
   * from nodes of an earlier release, which offer no copy. */
  bool whole = false;
  std::vector<HostEvent> events;
  /** Hosts that the zone's nodes together see answering late; the others are as usual. */
  std::vector<SlowHost> slowHosts;
  /** Version of the store up to which evacuations are known. */
  uint64_t evacuationsVersion = 0;
  /** All zones that are evacuated as of that version. */
  std::vector<std::string> evacuatedZones;
  /** Hosts that are silent to all nodes of the zone. */
  std::vector<SilentHost> silentHosts;
  /** Hosts whose speed is known; of many, a part of them. */
  std::vector<LearnedSpeed> speeds;
  /** Where the changes reach not far enough back: all hosts, which the asker needs first; the
   * events are those after its version. */
  HostCopyOffer copy;
  /** Of a peer that does not read yet: rises with each piece that it gets of what it needs. */
  uint64_t progress = 0;
  /** Those of the events. */
  std::vector<VersionGap> gaps;

  bool operator==(const PeerChanges&) const = default;

  bool offersCopy() const { return copy.parts > 0; }

  /** Fields at the end that nodes of an earlier release leave out. */
  static constexpr uint32_t kOptionalFields = 4;

  template <class Visitor>
  void visitFields(Visitor& visitor) {
    visitor(reading, confirmedAgoMilliseconds, outageEndedAgoMilliseconds, configurationVersion,
            hostsVersion, whole, events, slowHosts, evacuationsVersion, evacuatedZones, silentHosts,
            speeds, copy, progress, gaps);
  }
};

}  // namespace umberhold
