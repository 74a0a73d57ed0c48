/** @file The event loop, based on poll(2). */
#include "common/server/event_loop.h"

#include <poll.h>

#include <algorithm>
#include <chrono>
#include <ctime>
#include <utility>

namespace umberhold {

UnixSeconds unixNow() {
  return std::chrono::duration_cast<std::chrono::seconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

Duration threadCpuTime() {
  timespec time{};
  ::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return std::chrono::duration_cast<Duration>(std::chrono::seconds(time.tv_sec) +
                                              std::chrono::nanoseconds(time.tv_nsec));
}

void EventLoop::addPort(UdpPort& port, Purpose purpose, UdpPort::Receiver receiver) {
  ports_.push_back({&port, purpose, std::move(receiver)});
}

void EventLoop::run(const std::function<bool()>& onTick) {
  TimePoint nextTick = steadyNow();
  for (;;) {
    const TimePoint now = steadyNow();
    if (now >= nextTick) {
      if (!onTick()) {
        return;
      }
      // Ticks missed during a pause are not repeated.
      nextTick = std::max(nextTick + kTickInterval, now);
    }
    wait(nextTick);
  }
}

LoopTimes EventLoop::times() const {
  return {packetCpu_, threadCpuTime()};
}

void EventLoop::wait(TimePoint nextTick) {
  std::vector<pollfd> descriptors;
  descriptors.reserve(ports_.size() + 1);
  for (const Port& port : ports_) {
    descriptors.push_back({port.port->descriptor(), POLLIN, 0});
  }
  descriptors.push_back({mailbox_.wakeDescriptor(), POLLIN, 0});
  const auto remaining = std::chrono::ceil<std::chrono::milliseconds>(nextTick - steadyNow());
  const int timeout = static_cast<int>(std::max<int64_t>(0, remaining.count()));
  if (::poll(descriptors.data(), descriptors.size(), timeout) <= 0) {
    return;
  }
  for (size_t index = 0; index < ports_.size(); ++index) {
    if (descriptors[index].revents != 0) {
      serve(ports_[index]);
    }
  }
  if (descriptors.back().revents != 0) {
    mailbox_.drain();
  }
}

void EventLoop::serve(const Port& port) {
  if (port.purpose == Purpose::kControl) {
    port.port->receive(port.receiver);
    return;
  }
  const Duration before = threadCpuTime();
  port.port->receive(port.receiver);
  packetCpu_ += threadCpuTime() - before;
}

}  // namespace umberhold
