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
void writeRow(std::ostream& text, std::string_view label, const Value& value) {
  text << "  " << std::left << std::setw(kLabelWidth) << label << value << "\n";
}

Poco::JSON::Array countsBySecond(const SoakResult& result) {
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
    file << timeOfDay(wait.at) << "\t" << wait.process << "\t"
         << std::chrono::duration_cast<std::chrono::milliseconds>(wait.length).count() << "\n";
  }
  for (const Violation& violation : result.violations) {
    file << timeOfDay(result.startedAt + violation.at) << "\t" << toString(violation.promise)
         << "\t" << violation.detail << "\n";
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
  object.set("lost_on_links", result.lostOnLinks);
  object.set("probes", result.probes);
  object.set("versions", result.versions);
  object.set("configuration_delay_seconds_most",
             std::chrono::duration<double>(result.longestConfigurationDelay).count());
  object.set("drain_delay_seconds_most",
             std::chrono::duration<double>(result.longestDrainDelay).count());
  object.set("served_after_recovery", result.servedAfterRecovery);
  object.set("turned_away", result.callers.rejected);
  object.set("starved_seconds_most",
             std::chrono::duration<double>(result.longestStarvation).count());
  object.set("open_flows_most", result.maxOpenFlows);
  object.set("pause_seconds_most", std::chrono::duration<double>(result.longestPause).count());
  object.set("store_queue_most", result.maxStoreQueue);
  object.set("returns_judged", result.recoveriesEvaluated);
  object.set("memory_mb_most", result.nodePeak.memoryMegabytes);
  object.set("descriptors_most", result.nodePeak.descriptors);
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
  object.set("served_by_second", countsBySecond(result));
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
  writeRow(text, "requests asked", result.callers.asked);
  writeRow(text, "served", result.callers.served);
  writeRow(text, "failed", result.callers.failed);
  writeRow(text, "tries", result.callers.tries);
  writeRow(text, "openings refused", result.callers.openingsRefused);
  writeRow(text, "openings unanswered", result.callers.openingsUnanswered);
  writeRow(text, "resets by nodes", result.callers.systemResets);
  writeRow(text, "resets that open flows don't take", result.callers.strayResets);
  writeRow(text, "resets by hosts", result.callers.hostResets);
  writeRow(text, "turned away by hosts", result.callers.rejected);
  writeRow(text, "longest without service, s",
           std::chrono::duration<double>(result.longestStarvation).count());
  writeRow(text, "open flows of a host at most", result.maxOpenFlows);
  writeRow(text, "longest pause of the soak itself, s",
           std::chrono::duration<double>(result.longestPause).count());
  writeRow(text, "queue of the store's stand-in at most", result.maxStoreQueue);
  writeRow(text, "returns of room judged", result.recoveriesEvaluated);
  writeRow(text, "runs at hosts", result.runs);
  writeRow(text, "lost on overloaded links", result.lostOnLinks);
  writeRow(text, "probes of the configuration", result.probes);
  writeRow(text, "versions of the configuration", result.versions);
  writeRow(text, "older configuration used for, s",
           std::chrono::duration<double>(result.longestConfigurationDelay).count());
  writeRow(text, "leaving host used for, s",
           std::chrono::duration<double>(result.longestDrainDelay).count());
  writeRow(text, "served after the recovery time", result.servedAfterRecovery);
  writeRow(text, "memory of a node at most, MB", result.nodePeak.memoryMegabytes);
  writeRow(text, "descriptors of a node at most", result.nodePeak.descriptors);
  writeRow(text, "lives of a node at most", result.nodePeak.processCount);
  writeRow(text, "log lines", result.logLines);
  for (const auto& [kind, count] : result.faults) {
    writeRow(text, "fault " + std::string(toString(kind)), count);
  }
  for (const auto& [promise, count] : result.broken) {
    writeRow(text, "BROKEN " + std::string(toString(promise)), count);
  }
  for (const Violation& violation : result.violations) {
    text << "    at " << std::chrono::duration<double>(violation.at).count() << " s "
         << toString(violation.promise) << ": " << violation.detail << "\n";
  }
  return text.str();
}

}  // namespace umberhold::soak
