/** @file Node messages over the control port: encoding, authentication and traffic metering. */
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string_view>

#include "common/base/endpoint.h"
#include "common/server/datagram_sender.h"
#include "common/wire/codec_error.h"
#include "common/wire/envelope.h"
#include "common/wire/message.h"
#include "common/wire/message_sink.h"
#include "common/wire/traffic_meter.h"

namespace umberhold {

/** An authenticated message and its sender. */
struct ReceivedMessage {
  NodeId sender;
  Message message;
};

/** Counters of messages that could not be sent or received. */
struct ControlCounters {
  /** Messages of this node that could not be encoded. */
  uint64_t encodeFailures = 0;
  /** Datagrams of this node that were longer than kMaxDatagramBytes; they were sent anyway. */
  uint64_t oversized = 0;
  /** Authenticated datagrams that could not be decoded, by DecodeErrorCode. */
  std::array<uint64_t, static_cast<size_t>(DecodeErrorCode::kCount)> decodeFailures{};
};

/** Sends and receives node messages. Not thread safe. */
class ControlTransport : public MessageSink {
 public:
  /** @param sender, keys borrowed; @param incarnation start time of the process, Unix milliseconds.
   */
  ControlTransport(DatagramSender& sender, KeyRing& keys, NodeId self, uint64_t incarnation);

  void send(const Endpoint& to, Message message) override;
  /** @return the message of a datagram, or nothing if the datagram was rejected and counted. */
  std::optional<ReceivedMessage> receive(const Endpoint& from, std::string_view datagram);

  const TrafficMeter& meter() const { return meter_; }
  const ControlCounters& counters() const { return counters_; }
  /** @return the number of datagrams rejected for the reason. */
  uint64_t refused(OpenError reason) const { return opener_.refused(reason); }

 private:
  DatagramSender& sender_;
  EnvelopeSealer sealer_;
  EnvelopeOpener opener_;
  TrafficMeter meter_;
  ControlCounters counters_;
};

}  // namespace umberhold
