/** @file The report of a soak: one line of JSON and a text summary. */
#include <Poco/DateTimeFormatter.h>
#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/Timestamp.h>

#include <fstream>
#include <iomanip>
#include <sstream>

#include "common/platform/steady_now.h"
#include "test/soak/world/soak_run.h"

namespace umberhold::soak {
namespace {

constexpr int kLabelWidth = 34;

template <class Value>
void writeFigure(std::ostream& text, std::string_view label, const Value& value) {
  text << "  " << std::left << std::setw(kLabelWidth) << label << value << "\n";
}

Poco::JSON::Array secondsOf(const SoakResult& result) {
  Poco::JSON::Array list;
  for (const auto& [second, counts] : result.seconds) {
    Poco::JSON::Object entry;
    entry.set("second", second);
    entry.set("asked", counts.asked);
    entry.set("served", counts.served);
    list.add(entry);
  }
  return list;
}

/** @return the time of day, UTC, as in the nodes' logs. */
std::string timeOfDay(TimePoint at) {
  const Poco::Timestamp::TimeDiff ago =
      std::chrono::duration_cast<std::chrono::microseconds>(steadyNow() - at).count();
  return Poco::DateTimeFormatter::format(Poco::Timestamp() - ago, "%H:%M:%S.%i");
}

void writeWaits(const std::string& folder, const SoakResult& result) {
  std::ofstream file(folder + "/waits.tsv");
  for (const Wait& wait : result.waits) {
    file << timeOfDay(wait.at) << "\t" << wait.who << "\t"
         << std::chrono::duration_cast<std::chrono::milliseconds>(wait.length).count() << "\n";
  }
  for (const Violation& violation : result.violations) {
    file << timeOfDay(result.begunAt + violation.at) << "\t" << toString(violation.promise) << "\t"
         << violation.detail << "\n";
  }
}

}  // namespace

std::string toJsonLine(const SoakOptions& options, const SoakResult& result) {
  Poco::JSON::Object object;
  object.set("seed", options.seed);
  object.set("seconds", options.seconds);
  object.set("sabotage", std::string(toString(options.sabotage)));
  object.set("asked", result.callers.asked);
  object.set("served", result.callers.served);
  object.set("failed", result.callers.failed);
  object.set("runs", result.runs);
  object.set("probes", result.probes);
  object.set("versions", result.versions);
  object.set("served_after_recovery", result.servedAfterRecovery);
  object.set("turned_away", result.callers.rejected);
  object.set("starved_seconds_most", std::chrono::duration<double>(result.longestStarved).count());
  object.set("open_flows_most", result.maximumOpenFlows);
  object.set("pause_seconds_most", std::chrono::duration<double>(result.longestPause).count());
  object.set("store_queue_most", result.maximumStoreQueue);
  object.set("returns_judged", result.recoveriesEvaluated);
  object.set("memory_mb_most", result.highest.memoryMegabytes);
  object.set("descriptors_most", result.highest.descriptors);
  object.set("log_lines", result.logLines);
  Poco::JSON::Object faults;
  for (const auto& [kind, count] : result.faults) {
    faults.set(std::string(toString(kind)), count);
  }
  object.set("faults", faults);
  Poco::JSON::Object broken;
  for (const auto& [promise, count] : result.broken) {
    broken.set(std::string(toString(promise)), count);
  }
  object.set("broken", broken);
  object.set("served_by_second", secondsOf(result));
  std::ostringstream line;
  object.stringify(line);
  return line.str();
}

void writePlotData(const std::string& folder, const SoakResult& result) {
  std::ofstream served(folder + "/served.tsv");
  for (const auto& [second, counts] : result.seconds) {
    served << second << "\t" << counts.asked << "\t" << counts.served << "\n";
  }
  std::ofstream faults(folder + "/faults.tsv");
  for (const Fault& fault : result.planned) {
    faults << std::chrono::duration<double>(fault.at).count() << "\t" << toString(fault.kind)
           << "\n";
  }
  writeWaits(folder, result);
}

std::string toText(const SoakOptions& options, const SoakResult& result) {
  std::ostringstream text;
  text << "soak, seed " << options.seed << ", " << options.seconds << " s\n";
  writeFigure(text, "requests asked", result.callers.asked);
  writeFigure(text, "served", result.callers.served);
  writeFigure(text, "failed", result.callers.failed);
  writeFigure(text, "tries", result.callers.tries);
  writeFigure(text, "openings refused", result.callers.openingsRefused);
  writeFigure(text, "openings unanswered", result.callers.openingsUnanswered);
  writeFigure(text, "resets by nodes", result.callers.systemResets);
  writeFigure(text, "resets that open flows don't take", result.callers.strayResets);
  writeFigure(text, "resets by hosts", result.callers.hostResets);
  writeFigure(text, "turned away by hosts", result.callers.rejected);
  writeFigure(text, "longest without service, s",
              std::chrono::duration<double>(result.longestStarved).count());
  writeFigure(text, "open flows of a host at most", result.maximumOpenFlows);
  writeFigure(text, "longest pause of the soak itself, s",
              std::chrono::duration<double>(result.longestPause).count());
  writeFigure(text, "queue of the store's stand-in at most", result.maximumStoreQueue);
  writeFigure(text, "returns of room judged", result.recoveriesEvaluated);
  writeFigure(text, "runs at hosts", result.runs);
  writeFigure(text, "probes of the configuration", result.probes);
  writeFigure(text, "versions of the configuration", result.versions);
  writeFigure(text, "served after the recovery time", result.servedAfterRecovery);
  writeFigure(text, "memory of a node at most, MB", result.highest.memoryMegabytes);
  writeFigure(text, "descriptors of a node at most", result.highest.descriptors);
  writeFigure(text, "lives of a node at most", result.highest.lives);
  writeFigure(text, "log lines", result.logLines);
  for (const auto& [kind, count] : result.faults) {
    writeFigure(text, "fault " + std::string(toString(kind)), count);
  }
  for (const auto& [promise, count] : result.broken) {
    writeFigure(text, "BROKEN " + std::string(toString(promise)), count);
  }
  for (const Violation& violation : result.violations) {
    text << "    at " << std::chrono::duration<double>(violation.at).count() << " s "
         << toString(violation.promise) << ": " << violation.detail << "\n";
  }
  return text.str();
}

}  // namespace umberhold::soak
