/**
 * @file Determines which nodes may apply for a reader lease.
 *
 * Thousands of nodes must not poll the store. For each slot every region has a few candidates,
 * chosen by rendezvous hashing over its members, in different zones if the region has several.
 */
#pragma once

#include <array>
#include <cstdint>
#include <optional>

#include "common/membership/membership_view.h"
#include "common/platform/reader_lease.h"

namespace umberhold {

/** Candidates per region and slot. */
constexpr uint8_t kCandidatesPerRegion = 3;

/** This node's rank among the region's candidates, by slot; nothing for slots for which it is not a
 * candidate. */
using ReaderRanks = std::array<std::optional<uint8_t>, kReaderSlots>;

/**
 * Ranks the members that are alive or suspect; if there are none (the whole region is starting),
 * ranks the joining members.
 */
ReaderRanks readerRanks(const MembershipView& view);

}  // namespace umberhold
