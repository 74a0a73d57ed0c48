#include "bench/support/address_block.h"

#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>
#include <unistd.h>

#include <string>

namespace umberhold::experiment {
namespace {

/** Lower blocks are reserved for tests and stand-ins with fixed addresses. */
constexpr uint32_t kFirstBlock = 20;
constexpr uint32_t kBlockCount = 200;
/** Last two octets of the address bound by a claim; runs don't use it. */
constexpr const char* kClaimAddressSuffix = ".255.254";
constexpr uint16_t kClaimPort = 7999;

}  // namespace

std::optional<AddressBlock> AddressBlock::claim(uint32_t preferred) {
  for (uint32_t offset = 0; offset < kBlockCount; ++offset) {
    const uint32_t number = kFirstBlock + (preferred + offset) % kBlockCount;
    const std::string address = "127." + std::to_string(number) + kClaimAddressSuffix;
    try {
      Poco::Net::DatagramSocket socket(Poco::Net::SocketAddress(address, kClaimPort), false);
      return AddressBlock(static_cast<uint8_t>(number), socket);
    } catch (const Poco::Net::NetException&) {
      continue;  // Claimed by another run.
    }
  }
  return std::nullopt;
}

std::optional<AddressBlock> AddressBlock::claim() {
  return claim(static_cast<uint32_t>(getpid()));
}

}  // namespace umberhold::experiment
