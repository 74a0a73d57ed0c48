/** @file Log line for a verdict on a silent host. */
#pragma once

#include <chrono>
#include <optional>
#include <ostream>

#include "common/token/silence_detector.h"

namespace umberhold {

/** Writes "event=host_dead ..." or "event=host_spared ...". */
struct SilenceText {
  const SilenceVerdict& verdict;
};

/** Writes whole milliseconds, or "-". */
struct MillisecondsText {
  std::optional<Duration> duration;
};

inline std::ostream& operator<<(std::ostream& out, const MillisecondsText& text) {
  return text.duration
             ? out << std::chrono::duration_cast<std::chrono::milliseconds>(*text.duration).count()
             : out << "-";
}

inline std::ostream& operator<<(std::ostream& out, const SilenceText& text) {
  const SilenceVerdict& verdict = text.verdict;
  return out << "event=host_" << toString(verdict.outcome) << " pool=" << verdict.pool
             << " host=" << verdict.host << " by=" << toString(verdict.source)
             << " callers=" << verdict.callers << " copies=" << verdict.copies
             << " silent_ms=" << MillisecondsText{verdict.silentFor}
             << " others_ms=" << MillisecondsText{verdict.sinceOvertaking}
             << " copy_ms=" << MillisecondsText{verdict.sinceCopy}
             << " answered_ms=" << MillisecondsText{verdict.sinceAnswer}
             << " silent_hosts=" << verdict.silent << " active_hosts=" << verdict.active;
}

}  // namespace umberhold
