/** @file Tests of line output to pipes that are read, full, or closed. */
#include "common/log/line_output.h"

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <string>

#include <CppUTest/TestHarness.h>

namespace umberhold {

TEST_GROUP(LineOutput) {
  std::array<int, 2> ends{-1, -1};

  void setup() override {
    std::signal(SIGPIPE, SIG_IGN);
    LONGS_EQUAL(0, ::pipe(ends.data()));
  }
  void teardown() override {
    ::close(ends[0]);
    ::close(ends[1]);
  }
  /** @return the current content of the pipe. */
  std::string readAll() {
    ::fcntl(ends[0], F_SETFL, O_NONBLOCK);
    std::string text;
    std::array<char, 4096> part{};
    ssize_t count = 0;
    while ((count = ::read(ends[0], part.data(), part.size())) > 0) {
      text.append(part.data(), static_cast<size_t>(count));
    }
    return text;
  }
};

TEST(LineOutput, WritesLinesInOrderOnFlush) {
  LineOutput output(ends[1]);
  output.append("event=one");
  output.append("event=two");
  CHECK_TRUE(output.hasPending());
  output.flush();
  CHECK_FALSE(output.hasPending());
  STRCMP_EQUAL("event=one\nevent=two\n", readAll().c_str());
}

/** The descriptor stays in blocking mode: a write that blocked would hang this test. */
TEST(LineOutput, DoesNotBlockOnUnreadPipeAndCountsDroppedLines) {
  constexpr size_t kBuffer = 10000;
  constexpr int kLines = 20000;
  LineOutput output(ends[1], kBuffer);
  const std::string line(99, 'x');
  for (int index = 0; index < kLines; ++index) {
    output.append(line);
    output.flush();
  }
  const LineCounters full = output.counters();
  CHECK_TRUE(full.dropped > 0);
  LONGS_EQUAL(kLines, full.accepted + full.dropped);
  LONGS_EQUAL(0, ::fcntl(ends[1], F_GETFL) & O_NONBLOCK);
  // Once the pipe is read, all accepted lines arrive in full.
  size_t bytes = 0;
  while (output.hasPending()) {
    bytes += readAll().size();
    output.flush();
  }
  bytes += readAll().size();
  LONGS_EQUAL(full.accepted * (line.size() + 1), bytes);
}

TEST(LineOutput, ContinuesAfterReaderClosedPipe) {
  LineOutput output(ends[1], 1000);
  ::close(ends[0]);
  for (int index = 0; index < 100; ++index) {
    output.append("event=lost");
    output.flush();
  }
  CHECK_TRUE(output.counters().dropped > 0);
}

}  // namespace umberhold
