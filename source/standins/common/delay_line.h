/** @file Datagrams that are sent after a delay. */
#pragma once

#include <chrono>
#include <cstdint>
#include <queue>
#include <string>
#include <string_view>
#include <tuple>

#include "standins/common/datagram_loop.h"

namespace umberhold::standins {

/** Not thread safe; for use by the handlers and tick of its loop only. */
class DelayLine {
 public:
  /** Interval at which deliverDue() must be called. */
  static constexpr std::chrono::milliseconds kTickPeriod{1};

  /** @param loop borrowed; sends the datagrams. */
  explicit DelayLine(DatagramLoop& loop) : loop_(loop) {}

  /** Sends immediately if the delay is 0, otherwise on the tick nearest to its end. */
  void send(uint32_t delayMicros, SocketIndex socket, const Endpoint& to, std::string_view bytes);
  /** Sends the datagrams that are due. */
  void deliverDue();

 private:
  using Clock = std::chrono::steady_clock;

  struct DelayedDatagram {
    Clock::time_point due;
    /** Order of sending, for datagrams that are due at the same time. */
    uint64_t order = 0;
    SocketIndex socket = 0;
    Endpoint to;
    std::string bytes;
    bool operator<(const DelayedDatagram& other) const {
      return std::tie(due, order) > std::tie(other.due, other.order);
    }
  };

  DatagramLoop& loop_;
  std::priority_queue<DelayedDatagram> delayed_;
  uint64_t lastOrder_ = 0;
};

}  // namespace umberhold::standins
