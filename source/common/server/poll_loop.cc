#include "common/server/poll_loop.h"

#include <algorithm>
#include <utility>

#include "common/platform/steady_now.h"

namespace umberhold {

void PollLoop::watch(int descriptor, Handler onReadable) {
  handlers_[descriptor] = std::move(onReadable);
  changed_ = true;
}

void PollLoop::unwatch(int descriptor) {
  handlers_.erase(descriptor);
  changed_ = true;
}

void PollLoop::at(TimePoint when, Handler handler) {
  timers_.emplace(when, std::move(handler));
}

void PollLoop::run() {
  while (!stopped_) {
    runDue();
    if (!stopped_) {
      wait();
    }
  }
}

void PollLoop::runDue() {
  const TimePoint now = steadyNow();
  while (!timers_.empty() && timers_.begin()->first <= now) {
    const Handler handler = std::move(timers_.begin()->second);
    timers_.erase(timers_.begin());
    handler();
  }
}

void PollLoop::wait() {
  if (std::exchange(changed_, false)) {
    descriptors_.clear();
    for (const auto& [descriptor, handler] : handlers_) {
      descriptors_.push_back({descriptor, POLLIN, 0});
    }
  }
  int timeout = -1;
  if (!timers_.empty()) {
    const auto left =
        std::chrono::ceil<std::chrono::milliseconds>(timers_.begin()->first - steadyNow());
    timeout = static_cast<int>(std::max<int64_t>(0, left.count()));
  }
  if (::poll(descriptors_.data(), descriptors_.size(), timeout) <= 0) {
    return;
  }
  for (const pollfd& ready : descriptors_) {
    const auto place = ready.revents == 0 ? handlers_.end() : handlers_.find(ready.fd);
    if (place != handlers_.end()) {
      // A copy, since the handler may remove itself.
      const Handler handler = place->second;
      handler();
    }
  }
}

}  // namespace umberhold
