/** @file Verdicts on silent hosts and the evidence reported for the log. */
#include "common/token/silence_detector.h"

#include <string>

#include <CppUTest/TestHarness.h>

namespace umberhold {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr uint32_t kHosts = 4;

}  // namespace

TEST_GROUP(SilenceDetector) {
  TokenHosts hosts{seconds(60)};
  SilenceDetector detector{hosts};
  TimePoint now{seconds(1000)};

  void setup() override {
    HostPool pool{"dispatch", {}};
    for (uint32_t number = 1; number <= kHosts; ++number) {
      HostSpec host;
      host.name = "h-" + std::to_string(number);
      host.endpoint = {0x0A800000 + number, 8080};
      host.zone = "bole";
      host.incarnation = number;
      pool.hosts.push_back(host);
    }
    hosts.setPool(now, pool, 1);
  }
  TokenHost& host(uint64_t number) {
    return *hosts.find(flowTokenOf(number));
  }
  /**
   * Leaves data of three callers unacknowledged for this long; each retransmits once at the end.
   */
  void fallSilent(uint64_t number, milliseconds length) {
    const TimePoint sentAt = now;
    now += length;
    for (uint32_t caller = 1; caller <= 3; ++caller) {
      host(number).silence.onCopy(now, sentAt, caller);
    }
  }
};

TEST(SilenceDetector, ReportsADeadHostOnceWithEvidence) {
  host(1).silence.onAnswered(now);
  now += milliseconds(100);
  fallSilent(1, milliseconds(700));
  LONGS_EQUAL(1, detector.onCopy(now, host(1)).size());
  LONGS_EQUAL(1, detector.onCopy(now + milliseconds(10), host(1)).size());
  const auto verdicts = detector.takeVerdicts();
  LONGS_EQUAL(1, verdicts.size());
  const SilenceVerdict& verdict = verdicts[0];
  CHECK_TRUE(verdict.outcome == SilenceOutcome::kDead);
  CHECK_TRUE(verdict.source == SilenceSource::kNode);
  STRCMP_EQUAL("h-1", verdict.host.c_str());
  LONGS_EQUAL(3, verdict.callers);
  LONGS_EQUAL(3, verdict.copies);
  CHECK_TRUE(verdict.silentFor == milliseconds(700));
  CHECK_TRUE(verdict.sinceCopy == milliseconds(0));
  CHECK_TRUE(verdict.sinceAnswer == milliseconds(800));
  LONGS_EQUAL(4, verdict.active);
  LONGS_EQUAL(1, verdict.silent);
  LONGS_EQUAL(1, detector.counters()[0][0]);
}

TEST(SilenceDetector, ReportsHostsSparedBecauseTooManyAreSilent) {
  now += seconds(1);
  std::vector<SilentHost> silent;
  for (uint64_t number = 1; number <= 3; ++number) {
    silent.push_back({flowTokenOf(number), 700});
  }
  CHECK_TRUE(detector.onZoneSilent(now, silent).empty());
  const auto verdicts = detector.takeVerdicts();
  LONGS_EQUAL(3, verdicts.size());
  CHECK_TRUE(verdicts[0].outcome == SilenceOutcome::kSpared);
  CHECK_TRUE(verdicts[0].source == SilenceSource::kZone);
  CHECK_FALSE(verdicts[0].sinceAnswer.has_value());
}

/** Guards against resets of working flows: callers retransmit 200 ms after sending their data. */
TEST(SilenceDetector, IgnoresRetransmissionsFromOneShortPause) {
  fallSilent(1, milliseconds(499));
  CHECK_TRUE(detector.onCopy(now, host(1)).empty());
  now += milliseconds(1);
  LONGS_EQUAL(1, detector.onCopy(now, host(1)).size());
}

/** Guards against resets of working flows: during one slow round trip, all callers retransmit. */
TEST(SilenceDetector, RequiresAnswersOfOtherHostsToLaterData) {
  const TimePoint sentAt = now;
  fallSilent(1, milliseconds(900));
  detector.onAnswered(now, flowTokenOf(2), sentAt + milliseconds(499));
  CHECK_TRUE(detector.onCopy(now, host(1)).empty());
  CHECK_TRUE(detector.onZoneSilent(now, {{flowTokenOf(4), 900}}).empty());
  detector.onAnswered(now, flowTokenOf(2), sentAt + milliseconds(500));
  // An answer to earlier data does not withdraw evidence.
  detector.onAnswered(now, flowTokenOf(2), sentAt);
  LONGS_EQUAL(1, detector.onCopy(now, host(1)).size());
  LONGS_EQUAL(1, detector.onZoneSilent(now, {{flowTokenOf(4), 900}}).size());
  CHECK_TRUE(detector.takeVerdicts()[0].sinceOvertaking == milliseconds(400));
}

TEST(SilenceDetector, SkipsTheComparisonIfNoOtherHostAnswers) {
  detector.onAnswered(now, flowTokenOf(2), now);
  // The host's own answers are no evidence about other hosts.
  detector.onAnswered(now, flowTokenOf(1), now);
  fallSilent(1, seconds(2));
  CHECK_TRUE(detector.onCopy(now, host(1)).empty());
  now += milliseconds(1);
  LONGS_EQUAL(1, detector.onCopy(now, host(1)).size());
}

TEST(SilenceDetector, RequiresAMinimumNumberOfCallers) {
  const TimePoint sentAt = now;
  now += seconds(1);
  host(1).silence.onCopy(now, sentAt, 1);
  host(1).silence.onCopy(now, sentAt, 2);
  CHECK_TRUE(detector.onCopy(now, host(1)).empty());
}

}  // namespace umberhold
