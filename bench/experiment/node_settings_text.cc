#include "node_settings_text.h"

#include <algorithm>
#include <sstream>

namespace umberhold::experiment {
namespace {

constexpr size_t kSeedCount = 3;
/** Prefix of the secret of every key; kSecretDigit and the key's id follow. */
constexpr const char* kSecretPrefix =
    "00112233445566778899aabbccddeeff00112233445566778899aabbccddee";
/** First hexadecimal digit of the last byte of a secret. The second one is the key's id, which must
 * therefore have one decimal digit. */
constexpr const char* kSecretDigit = "f";

std::string endpointText(uint32_t address, uint16_t port) {
  return toString(Endpoint{address, port});
}

std::string seedList(const RegionPlan& region) {
  std::string list;
  for (size_t index = 0; index < std::min(kSeedCount, region.nodes.size()); ++index) {
    list.append(index > 0 ? ", " : "").append("\"");
    list.append(endpointText(region.nodes[index].address, kControlFrontPort)).append("\"");
  }
  return list;
}

}  // namespace

std::string settingsText(const NodePlan& node, const RegionPlan& region,
                         const NodeSettingsOptions& options) {
  std::ostringstream text;
  text << "node_id = " << node.id << "\n"
       << "region = \"" << node.region << "\"\n"
       << "zone = \"" << node.zone << "\"\n"
       << "address = \"" << addressToString(node.address) << "\"\n"
       << "data_port = " << kDataPort << "\n"
       << "relay_port = " << kRelayPort << "\n"
       << "control_port = " << kControlPort << "\n"
       << "admin_port = " << kAdminPort << "\n"
       << "advertised_relay_port = " << kRelayFrontPort << "\n"
       << "advertised_control_port = " << kControlFrontPort << "\n"
       << "platform = \"" << endpointText(node.address, kPlatformFrontPort) << "\"\n"
       << "admin_token = \"" << options.adminToken << "\"\n"
       << "return_gateway = \"" << endpointText(region.callerAddress, kStandinDataPort) << "\"\n"
       << "strategy = \"" << options.strategy << "\"\n"
       << "owner_relay = " << (options.ownerRelay ? "true" : "false") << "\n"
       << "seeds = [" << seedList(region) << "]\n"
       << "signing_key = " << options.keys.signing << "\n";
  for (const uint32_t id : options.keys.accepted) {
    text << "[[keys]]\nid = " << id << "\nsecret = \"" << kSecretPrefix << kSecretDigit << id
         << "\"\n";
  }
  return text.str();
}

}  // namespace umberhold::experiment
