/** @file Messages of shard ownership: takeover, replication, load reports, connection permits. */
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "common/base/strong_id.h"

namespace umberhold {

/** One shard of a service's flow space. */
struct ShardId {
  ServiceId service;
  uint16_t index = 0;

  // clang-tidy 14 takes the 0 of the rewritten comparison for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const ShardId&) const = default;

  template <class Visitor>
  void visitFields(Visitor& visitor) {
    visitor(service, index);
  }
};

/** A host of a base table with its 8-bit weight. */
struct BaseHost {
  HostId host;
  uint8_t weight = 0;

  bool operator==(const BaseHost&) const = default;

  template <class Visitor>
  void visitFields(Visitor& visitor) {
    visitor(host, weight);
  }
};

/** A flow that is not on the host that the base table assigns to it; `host` is an index into the
 * host list of the same message. */
struct FlowException {
  FlowHash flow;
  uint16_t host = 0;

  bool operator==(const FlowException&) const = default;

  template <class Visitor>
  void visitFields(Visitor& visitor) {
    visitor(flow, host);
  }
};

/** Request of a prospective owner for the state of a shard. */
struct TakeoverRequest {
  ShardId shard;
  /** Distinguishes attempts of one node. */
  uint32_t attempt = 0;
  /** Highest epoch of the shard known to the sender. */
  uint32_t epoch = 0;

  template <class Visitor>
  void visitFields(Visitor& visitor) {
    visitor(shard, attempt, epoch);
  }
};

/** State that the receiver of a TakeoverRequest holds. Within one epoch, the higher value is the
 * better source. */
enum class HeldRole : uint8_t {
  kNothing = 0,
  /** A synchronized replica of an owner's state. */
  kReplica = 1,
  /** The frozen state of a former owner. */
  kReleased = 2,
  /** The state of the owner, which releases the shard with this reply. */
  kOwner = 3,
  /** The sender is still the owner, because its membership view does not select the requester
   * (yet); the requester must retry. */
  kStillOwner = 4,
};

/** Describes the state that the sender holds; the state itself is fetched with SnapshotAck{next =
 * 0}. */
struct TakeoverReply {
  ShardId shard;
  uint32_t attempt = 0;
  HeldRole role = HeldRole::kNothing;
  uint32_t epoch = 0;
  /** If `role` is kReplica: number of the first change that the replica lacks; breaks ties within
   * an epoch. */
  uint32_t sequence = 0;
  /** kReleased: the node that the shard was released to; kReplica: the owner that it replicates. */
  NodeId successor;
  /** The sender is taking over the shard itself. */
  bool acquiring = false;
  /** The sender's view contains a dead member: state may have been lost with it. */
  bool memberDied = false;
  /** The sender recently detected an unreachable zone, a member's death or a healed partition:
   * another owner may exist there. */
  bool mayHaveRivals = false;

  template <class Visitor>
  void visitFields(Visitor& visitor) {
    visitor(shard, attempt, role, epoch, sequence, successor, acquiring, memberDied, mayHaveRivals);
  }
};

/** Sent by the current owner of a shard to the node that should own it according to the sender's
 * view, so that the receiver takes over. */
struct OwnershipNotice {
  ShardId shard;
  uint32_t epoch = 0;
  /** The sender lost the shard to the receiver, which did not take over the flows that the sender
   * placed. */
  bool holdsFlows = false;

  template <class Visitor>
  void visitFields(Visitor& visitor) {
    visitor(shard, epoch, holdsFlows);
  }
};

/** Purpose of a snapshot. */
enum class SnapshotPurpose : uint8_t { kTakeover = 0, kReplica = 1 };

/**
 * A shard's flows on one host and its connection permits for it (placement/connection_limit.h). The
 * totals are indexed by shard and never decrease; a list is empty if all its totals are 0.
 */
struct HostPermits {
  HostId host;
  uint32_t flows = 0;
  /** Total permits that this shard has lent to each other shard. */
  std::vector<uint64_t> lent;
  /** Total permits that this shard has received from each other shard. */
  std::vector<uint64_t> borrowed;

  template <class Visitor>
  void visitFields(Visitor& visitor) {
    visitor(host, flows, lent, borrowed);
  }
};

/** One part of a snapshot of a shard's state. */
struct SnapshotChunk {
  ShardId shard;
  SnapshotPurpose purpose = SnapshotPurpose::kTakeover;
  /** Takeover: the requester's attempt. Replica: the owner's snapshot number. */
  uint32_t attempt = 0;
  uint32_t epoch = 0;
  uint32_t index = 0;
  uint32_t chunks = 0;
  /** Replica: sequence number of the first ReplicaAppend change that the snapshot does not include.
   */
  uint32_t sequence = 0;
  bool knowsAllFlows = false;
  /** The base table, divided among the chunks. */
  std::vector<BaseHost> base;
  /** Host list indexed by the exceptions of this chunk. */
  std::vector<HostId> hosts;
  std::vector<FlowException> exceptions;
  /** Recently refused flows. */
  std::vector<FlowHash> refused;
  /** Flows and permits by host, divided among the chunks; sent by owners only. */
  std::vector<HostPermits> permits;
  /** Whether the `oldFlows` of all chunks together list every flow of the shard. */
  bool listsOldFlows = false;
  /** Fingerprints (known_flows.h), divided among the chunks. */
  std::vector<uint32_t> oldFlows;

  template <class Visitor>
  void visitFields(Visitor& visitor) {
    visitor(shard, purpose, attempt, epoch, index, chunks, sequence, knowsAllFlows, base, hosts,
            exceptions, refused, permits, listsOldFlows, oldFlows);
  }
};

/** Acknowledges chunks: every index below `next` has arrived. */
struct SnapshotAck {
  ShardId shard;
  SnapshotPurpose purpose = SnapshotPurpose::kTakeover;
  uint32_t attempt = 0;
  uint32_t next = 0;

  template <class Visitor>
  void visitFields(Visitor& visitor) {
    visitor(shard, purpose, attempt, next);
  }
};

/** A part of the owner's list of its flows (known_flows.h). Fingerprints are numbered
 * consecutively. */
struct KnownFlowBatch {
  /** Number of the first fingerprint of the list; increases with every new list; 0: no list. */
  uint32_t start = 0;
  /** Number of the first fingerprint in this message. */
  uint32_t first = 0;
  /** Number after the last fingerprint of the list: a replica that has all lower ones is complete.
   */
  uint32_t end = 0;
  std::vector<uint32_t> fingerprints;

  template <class Visitor>
  void visitFields(Visitor& visitor) {
    visitor(start, first, end, fingerprints);
  }
};

/**
 * Consecutive changes of the owner's log for its replica, to be applied in this order: all added,
 * all removed, all refused. This preserves the order of the changes of each flow; applying them
 * twice is harmless (idempotent).
 */
struct ReplicaAppend {
  ShardId shard;
  uint32_t epoch = 0;
  /** Number of the first change in this message; changes are numbered from 1 within an epoch. */
  uint32_t sequence = 0;
  /** Host list indexed by `added`. */
  std::vector<HostId> hosts;
  std::vector<FlowException> added;
  std::vector<FlowHash> removed;
  std::vector<FlowHash> refused;
  /** Independent of the log: its order relative to the changes does not matter. */
  KnownFlowBatch known;

  template <class Visitor>
  void visitFields(Visitor& visitor) {
    visitor(shard, epoch, sequence, hosts, added, removed, refused, known);
  }
};

/** Answer of a replica: how far it has applied the log, or that it follows a newer epoch. */
struct ReplicaAck {
  ShardId shard;
  uint32_t epoch = 0;
  uint32_t nextSequence = 0;
  /** The replica has no base for this epoch and needs a snapshot. */
  bool needsSnapshot = false;
  /** Owner of a newer epoch; only set if that epoch is above the sender's. */
  NodeId newerOwner;
  /** Number of the first fingerprint in the list of known flows that the replica lacks. */
  uint32_t nextKnown = 0;

  template <class Visitor>
  void visitFields(Visitor& visitor) {
    visitor(shard, epoch, nextSequence, needsSnapshot, newerOwner, nextKnown);
  }
};

/** One owner's flows on one host, and the result of its last probe of the host. */
struct HostLoad {
  HostId host;
  uint32_t flows = 0;
  /** Load reported by the host, percent; 255: the sender has no load report of the host, because it
   * does not probe it or the host reports none. */
  uint8_t reportedLoad = 255;
  bool healthy = true;

  template <class Visitor>
  void visitFields(Visitor& visitor) {
    visitor(host, flows, reportedLoad, healthy);
  }
};

/** Load report of an owner to the other owners of a service. */
struct LoadShare {
  ShardId shard;
  uint32_t epoch = 0;
  std::vector<HostLoad> hosts;

  template <class Visitor>
  void visitFields(Visitor& visitor) {
    visitor(shard, epoch, hosts);
  }
};

/** Requests connection permits of a host from another owner of the service. */
struct PermitRequest {
  /** The requesting shard. */
  ShardId shard;
  HostId host;
  uint32_t requestNumber = 0;
  /** 0 requests only the totals (after a takeover without the previous owner's state). */
  uint32_t wanted = 0;
  /** Index of the lending shard. */
  uint16_t lender = 0;
  /** Total that the requesting shard has received from the lender for this host. */
  uint64_t totalBorrowed = 0;

  template <class Visitor>
  void visitFields(Visitor& visitor) {
    visitor(shard, host, requestNumber, wanted, lender, totalBorrowed);
  }
};

/** Grants permits. Carries the total that `from` has lent to `to` for this host, so that duplicates
 * are harmless. */
struct PermitGrant {
  ShardId from;
  ShardId to;
  HostId host;
  uint32_t requestNumber = 0;
  uint64_t totalLent = 0;
  /** Total that `from` has received from `to`. */
  uint64_t totalBorrowed = 0;

  template <class Visitor>
  void visitFields(Visitor& visitor) {
    visitor(from, to, host, requestNumber, totalLent, totalBorrowed);
  }
};

}  // namespace umberhold

template <>
struct std::hash<umberhold::ShardId> {
  size_t operator()(const umberhold::ShardId& shard) const noexcept {
    return std::hash<uint64_t>{}(shard.service.value * 31 + shard.index);
  }
};
