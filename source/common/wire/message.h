/**
 * @file Every message that nodes exchange, as one variant.
 *
 * Each subsystem defines its messages as plain structs in <subsystem>/messages.h; a struct lists
 * its fields in visitFields, which is all that wire/codec.h needs. To add a message: define the
 * struct, add it at the END of MessageBody (the index in the variant is its number on the wire).
 */
#pragma once

#include <cstddef>
#include <variant>

#include "common/messages/membership_messages.h"
#include "common/messages/shard_messages.h"
#include "common/messages/spread_messages.h"

namespace umberhold {

/** The messages, by subsystem; the order is part of the protocol, so new ones go to the end. */
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
