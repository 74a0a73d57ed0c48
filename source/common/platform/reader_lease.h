/** @file The lease objects that limit how many nodes of the whole system read the store. */
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "common/base/strong_id.h"
#include "common/base/time.h"

namespace umberhold {

/** Maximum number of readers in the whole system; each slot is one lease object. */
constexpr uint8_t kReaderSlots = 3;

/** One slot's lease (Gray, Cheriton 1989), as stored. */
struct ReaderLease {
  NodeId holder;
  /** Incremented by every write of the lease. */
  uint64_t renewal = 0;
  /**
   * Duration of the lease after each renewal, measured by each observer's own clock: there is no
   * common clock, so no expiry time is stored. 0: the holder released the lease.
   */
  Duration duration{0};

  bool operator==(const ReaderLease&) const = default;
};

/** @return the name of a slot's object in the collection of leases. */
std::string leaseName(uint8_t slot);

std::string formatLease(const ReaderLease& lease);
/** @return the lease, or nothing if the specification is not a valid lease. */
std::optional<ReaderLease> parseLease(const std::string& specification);

}  // namespace umberhold
