/** @file Exclusive loopback addresses for a run with real processes. */
#pragma once

#include <Poco/Net/DatagramSocket.h>

#include <cstdint>
#include <optional>

namespace umberhold::experiment {

/**
 * The addresses 127.BLOCK.0.0/16, claimed during the lifetime of the object.
 *
 * Concurrent runs with the same addresses would connect to each other's processes, which makes
 * their measurements invalid. A claim is a bound socket, so the kernel grants it to one process
 * only and releases it when that process exits.
 */
class AddressBlock {
 public:
  /** Claims the first free block. @param preferred index of the block to try first, modulo the
   * number of blocks. @return nullopt if all are claimed. */
  static std::optional<AddressBlock> claim(uint32_t preferred);
  /** As above, starting at a block that depends on the process id. */
  static std::optional<AddressBlock> claim();

  /** @return the second octet of the addresses. */
  uint8_t number() const { return number_; }

 private:
  AddressBlock(uint8_t number, const Poco::Net::DatagramSocket& socket)
      : number_(number), socket_(socket) {}

  uint8_t number_;
  Poco::Net::DatagramSocket socket_;
};

}  // namespace umberhold::experiment
