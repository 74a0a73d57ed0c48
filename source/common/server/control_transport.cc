/** @file Sends and receives node messages. */
#include "common/server/control_transport.h"

#include <glog/logging.h>

#include <utility>

#include "common/wire/codec.h"

namespace umberhold {
namespace {

/** Of faults that may be frequent, one in this many is logged. */
constexpr int kLogEvery = 1000;

}  // namespace

ControlTransport::ControlTransport(DatagramSender& sender, KeyRing& keys, NodeId self,
                                   uint64_t incarnation)
    : sender_(sender), sealer_(keys, self, incarnation), opener_(keys) {}

void ControlTransport::send(const Endpoint& to, Message message) {
  const auto body = encode(message);
  if (!isOk(body)) {
    ++counters_.encodeFailures;
    LOG(ERROR) << "event=encode_failed message=" << message.body.index()
               << " error=" << toString(errorOf(body).code);
    return;
  }
  const std::string datagram = sealer_.seal(valueOf(body));
  if (datagram.size() > kMaxDatagramBytes) {
    ++counters_.oversized;
    LOG_EVERY_N(WARNING, kLogEvery) << "event=oversized_datagram message=" << message.body.index()
                                    << " bytes=" << datagram.size();
  }
  meter_.countSent(message, datagram.size());
  sender_.send(to, datagram);
}

std::optional<ReceivedMessage> ControlTransport::receive(const Endpoint& from,
                                                         std::string_view datagram) {
  const auto envelope = opener_.open(datagram);
  if (!isOk(envelope)) {
    LOG_EVERY_N(WARNING, kLogEvery) << "event=datagram_refused from=" << toString(from)
                                    << " error=" << toString(errorOf(envelope));
    return std::nullopt;
  }
  auto message = decode(valueOf(envelope).body);
  if (!isOk(message)) {
    const DecodeError error = errorOf(message);
    ++counters_.decodeFailures[static_cast<size_t>(error.code)];
    LOG_EVERY_N(WARNING, kLogEvery)
        << "event=message_refused from=" << toString(from) << " error=" << toString(error.code)
        << " field=" << error.field;
    return std::nullopt;
  }
  meter_.countReceived(trafficClassOf(valueOf(message)), datagram.size());
  return ReceivedMessage{valueOf(envelope).sender, std::move(valueOf(message))};
}

}  // namespace umberhold
