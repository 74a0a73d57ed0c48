/** @file Modification of forwarded packets. */
#pragma once

#include <cstdint>
#include <span>

namespace umberhold {

/**
 * Decrements the time to live and updates the header checksum by RFC 1624, equation 3.
 * @param packet a complete IPv4 packet that parsePacket accepted.
 * @return whether the packet may be forwarded. If the time to live was 1 or 0, returns false and
 * leaves the packet unchanged.
 */
bool decrementTimeToLive(std::span<uint8_t> packet);

}  // namespace umberhold
