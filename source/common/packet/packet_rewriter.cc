#include "common/packet/packet_rewriter.h"

#include <cstddef>

namespace umberhold {
namespace {

constexpr size_t kTimeToLiveOffset = 8;
constexpr size_t kChecksumOffset = 10;

uint16_t readWord(std::span<const uint8_t> packet, size_t offset) {
  return static_cast<uint16_t>((packet[offset] << 8U) | packet[offset + 1]);
}

void writeWord(std::span<uint8_t> packet, size_t offset, uint16_t word) {
  packet[offset] = static_cast<uint8_t>(word >> 8U);
  packet[offset + 1] = static_cast<uint8_t>(word & 0xFFU);
}

uint16_t complement(uint16_t word) {
  return static_cast<uint16_t>(~word);
}

/** Folds a sum into a 16-bit one's complement sum by adding the carries. */
uint16_t onesComplementSum(uint32_t sum) {
  sum = (sum & 0xFFFFU) + (sum >> 16U);
  sum = (sum & 0xFFFFU) + (sum >> 16U);
  return static_cast<uint16_t>(sum);
}

}  // namespace

bool decrementTimeToLive(std::span<uint8_t> packet) {
  if (packet[kTimeToLiveOffset] <= 1) {
    return false;
  }
  const uint16_t before = readWord(packet, kTimeToLiveOffset);
  --packet[kTimeToLiveOffset];
  const uint16_t after = readWord(packet, kTimeToLiveOffset);
  const uint16_t checksum = readWord(packet, kChecksumOffset);
  // HC' = ~(~HC + ~m + m')
  const uint32_t sum = uint32_t{complement(checksum)} + complement(before) + after;
  writeWord(packet, kChecksumOffset, complement(onesComplementSum(sum)));
  return true;
}

}  // namespace umberhold
