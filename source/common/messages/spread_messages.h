/** @file Messages of configuration distribution. */
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "common/base/strong_id.h"
#include "common/config/record.h"

namespace umberhold {

/** States that a node whose records have exactly the digest `total` holds every change up to
 * `version`. */
struct CompletenessClaim {
  /** Combined digest of all records of the sender. */
  uint64_t total = 0;
  /** Store version up to which these records are complete. */
  uint64_t version = 0;

  template <class Visitor>
  void visitFields(Visitor& visitor) {
    visitor(total, version);
  }
};

/** New or requested records. */
struct RecordPush {
  std::vector<ConfigRecord> records;
  /** Whether the receiver forwards the records that are new to it. */
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

/** Digests of the sender's records; the receiver compares one level deeper if its own differ. */
struct DigestRequest {
  CompletenessClaim claim;
  /** Requests a DigestReply even if the totals are equal. */
  bool wantsReply = false;
  /** Group of buckets that `digests` describes, or kAllGroups for one digest per group. */
  uint32_t group = kAllGroups;
  /** Empty in the first round, which compares only the totals. */
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

/** Record versions of the sender; the receiver pushes its newer records and requests those that it
 * lacks. */
struct DigestReply {
  CompletenessClaim claim;
  /** Whether the sender itself has caught up. */
  bool caughtUp = false;
  /** Buckets whose complete content is in `versions`; empty if the message only announces records.
   */
  std::vector<uint32_t> buckets;
  std::vector<RecordVersion> versions;

  template <class Visitor>
  void visitFields(Visitor& visitor) {
    visitor(claim, caughtUp, buckets, versions);
  }
};

/** Requests records by key. */
struct RecordRequest {
  std::vector<RecordKey> keys;

  template <class Visitor>
  void visitFields(Visitor& visitor) {
    visitor(keys);
  }
};

/** Number of nodes of a region (or of the sender's subtree) that hold a configuration version. */
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

/** Requests a CoverageSummary from the aggregating node of the region. */
struct CoverageQuery {
  uint32_t sequence = 0;

  template <class Visitor>
  void visitFields(Visitor& visitor) {
    visitor(sequence);
  }
};

/** Answer to a CoverageQuery: one report for each region that has reported. */
struct CoverageSummary {
  std::vector<CoverageReport> regions;

  template <class Visitor>
  void visitFields(Visitor& visitor) {
    visitor(regions);
  }
};

}  // namespace umberhold
