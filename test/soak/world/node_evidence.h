/** @file What node processes left behind: logs that can be read, memory and descriptors. */
#pragma once

#include <cstdint>
#include <istream>
#include <string>

namespace umberhold::soak {

/** Most that a node may use. */
struct NodeLimits {
  double memoryMegabytes = 64;
  uint64_t descriptors = 200;
  /** Lines a second, on average over the whole run. */
  double linesPerSecond = 500;
};

/** The most that a node used at one time. */
struct NodePeak {
  double memoryMegabytes = 0;
  uint64_t descriptors = 0;
  uint64_t lives = 0;
};

/** What the log of a node holds. */
struct LogSummary {
  uint64_t lines = 0;
  /** Lines that are not `key=value` pairs with a time, a level and an event. */
  uint64_t unreadable = 0;
  uint64_t starts = 0;
  std::string firstUnreadable;
};

/** @param log lines of one node, over all its lives. */
LogSummary summarizeLog(std::istream& log);
/** @param log of one node. @return whether it last said that it reads the store for its zone. */
bool isReaderOfZone(std::istream& log);
/** @return whether the node was measured and kept the limits. */
bool isWithin(const NodeLimits& limits, const NodePeak& peak);
/**
 * @param lives of the node: one that is killed while it writes may leave a broken line.
 * @param seconds that the log covers.
 * @return whether a node's log can be read and is not longer than allowed.
 */
bool isReadable(const NodeLimits& limits, const LogSummary& log, uint64_t lives, double seconds);
/** @return whether the line has the schema of docs/OPERATIONS.md. */
bool isLogLine(const std::string& line);

}  // namespace umberhold::soak
