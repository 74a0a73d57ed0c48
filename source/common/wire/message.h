/**
 * @file The messages between nodes, as one variant.
 *
 * The messages of each subsystem are plain structs in messages/<subsystem>_messages.h; a struct
 * lists its fields in visitFields, which is all that wire/codec.h needs. To add a message, define
 * the struct and append it to the END of MessageBody (the index in the variant is its number on the
 * wire).
 */
#pragma once

#include <cstddef>
#include <variant>

#include "common/messages/membership_messages.h"
#include "common/messages/shard_messages.h"
#include "common/messages/spread_messages.h"

namespace umberhold {

/** The message types. Their order is part of the protocol, so new ones must be appended. */
using MessageBody = std::variant<
    // membership
    Ping, PingAck, PingRequest, JoinRequest, JoinReply,
    // spread
    RecordPush, DigestRequest, DigestReply, RecordRequest, CoverageReport,
    // shard
    TakeoverRequest, TakeoverReply, SnapshotChunk, SnapshotAck, ReplicaAppend, ReplicaAck,
    LoadShare, PermitRequest, PermitGrant,
    // membership
    MemberGossip, PingNack, MemberDigest, MemberDigestReply, MemberQuery,
    // spread
    RecordFragment, CoverageQuery, CoverageSummary,
    // shard
    OwnershipNotice>;

constexpr size_t kMessageTypes = std::variant_size_v<MessageBody>;

/** One message of any kind. */
struct Message {
  MessageBody body;
};

}  // namespace umberhold
