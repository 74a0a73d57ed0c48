/** @file Checks of the logs and the resource usage of node processes. */
#pragma once

#include <cstdint>
#include <istream>
#include <string>

namespace umberhold::soak {

/** Maximum resource usage of a node. */
struct NodeLimits {
  double memoryMegabytes = 64;
  /** Number of open file descriptors. */
  uint64_t descriptors = 200;
  /** Log lines per second, averaged over the run. */
  double linesPerSecond = 500;
};

/** Peak resource usage of a node. */
struct NodePeak {
  double memoryMegabytes = 0;
  uint64_t descriptors = 0;
  /** Number of processes started for the node. */
  uint64_t processCount = 0;
};

/** Summary of a node's log. */
struct LogSummary {
  uint64_t lines = 0;
  /** Lines that are not `key=value` pairs with a time, a level and an event. */
  uint64_t unreadable = 0;
  uint64_t starts = 0;
  std::string firstUnreadable;
};

/** @param log log of all processes of one node. */
LogSummary summarizeLog(std::istream& log);
/** @param log log of one node. @return whether it currently reads the store for its zone. */
bool isReaderOfZone(std::istream& log);
/** @return whether the node was measured and is within the limits. */
bool isWithin(const NodeLimits& limits, const NodePeak& peak);
/**
 * @param lives number of processes of the node; each may leave one incomplete line when
 * it is killed.
 * @param seconds duration of the log.
 * @return whether the log is well formed and within the length limit.
 */
bool isReadable(const NodeLimits& limits, const LogSummary& log, uint64_t processCount,
                double seconds);
/** @return whether the line has the form of docs/OPERATIONS.md: a time, a level and an event. */
bool isLogLine(const std::string& line);

}  // namespace umberhold::soak
