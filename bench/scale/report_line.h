/** @file The lines that hollow processes write to their logs and the run reads. */
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "common/base/time.h"

namespace umberhold::scale {

/** What a line tells. */
enum class ReportEvent : uint8_t {
  /** A node became ready: node, seconds. */
  kReady,
  /** Control bytes of the last window: nodes, sent, received, highest_sent, highest_node, ... */
  kWindow,
  /** A change's record is on every node of the process that was ready then: version. */
  kApplied,
  /** The lowest version effective on the ready nodes: version. */
  kInForce,
  /** An observer holds a node for dead that has ended: victim, observer, after_us. */
  kDetected,
  /** The same of a node that runs: victim, observer. */
  kFalseDeath,
  /** A node went back to an older version: node. */
  kRevert,
  /** Once a second: nodes, ready, control_cpu_us, packet_cpu_us, rss_kb, longest_gap_us, ... */
  kUsage,
  /** A command arrived: number. */
  kCommand,
};

std::string_view toString(ReportEvent event);

/** One line; times are microseconds of the machine's monotonic clock. */
struct ReportLine {
  ReportEvent event = ReportEvent::kUsage;
  TimePoint at;
  std::map<std::string, double> values;

  double value(const std::string& key) const;
};

std::string formatLine(const ReportLine& line);
/** @return the line, or nothing where the text is another line of a log. */
std::optional<ReportLine> parseLine(const std::string& text);

}  // namespace umberhold::scale
