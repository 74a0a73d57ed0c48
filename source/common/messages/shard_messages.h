/** @file Messages of shard ownership: takeover, replication, shared load, connection permits. */
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

/** One host of a base table with its weight byte. */
struct BaseHost {
  HostId host;
  uint8_t weight = 0;

  bool operator==(const BaseHost&) const = default;

  template <class Visitor>
  void visitFields(Visitor& visitor) {
    visitor(host, weight);
  }
};

/** A flow that is not where the base table would place it; `host` indexes the host list beside it.
 */
struct FlowException {
  FlowHash flow;
  uint16_t host = 0;

  bool operator==(const FlowException&) const = default;

  template <class Visitor>
  void visitFields(Visitor& visitor) {
    visitor(flow, host);
  }
};

/** The would-be owner asks for the state of a shard. */
struct TakeoverRequest {
  ShardId shard;
  /** Distinguishes attempts of one node. */
  uint32_t attempt = 0;
  /** Highest epoch of the shard that the sender knows. */
  uint32_t epoch = 0;

  template <class Visitor>
  void visitFields(Visitor& visitor) {
    visitor(shard, attempt, epoch);
  }
};

/** What the receiver of a TakeoverRequest holds; of one epoch the higher value is the better
 * source. */
enum class HeldRole : uint8_t {
  kNothing = 0,
  /** A synchronised copy of an owner's state. */
  kReplica = 1,
  /** The frozen state of a former owner. */
  kReleased = 2,
  /** The state of the owner, which is released by this very reply. */
  kOwner = 3,
  /** Still owner: its view does not name the requester (yet); ask again. */
  kStillOwner = 4,
};

/** Says what the sender holds; the state itself is fetched with SnapshotAck{next = 0}. */
struct TakeoverReply {
  ShardId shard;
  uint32_t attempt = 0;
  HeldRole role = HeldRole::kNothing;
  uint32_t epoch = 0;
  /** Where `role` is kReplica: the first change that it lacks; breaks ties within an epoch. */
  uint32_t sequence = 0;
  /** kReleased: the node that it was released to; kReplica: the owner that it is a copy of. */
  NodeId successor;
  /** The sender is on the way to own the shard itself. */
  bool acquiring = false;
  /** The sender's view holds a member that died: state may have been lost with it. */
  bool memberDied = false;
  /** The sender knows of a silent zone, a death or a heal just now: an owner may live there. */
  bool mayHaveRivals = false;

  template <class Visitor>
  void visitFields(Visitor& visitor) {
    visitor(shard, attempt, role, epoch, sequence, successor, acquiring, memberDied, mayHaveRivals);
  }
};

/** The node named by the sender's view should own the shard, but the sender does: it asks to be
 * relieved. */
struct OwnershipNotice {
  ShardId shard;
  uint32_t epoch = 0;
  /** The sender lost the shard to the receiver, which did not take over the flows placed here. */
  bool holdsFlows = false;

  template <class Visitor>
  void visitFields(Visitor& visitor) {
    visitor(shard, epoch, holdsFlows);
  }
};

/** What a snapshot is for. */
enum class SnapshotPurpose : uint8_t { kTakeover = 0, kReplica = 1 };

/**
 * A shard's flows on one host and its connection permits for it (placement/connection_limit.h). The
 * totals are indexed by shard and only ever grow; they are empty where every total is 0.
 */
struct HostPermits {
  HostId host;
  uint32_t flows = 0;
  /** Permits that this shard ever lent to each other shard. */
  std::vector<uint64_t> lent;
  /** Permits that each other shard ever lent to this one, as far as this one heard. */
  std::vector<uint64_t> borrowed;

  template <class Visitor>
  void visitFields(Visitor& visitor) {
    visitor(host, flows, lent, borrowed);
  }
};

/** A part of a shard's state. */
struct SnapshotChunk {
  ShardId shard;
  SnapshotPurpose purpose = SnapshotPurpose::kTakeover;
  /** Takeover: the requester's attempt. Replica: the owner's number of the snapshot. */
  uint32_t attempt = 0;
  uint32_t epoch = 0;
  uint32_t index = 0;
  uint32_t chunks = 0;
  /** Replica: sequence of the first ReplicaAppend change that is not in the snapshot. */
  uint32_t sequence = 0;
  bool knowsAllFlows = false;
  /** The base table, spread over the chunks. */
  std::vector<BaseHost> base;
  /** Hosts that the exceptions of this chunk index. */
  std::vector<HostId> hosts;
  std::vector<FlowException> exceptions;
  /** Flows refused a short while ago. */
  std::vector<FlowHash> refused;
  /** Flows and permits by host, spread over the chunks; sent by owners only. */
  std::vector<HostPermits> permits;
  /** `oldFlows` of all chunks name every flow of the shard. */
  bool listsOldFlows = false;
  /** Fingerprints (known_flows.h), spread over the chunks. */
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

/** A part of the owner's list of its flows (known_flows.h). Numbers grow by one a fingerprint. */
struct KnownFlowBatch {
  /** Number of the list's first fingerprint, higher with every new list; 0: no list. */
  uint32_t start = 0;
  /** Number of the first fingerprint here. */
  uint32_t first = 0;
  /** The list has no fingerprint of this number yet: the replica lacks none if it has those below.
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
 * all removed, all refused. The changes of one flow keep their order so; applied twice they give
 * the same.
 */
struct ReplicaAppend {
  ShardId shard;
  uint32_t epoch = 0;
  /** Number of the first change in this message; they count from 1 within an epoch. */
  uint32_t sequence = 0;
  /** Hosts that `added` indexes. */
  std::vector<HostId> hosts;
  std::vector<FlowException> added;
  std::vector<FlowHash> removed;
  std::vector<FlowHash> refused;
  /** Apart from the log: its order does not matter to the changes. */
  KnownFlowBatch known;

  template <class Visitor>
  void visitFields(Visitor& visitor) {
    visitor(shard, epoch, sequence, hosts, added, removed, refused, known);
  }
};

/** The replica's answer: what it holds, or that it follows a newer epoch. */
struct ReplicaAck {
  ShardId shard;
  uint32_t epoch = 0;
  uint32_t nextSequence = 0;
  /** The replica has no base for this epoch and needs a snapshot. */
  bool needsSnapshot = false;
  /** Node that owns a newer epoch; only where epoch is above the sender's. */
  NodeId newerOwner;
  /** First number of the list of known flows that the replica lacks. */
  uint32_t nextKnown = 0;

  template <class Visitor>
  void visitFields(Visitor& visitor) {
    visitor(shard, epoch, nextSequence, needsSnapshot, newerOwner, nextKnown);
  }
};

/** One owner's flows on one host, and what its probe last said. */
struct HostLoad {
  HostId host;
  uint32_t flows = 0;
  /** Host-reported load in percent; 255 for not probed by the sender. */
  uint8_t reportedLoad = 255;
  bool healthy = true;

  template <class Visitor>
  void visitFields(Visitor& visitor) {
    visitor(host, flows, reportedLoad, healthy);
  }
};

/** An owner tells the other owners of a service what it has placed. */
struct LoadShare {
  ShardId shard;
  uint32_t epoch = 0;
  std::vector<HostLoad> hosts;

  template <class Visitor>
  void visitFields(Visitor& visitor) {
    visitor(shard, epoch, hosts);
  }
};

/** Asks another owner of the service for connection permits of a host. */
struct PermitRequest {
  /** The shard that asks. */
  ShardId shard;
  HostId host;
  uint32_t requestNumber = 0;
  /** 0 only asks for the totals (after a takeover without the previous owner's state). */
  uint32_t wanted = 0;
  /** Index of the shard that is asked. */
  uint16_t lender = 0;
  /** Total that the asking shard ever received from the lender for this host. */
  uint64_t totalBorrowed = 0;

  template <class Visitor>
  void visitFields(Visitor& visitor) {
    visitor(shard, host, requestNumber, wanted, lender, totalBorrowed);
  }
};

/** Lends permits; the total that `from` ever lent to `to` for this host, so that repeats are
 * harmless. */
struct PermitGrant {
  ShardId from;
  ShardId to;
  HostId host;
  uint32_t requestNumber = 0;
  uint64_t totalLent = 0;
  /** Total that `from` ever received from `to`. */
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
