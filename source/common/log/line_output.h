/**
 * @file Lines to a descriptor that may be slow, full or gone: nothing here ever waits for it.
 *
 * Lines are gathered in a bounded buffer and written when the descriptor takes them. A line that
 * has no room is lost as a whole and counted; no part of a line is ever written without the rest
 * following.
 */
#pragma once

#include <cstddef>
#include <cstdint>
#include <mutex>
#include <string>
#include <string_view>

namespace umberhold {

/** Lines so far. */
struct LineCounters {
  /** Lines taken, whether they have been written or are still in the buffer. */
  uint64_t accepted = 0;
  /** Lines that found the buffer full. */
  uint64_t dropped = 0;
};

/** Thread safe. */
class LineOutput {
 public:
  /** Bytes that wait for the descriptor at most. */
  static constexpr size_t kBufferBytes = size_t{256} * 1024;

  /**
   * @param descriptor borrowed; its flags are left alone, and no other process may write to it. A
   * pipe is asked whether it has room, and then given no more than it said until it is asked again.
   */
  explicit LineOutput(int descriptor, size_t bufferBytes = kBufferBytes);

  /** Takes a line; the end of line is added. Call flush() afterwards. */
  void append(std::string_view line);
  /** Writes what the descriptor takes now. */
  void flush();
  LineCounters counters() const;
  /** @return whether lines wait for the descriptor. */
  bool hasPending() const;

 private:
  /** @return bytes that can be written now without waiting; 0 for none. */
  size_t writableBytes();

  const int descriptor_;
  const size_t bufferBytes_;
  /** Whether every write is taken at once, as by a regular file. */
  const bool alwaysReady_;
  mutable std::mutex mutex_;
  std::string buffer_;
  /** Bytes of the buffer that were written already. */
  size_t written_ = 0;
  /** Bytes that the descriptor definitely has room for. */
  size_t knownWritableBytes_ = 0;
  LineCounters counters_;
};

}  // namespace umberhold
