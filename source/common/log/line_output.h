/**
 * @file Non-blocking output of lines to a descriptor that may be slow, full or closed.
 *
 * Lines are collected in a bounded buffer and written when the descriptor is writable. A line that
 * does not fit into the buffer is dropped as a whole and counted; a partially written line is
 * always completed by later writes.
 */
#pragma once

#include <cstddef>
#include <cstdint>
#include <mutex>
#include <string>
#include <string_view>

namespace umberhold {

/** Line counts since the start. */
struct LineCounters {
  /** Lines accepted, whether they have been written or are still in the buffer. */
  uint64_t accepted = 0;
  /** Lines dropped because the buffer was full. */
  uint64_t dropped = 0;
};

/** Buffered, non-blocking line writer. Thread safe. */
class LineOutput {
 public:
  /** Maximum number of buffered bytes. */
  static constexpr size_t kBufferBytes = size_t{256} * 1024;

  /**
   * @param descriptor borrowed; its flags are not changed, and no other process may write to it. A
   * pipe is polled for free space, and no more than that is written to it before the next poll.
   */
  explicit LineOutput(int descriptor, size_t bufferBytes = kBufferBytes);

  /** Appends a line and a newline to the buffer. Call flush() afterwards. */
  void append(std::string_view line);
  /** Writes as much as the descriptor accepts without blocking. */
  void flush();
  LineCounters counters() const;
  /** @return whether the buffer holds bytes that are not yet written. */
  bool hasPending() const;

 private:
  /** @return the number of bytes that can be written now without blocking. */
  size_t writableBytes();

  const int descriptor_;
  const size_t bufferBytes_;
  /** Whether writes never block, as for a regular file. */
  const bool alwaysReady_;
  mutable std::mutex mutex_;
  std::string buffer_;
  /** Bytes of the buffer that are already written. */
  size_t written_ = 0;
  /** Bytes that can be written without another poll. */
  size_t knownWritableBytes_ = 0;
  LineCounters counters_;
};

}  // namespace umberhold
