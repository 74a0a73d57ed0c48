#include "bench/support/address_block.h"

#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>
#include <unistd.h>

#include <string>

namespace umberhold::experiment {
namespace {

/** Blocks below belong to tests and stand-ins with addresses of their own. */
constexpr uint32_t kFirstBlock = 20;
constexpr uint32_t kBlocks = 200;
/** No plan of a run uses this address. */
constexpr const char* kClaimHost = ".255.254";
constexpr uint16_t kClaimPort = 7999;

}  // namespace

std::optional<AddressBlock> AddressBlock::claim(uint32_t preferred) {
  for (uint32_t step = 0; step < kBlocks; ++step) {
    const uint32_t number = kFirstBlock + (preferred + step) % kBlocks;
    const std::string host = "127." + std::to_string(number) + kClaimHost;
    try {
      Poco::Net::DatagramSocket socket(Poco::Net::SocketAddress(host, kClaimPort), false);
      return AddressBlock(static_cast<uint8_t>(number), socket);
    } catch (const Poco::Net::NetException&) {
      continue;  // Another run has it.
    }
  }
  return std::nullopt;
}

std::optional<AddressBlock> AddressBlock::claim() {
  return claim(static_cast<uint32_t>(getpid()));
}

}  // namespace umberhold::experiment
