/** @file Sends packets to callers through the return gateway. */
#include "common/server/packet_transport.h"

namespace umberhold {

void PacketTransport::sendToCaller(const Endpoint& /*caller*/, std::string_view packet) {
  if (returnGateway_.port == 0) {
    ++unsentAnswers_;
    return;
  }
  port_.send(returnGateway_, packet);
}

}  // namespace umberhold
