#include "test/soak/world/soak_run.h"

#include <algorithm>
#include <fstream>
#include <functional>
#include <thread>

#include "common/platform/steady_now.h"
#include "test/soak/world/fault_injector.h"

namespace umberhold::soak {
namespace {

constexpr auto kPollInterval = std::chrono::milliseconds(10);
constexpr Duration kStartTimeout = std::chrono::seconds(30);
constexpr Duration kMeasureInterval = std::chrono::seconds(1);
constexpr Duration kMeasureWaitsInterval = std::chrono::milliseconds(50);
/** Time after the traffic in which pending requests complete. */
constexpr Duration kWindDown = std::chrono::seconds(3);
/** Time after the recovery time in which requests are evaluated. */
constexpr Duration kEvaluatedTime = std::chrono::seconds(4);
constexpr double kServedAfterRecovery = 0.97;
constexpr uint64_t kMinRequests = 200;

/** All components of one run; destroyed in reverse order. */
class Soak {
 public:
  explicit Soak(const SoakOptions& options)
      : options_(options),
        plan_(options.block),
        world_(plan_, store_, options.seed, options.sabotage, options.load),
        nodes_(plan_, options.program, store_.address(), options.folder),
        faults_(plan_, world_, nodes_, store_) {}

  Result<SoakResult, SoakError> run() {
    store_.objects().setStaleLag(options_.staleLag.value_or(drawStaleLag(options_.seed)));
    world_.start();
    nodes_.startAll();
    if (!waitReady()) {
      return SoakError::kNotReady;
    }
    const TimePoint start = steadyNow();
    const TimePoint end = start + std::chrono::seconds(options_.seconds);
    const Duration calmDuration = plan_.bounds().recovery + kEvaluatedTime;
    {
      const std::lock_guard lock(world_.mutex());
      world_.startTraffic(start);
    }
    planFaults(end - start - calmDuration - kWindDown);
    faults_.schedule(start, planned_);
    const TimePoint faultsOver = injectFaults();
    const TimePoint calmEnd = std::max(end, faultsOver + calmDuration);
    runUntil([calmEnd](TimePoint now) { return now >= calmEnd; });
    stopTraffic();
    return evaluate(start, faultsOver, calmEnd);
  }

 private:
  void planFaults(Duration length) {
    const auto add = [this](const std::vector<Fault>& faults) {
      planned_.insert(planned_.end(), faults.begin(), faults.end());
    };
    if (options_.day == SoakDay::kShortSilences) {
      add(drawShortSilences(options_.seed, length));
      return;
    }
    if (options_.day == SoakDay::kAbsences) {
      add(drawAbsences(options_.seed, length));
      return;
    }
    add(drawFaults(options_.seed, length));
    if (options_.load == SoakLoad::kHard) {
      add(drawHardLoad(options_.seed, length));
      add(drawOverloadedLinks(options_.seed, length));
    }
    add(drawForeignEntries(options_.seed, length));
    add(drawAbsences(options_.seed, length));
  }

  bool waitReady() {
    const TimePoint deadline = steadyNow() + kStartTimeout;
    while (world_.readiness().readyCount() < plan_.nodes().size()) {
      if (steadyNow() >= deadline) {
        return false;
      }
      std::this_thread::sleep_for(kPollInterval);
    }
    return true;
  }

  void runUntil(const std::function<bool(TimePoint)>& isDone) {
    TimePoint nextMeasure = steadyNow();
    TimePoint nextWaits = nextMeasure;
    for (TimePoint now = steadyNow(); !isDone(now); now = steadyNow()) {
      faults_.runDueSteps(now);
      if (now >= nextMeasure) {
        nodes_.measure();
        maxStoreQueue_ = std::max(maxStoreQueue_, store_.calls().queued);
        nextMeasure = now + kMeasureInterval;
      }
      if (now >= nextWaits) {
        nodes_.measureWaits(now, nodeWaits_);
        nextWaits = now + kMeasureWaitsInterval;
      }
      std::this_thread::sleep_for(kPollInterval);
    }
  }

  /** Injects all faults. @return the end of the last one. */
  TimePoint injectFaults() {
    runUntil([this](TimePoint) { return faults_.isOver(); });
    const std::lock_guard lock(world_.mutex());
    world_.afterLastFault();
    return steadyNow();
  }

  void stopTraffic() {
    {
      const std::lock_guard lock(world_.mutex());
      world_.stopTraffic();
    }
    std::this_thread::sleep_for(kWindDown);
  }

  Result<SoakResult, SoakError> evaluate(TimePoint start, TimePoint faultsOver, TimePoint end) {
    nodes_.endAll();
    const std::lock_guard lock(world_.mutex());
    SoakResult result;
    result.callers = world_.totals();
    if (result.callers.asked < kMinRequests) {
      return SoakError::kNoTraffic;
    }
    result.runs = world_.runs();
    result.lostOnLinks = world_.lostOnLinks();
    result.probes = world_.routes().probes();
    result.versions = world_.routes().version();
    result.longestConfigurationDelay = world_.routes().longestDelay();
    result.longestDrainDelay = world_.longestDrainDelay();
    result.faults = faults_.counts();
    result.planned = planned_;
    result.seconds = world_.seconds();
    result.longestStarvation = world_.loadWatch().longestStarvation();
    result.longestPause = world_.longestPause();
    result.maxStoreQueue = maxStoreQueue_;
    result.waits = nodeWaits_.waits();
    const std::vector<Wait>& own = world_.pauses().waits();
    result.waits.insert(result.waits.end(), own.begin(), own.end());
    result.startedAt = world_.promises().start();
    result.maxOpenFlows = world_.maxOpenFlows();
    result.recoveriesEvaluated = world_.loadWatch().recoveriesEvaluated();
    checkRecovery(start, faultsOver, end, result);
    checkNodes(end - start, result);
    for (uint8_t index = 0; index < static_cast<uint8_t>(Promise::kCount); ++index) {
      const auto promise = static_cast<Promise>(index);
      if (world_.promises().count(promise) > 0) {
        result.broken[promise] = world_.promises().count(promise);
      }
    }
    result.violations = world_.promises().firstViolations();
    return result;
  }

  void checkRecovery(TimePoint start, TimePoint faultsOver, TimePoint end, SoakResult& result) {
    const auto secondOf = [start](TimePoint at) {
      return std::chrono::ceil<std::chrono::seconds>(at - start).count();
    };
    SecondCounts evaluated;
    for (const auto& [second, counts] : result.seconds) {
      if (second >= secondOf(faultsOver + plan_.bounds().recovery) && second < secondOf(end)) {
        evaluated.asked += counts.asked;
        evaluated.served += counts.served;
      }
    }
    result.servedAfterRecovery = evaluated.asked == 0 ? 0.0
                                                      : static_cast<double>(evaluated.served) /
                                                            static_cast<double>(evaluated.asked);
    if (result.servedAfterRecovery < kServedAfterRecovery) {
      world_.promises().recordViolation(end, Promise::kRecovery,
                                        "served " + std::to_string(result.servedAfterRecovery) +
                                            " of " + std::to_string(evaluated.asked));
    }
  }

  void checkNodes(Duration length, SoakResult& result) {
    const NodeLimits limits;
    const double seconds = std::chrono::duration<double>(length).count();
    for (size_t node = 0; node < plan_.nodes().size(); ++node) {
      const NodePeak& peak = nodes_.peaks()[node];
      const std::string& name = plan_.nodes()[node].name;
      result.nodePeak.memoryMegabytes =
          std::max(result.nodePeak.memoryMegabytes, peak.memoryMegabytes);
      result.nodePeak.descriptors = std::max(result.nodePeak.descriptors, peak.descriptors);
      result.nodePeak.processCount = std::max(result.nodePeak.processCount, peak.processCount);
      std::ifstream file(nodes_.logFile(node));
      const LogSummary log = summarizeLog(file);
      result.logLines += log.lines;
      const TimePoint now = steadyNow();
      if (!isWithin(limits, peak)) {
        world_.promises().recordViolation(now, Promise::kBoundedNodes, name);
      }
      if (!isReadable(limits, log, peak.processCount, seconds)) {
        world_.promises().recordViolation(now, Promise::kReadableLogs,
                                          name + ": " + log.firstUnreadable);
      }
    }
  }

  const SoakOptions options_;
  const DeploymentPlan plan_;
  test::StandinStore store_;
  SoakWorld world_;
  NodeProcesses nodes_;
  FaultInjector faults_;
  std::vector<Fault> planned_;
  WaitWatch nodeWaits_;
  uint64_t maxStoreQueue_ = 0;
};

}  // namespace

std::string_view toString(SoakDay day) {
  switch (day) {
    case SoakDay::kMixed:
      return "mixed";
    case SoakDay::kShortSilences:
      return "short_silences";
    case SoakDay::kAbsences:
      return "absences";
  }
  return "unknown";
}

std::optional<SoakDay> soakDayNamed(std::string_view name) {
  for (const SoakDay day : {SoakDay::kMixed, SoakDay::kShortSilences, SoakDay::kAbsences}) {
    if (toString(day) == name) {
      return day;
    }
  }
  return std::nullopt;
}

std::string_view toString(SoakError error) {
  switch (error) {
    case SoakError::kNotReady:
      return "not_ready";
    case SoakError::kNoTraffic:
      return "no_traffic";
  }
  return "unknown";
}

Result<SoakResult, SoakError> runSoak(const SoakOptions& options) {
  return Soak(options).run();
}

}  // namespace umberhold::soak
