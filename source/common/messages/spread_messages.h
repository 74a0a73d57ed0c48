/** @file Messages of the configuration spread. */
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "common/base/strong_id.h"
#include "common/config/record.h"

namespace umberhold {

/** States that whoever holds exactly the records of `total` holds every change up to `version`. */
struct CompletenessClaim {
  /** Combined digest of all records that the sender holds. */
  uint64_t total = 0;
  /** Store version up to which nothing is missing in them. */
  uint64_t version = 0;

  template <class Visitor>
  void visitFields(Visitor& visitor) {
    visitor(total, version);
  }
};

/** New or asked-for records. */
struct RecordPush {
  std::vector<ConfigRecord> records;
  /** The receiver passes on what is new to it. */
  bool rumor = false;
  CompletenessClaim claim;

  template <class Visitor>
  void visitFields(Visitor& visitor) {
    visitor(records, rumor, claim);
  }
};

/** A part of a record that is too large for one datagram. */
struct RecordFragment {
  RecordKey key;
  uint64_t version = 0;
  uint16_t index = 0;
  uint16_t count = 0;
  std::string bytes;

  template <class Visitor>
  void visitFields(Visitor& visitor) {
    visitor(key, version, index, count, bytes);
  }
};

/** Value of DigestRequest::group for digests of all groups. */
constexpr uint32_t kAllGroups = 0x7FU;

/** Digests of the sender's records; the receiver goes one level deeper where its own differ. */
struct DigestRequest {
  CompletenessClaim claim;
  /** Ask for a DigestReply also where the totals are equal. */
  bool wantsReply = false;
  /** Group of buckets that `digests` describes, or kAllGroups for one digest per group. */
  uint32_t group = kAllGroups;
  /** Empty in the first, cheap round. */
  std::vector<uint64_t> digests;

  template <class Visitor>
  void visitFields(Visitor& visitor) {
    visitor(claim, wantsReply, group, digests);
  }
};

/** Key and version of records in one bucket. */
struct RecordVersion {
  RecordKey key;
  uint64_t version = 0;

  template <class Visitor>
  void visitFields(Visitor& visitor) {
    visitor(key, version);
  }
};

/** What the sender holds; the receiver pushes what it holds newer and asks for what it lacks. */
struct DigestReply {
  CompletenessClaim claim;
  /** Whether the sender itself has caught up. */
  bool caughtUp = false;
  /** Buckets whose whole content is in `versions`; none where the message only announces records.
   */
  std::vector<uint32_t> buckets;
  std::vector<RecordVersion> versions;

  template <class Visitor>
  void visitFields(Visitor& visitor) {
    visitor(claim, caughtUp, buckets, versions);
  }
};

/** Asks for records by key. */
struct RecordRequest {
  std::vector<RecordKey> keys;

  template <class Visitor>
  void visitFields(Visitor& visitor) {
    visitor(keys);
  }
};

/** How many nodes of a region (or of the sender's part of it) hold which configuration. */
struct CoverageReport {
  RegionId region;
  /** Every change up to this version is effective on `nodesAtVersion` of `nodes`. */
  uint64_t version = 0;
  uint32_t nodes = 0;
  uint32_t nodesAtVersion = 0;
  NodeId slowest;
  uint64_t slowestVersion = 0;

  bool operator==(const CoverageReport&) const = default;

  template <class Visitor>
  void visitFields(Visitor& visitor) {
    visitor(region, version, nodes, nodesAtVersion, slowest, slowestVersion);
  }
};

/** Asks the aggregating node of the region for a CoverageSummary. */
struct CoverageQuery {
  uint32_t sequence = 0;

  template <class Visitor>
  void visitFields(Visitor& visitor) {
    visitor(sequence);
  }
};

/** Answers a CoverageQuery: one report per region that was heard of. */
struct CoverageSummary {
  std::vector<CoverageReport> regions;

  template <class Visitor>
  void visitFields(Visitor& visitor) {
    visitor(regions);
  }
};

}  // namespace umberhold
