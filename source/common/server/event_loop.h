/** @file The event loop of a node's single worker thread: sockets, ticks and posted closures. */
#pragma once

#include <cstdint>
#include <functional>
#include <string_view>
#include <vector>

#include "common/base/endpoint.h"
#include "common/base/time.h"
#include "common/platform/steady_now.h"
#include "common/server/loop_mailbox.h"
#include "common/server/udp_port.h"

namespace umberhold {

/** Interval between ticks. */
constexpr Duration kTickInterval = std::chrono::milliseconds(10);

/** @return the wall-clock time. */
UnixSeconds unixNow();
/** @return the CPU time used by the calling thread. */
Duration threadCpuTime();

/** CPU time of the loop; the part that is not packet processing is control work. */
struct LoopTimes {
  /** CPU time spent on datagrams of ports that carry packets. */
  Duration packetCpu{0};
  /** CPU time of the whole loop thread. */
  Duration totalCpu{0};
};

/** Waits for datagrams and closures and ticks at a fixed interval. All callbacks run on the thread
 * of run().
 */
class EventLoop {
 public:
  /** Kind of a port's datagrams, for CPU time accounting. */
  enum class Purpose : uint8_t { kControl, kPackets };

  /** @param mailbox borrowed. */
  explicit EventLoop(LoopMailbox& mailbox) : mailbox_(mailbox) {}

  /** Adds a port, which is borrowed; ports are served in the order in which they were added. */
  void addPort(UdpPort& port, Purpose purpose, UdpPort::Receiver receiver);
  /** @param onTick called every kTickInterval; the loop ends when it returns false. */
  void run(const std::function<bool()>& onTick);
  /** @return the CPU times; must be called on the loop thread. */
  LoopTimes times() const;

 private:
  struct Port {
    UdpPort* port;
    Purpose purpose;
    UdpPort::Receiver receiver;
  };

  void wait(TimePoint nextTick);
  void serve(const Port& port);

  LoopMailbox& mailbox_;
  std::vector<Port> ports_;
  Duration packetCpu_{0};
};

}  // namespace umberhold
