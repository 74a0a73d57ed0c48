/** @file Loopback addresses that one run of real processes has for itself. */
#pragma once

#include <Poco/Net/DatagramSocket.h>

#include <cstdint>
#include <optional>

namespace umberhold::experiment {

/**
 * The addresses 127.BLOCK.0.0/16, claimed for as long as the object lives.
 *
 * Runs side by side that share addresses talk to each other's processes and measure nonsense. The
 * claim is a bound socket, so that the kernel gives it to one process and takes it back at its end.
 */
class AddressBlock {
 public:
  /** @return the first free block from @p preferred on; nothing where all are claimed. */
  static std::optional<AddressBlock> claim(uint32_t preferred);
  /** As above, beginning at a block that depends on this process. */
  static std::optional<AddressBlock> claim();

  /** @return the second number of the addresses. */
  uint8_t number() const { return number_; }

 private:
  AddressBlock(uint8_t number, const Poco::Net::DatagramSocket& socket)
      : number_(number), socket_(socket) {}

  uint8_t number_;
  Poco::Net::DatagramSocket socket_;
};

}  // namespace umberhold::experiment
