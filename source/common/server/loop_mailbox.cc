/** @file The queue of closures; an eventfd wakes the loop. */
#include "common/server/loop_mailbox.h"

#include <glog/logging.h>
#include <sys/eventfd.h>
#include <unistd.h>

namespace umberhold {

LoopMailbox::LoopMailbox() : wakeDescriptor_(::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)) {
  PCHECK(wakeDescriptor_ >= 0) << "event=no_eventfd";
}

LoopMailbox::~LoopMailbox() {
  close();
  ::close(wakeDescriptor_);
}

Result<Ok, MailboxError> LoopMailbox::post(std::function<void()> closure) {
  {
    const std::lock_guard lock(mutex_);
    if (closed_) {
      return MailboxError::kClosed;
    }
    if (waiting_.size() >= kMailboxCapacity) {
      return MailboxError::kFull;
    }
    waiting_.push_back(std::move(closure));
  }
  wake();
  return Ok{};
}

void LoopMailbox::drain() {
  uint64_t count = 0;
  [[maybe_unused]] const ssize_t bytesRead = ::read(wakeDescriptor_, &count, sizeof count);
  std::vector<std::function<void()>> due;
  {
    const std::lock_guard lock(mutex_);
    due.swap(waiting_);
  }
  for (const auto& closure : due) {
    closure();
  }
}

void LoopMailbox::close() {
  std::vector<std::function<void()>> discarded;
  {
    const std::lock_guard lock(mutex_);
    closed_ = true;
    discarded.swap(waiting_);
  }
}

void LoopMailbox::wake() const {
  const uint64_t one = 1;
  [[maybe_unused]] const ssize_t written = ::write(wakeDescriptor_, &one, sizeof one);
}

}  // namespace umberhold
