#include "common/packet/packet_format.h"

namespace umberhold {
namespace {

class IpPacketFormat : public PacketFormat {
 public:
  Result<ParsedPacket, DropReason> parse(std::string_view bytes) const override {
    return parsePacket(bytes);
  }
  std::string_view rewriteForHost(std::string_view packet, const ForwardToHost& /*decision*/,
                                  std::string& /*buffer*/) const override {
    return packet;
  }
  Result<std::string, RefusalError> refusal(std::string_view packet) const override {
    return buildRefusal(packet);
  }
  Result<std::string, RefusalError> reset(const FlowKey& key,
                                          uint32_t acknowledged) const override {
    return buildFlowReset(key, acknowledged);
  }
};

}  // namespace

const PacketFormat& ipPacketFormat() {
  static const IpPacketFormat format;
  return format;
}

}  // namespace umberhold
