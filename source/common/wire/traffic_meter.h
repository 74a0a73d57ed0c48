/** @file Byte counters of control traffic, by purpose. */
#pragma once

#include <array>
#include <cstdint>
#include <string_view>

#include "common/wire/message.h"
#include "common/wire/message_sink.h"

namespace umberhold {

/** Size of the IPv4 and UDP headers of a datagram, bytes. */
constexpr size_t kDatagramHeaderBytes = 28;

/** @return the traffic class of the message. */
TrafficClass trafficClassOf(const Message& message);
/** @return the snake_case label of a class. */
std::string_view toString(TrafficClass trafficClass);

/** Datagrams and bytes in one direction. */
struct TrafficCount {
  uint64_t datagrams = 0;
  /** UDP payload plus kDatagramHeaderBytes per datagram. */
  uint64_t bytes = 0;
  bool operator==(const TrafficCount&) const = default;
};

/** Traffic counters of one process. Not thread safe. */
class TrafficMeter {
 public:
  void countSent(TrafficClass trafficClass, size_t payloadBytes);
  /** Counts the message by its class and by its type. */
  void countSent(const Message& message, size_t payloadBytes);
  void countReceived(TrafficClass trafficClass, size_t payloadBytes);
  const TrafficCount& sent(TrafficClass trafficClass) const;
  const TrafficCount& received(TrafficClass trafficClass) const;
  /** @param number index of the message type in MessageBody. */
  const TrafficCount& sentOfType(size_t number) const { return sentByType_[number]; }

 private:
  using Counts = std::array<TrafficCount, static_cast<size_t>(TrafficClass::kCount)>;
  Counts sent_{};
  Counts received_{};
  std::array<TrafficCount, kMessageTypes> sentByType_{};
};

}  // namespace umberhold
