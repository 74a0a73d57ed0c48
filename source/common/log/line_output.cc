#include "common/log/line_output.h"

#include <poll.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <climits>

namespace umberhold {
namespace {

bool isRegularFile(int descriptor) {
  struct stat status {};
  return ::fstat(descriptor, &status) == 0 && S_ISREG(status.st_mode);
}

}  // namespace

LineOutput::LineOutput(int descriptor, size_t bufferBytes)
    : descriptor_(descriptor), bufferBytes_(bufferBytes), alwaysReady_(isRegularFile(descriptor)) {}

void LineOutput::append(std::string_view line) {
  const std::lock_guard lock(mutex_);
  if (buffer_.size() - written_ + line.size() + 1 > bufferBytes_) {
    ++counters_.dropped;
    return;
  }
  ++counters_.accepted;
  buffer_.append(line);
  buffer_.push_back('\n');
}

size_t LineOutput::writableBytes() {
  if (alwaysReady_) {
    return SIZE_MAX;
  }
  if (knownWritableBytes_ == 0) {
    pollfd ready{descriptor_, POLLOUT, 0};
    // poll() reports a pipe as writable once PIPE_BUF bytes are free; several short writes share
    // them.
    const bool writable = ::poll(&ready, 1, 0) == 1 && (ready.revents & POLLOUT) != 0;
    knownWritableBytes_ = writable ? PIPE_BUF : 0;
  }
  return knownWritableBytes_;
}

void LineOutput::flush() {
  const std::lock_guard lock(mutex_);
  while (written_ < buffer_.size()) {
    const size_t limit = std::min(writableBytes(), buffer_.size() - written_);
    const ssize_t count = limit == 0 ? 0 : ::write(descriptor_, buffer_.data() + written_, limit);
    if (count < 0 && errno == EINTR) {
      continue;
    }
    if (count <= 0) {
      break;
    }
    written_ += static_cast<size_t>(count);
    knownWritableBytes_ -= alwaysReady_ ? 0 : static_cast<size_t>(count);
  }
  buffer_.erase(0, written_);
  written_ = 0;
}

LineCounters LineOutput::counters() const {
  const std::lock_guard lock(mutex_);
  return counters_;
}

bool LineOutput::hasPending() const {
  const std::lock_guard lock(mutex_);
  return written_ < buffer_.size();
}

}  // namespace umberhold
