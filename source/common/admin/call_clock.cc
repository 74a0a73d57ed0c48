#include "common/admin/call_clock.h"

#include <chrono>
#include <thread>

#include "common/platform/steady_now.h"

namespace umberhold {

TimePoint SystemCallClock::now() {
  return steadyNow();
}

UnixSeconds SystemCallClock::unixNow() {
  const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::seconds>(sinceEpoch).count();
}

void SystemCallClock::sleepFor(Duration duration) {
  std::this_thread::sleep_for(duration);
}

}  // namespace umberhold
