/**
 * @file Valid values of each enum in decoded input.
 *
 * Every enum that is a field of a message or of a configuration object has an overload of isValid
 * here; the codec does not compile without it.
 */
#pragma once

#include "common/config/record.h"
#include "common/config/service.h"
#include "common/messages/member.h"
#include "common/messages/shard_messages.h"

namespace umberhold {

constexpr bool isValid(ObjectKind kind) {
  return kind >= ObjectKind::kService && kind <= ObjectKind::kRegionContacts;
}
constexpr bool isValid(TransportProtocol protocol) {
  return protocol == TransportProtocol::kTcp || protocol == TransportProtocol::kUdp;
}
constexpr bool isValid(HostState state) {
  return state <= HostState::kDraining;
}
constexpr bool isValid(MemberState state) {
  return state <= MemberState::kDead;
}
constexpr bool isValid(HeldRole role) {
  return role <= HeldRole::kStillOwner;
}
constexpr bool isValid(SnapshotPurpose purpose) {
  return purpose <= SnapshotPurpose::kReplica;
}

}  // namespace umberhold
