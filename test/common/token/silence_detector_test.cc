/** @file Verdicts on silent hosts and the evidence reported for the log. */
#include "common/token/silence_detector.h"

#include <string>

#include <CppUTest/TestHarness.h>

namespace umberhold {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr uint32_t kHosts = 4;
/** What other hosts answer at least during a silence for it to count. */
constexpr int kAnswers = 10;
constexpr milliseconds kAnswerInterval{50};

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
   * Leaves data of three callers unacknowledged for this long; they retransmit at the end. The last
   * transmission before was sent `missed` after the first. Meanwhile host 2 answers.
   */
  void fallSilent(uint64_t number, milliseconds length, milliseconds missed = milliseconds(500)) {
    const TimePoint sentAt = now;
    for (int answer = 0; answer < kAnswers; ++answer) {
      detector.onAnswered(sentAt + answer * kAnswerInterval, flowTokenOf(2),
                          sentAt + answer * kAnswerInterval);
    }
    now += length;
    for (uint32_t caller = 1; caller <= 2; ++caller) {
      host(number).silence.onCopy(now, sentAt, sentAt, caller);
    }
    host(number).silence.onCopy(now, sentAt, sentAt + missed, 3);
  }
};

TEST(SilenceDetector, ReportsADeadHostOnceWithEvidence) {
  host(1).silence.onAnswered(now);
  now += milliseconds(100);
  fallSilent(1, milliseconds(700));
  detector.onAnswered(now, flowTokenOf(2), now - milliseconds(100));
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

/** Guards against resets at a host that is reachable again, but that nobody talks to. */
TEST(SilenceDetector, AVerdictOfTheZoneEndsThreeSecondsAfterTheLastCopyThatShowsIt) {
  now += seconds(10);
  LONGS_EQUAL(1, detector.onZoneSilent(now, {{flowTokenOf(1), 4000, 2900}}).size());
  CHECK_TRUE(host(1).isDead(now + milliseconds(99)));
  CHECK_FALSE(host(1).isDead(now + milliseconds(100)));
  CHECK_TRUE(detector.onZoneSilent(now, {{flowTokenOf(3), 9000, 3000}}).empty());
  CHECK_FALSE(host(3).isDead(now));
}

/** Guards against resets of working flows: callers retransmit 200 ms after sending their data. */
TEST(SilenceDetector, IgnoresRetransmissionsFromOneShortPause) {
  fallSilent(1, milliseconds(700), milliseconds(499));
  detector.onAnswered(now, flowTokenOf(2), now);
  CHECK_TRUE(detector.onCopy(now, host(1)).empty());
  host(1).silence.onCopy(now, now, now - milliseconds(200), 1);
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

/** Guards against resets of working flows by a node whose own link is full. */
TEST(SilenceDetector, RequiresAnswersOfOtherHostsDuringTheSilence) {
  const TimePoint sentAt = now;
  now += milliseconds(900);
  for (uint32_t caller = 1; caller <= 3; ++caller) {
    host(1).silence.onCopy(now, sentAt, sentAt, caller);
    host(1).silence.onCopy(now, sentAt, sentAt + milliseconds(600), caller);
  }
  detector.onAnswered(now, flowTokenOf(2), now);
  CHECK_TRUE(detector.onCopy(now, host(1)).empty());
  for (int answer = 0; answer < kAnswers; ++answer) {
    CHECK_TRUE(detector.onCopy(now, host(1)).empty());
    detector.onAnswered(now, flowTokenOf(2), sentAt + answer * kAnswerInterval);
  }
  LONGS_EQUAL(1, detector.onCopy(now, host(1)).size());
}

/** Guards against resets of working flows by a node that loses packets to live hosts as well. */
TEST(SilenceDetector, WithdrawsItsEvidenceWhenItsPathTurnsOutLossy) {
  const TimePoint sentAt = now;
  fallSilent(1, milliseconds(900));
  detector.onAnswered(now, flowTokenOf(2), now);
  constexpr uint32_t kCopies = 2;
  detector.onAnswered(now, flowTokenOf(3), sentAt + milliseconds(100), kCopies);
  detector.onAnswered(now, flowTokenOf(2), now);
  CHECK_TRUE(detector.onCopy(now, host(1)).empty());
  CHECK_TRUE(detector.onZoneSilent(now, {{flowTokenOf(4), 900}}).empty());
}

TEST(SilenceDetector, DataOvertakenAtALiveHostCountsAsLost) {
  const TimePoint sentAt = now;
  fallSilent(1, milliseconds(900));
  host(3).silence.onUnprovenCopy(sentAt + milliseconds(100));
  detector.onAnswered(now, flowTokenOf(3), sentAt + milliseconds(700));
  detector.onAnswered(now, flowTokenOf(2), now);
  CHECK_TRUE(detector.onCopy(now, host(1)).empty());
}

TEST(SilenceDetector, CountsACopyOnlyIfOthersAnsweredBeforeAndAfterThePreviousOne) {
  const TimePoint sentAt = now;
  const PacketProgress copy{2, sentAt, sentAt};
  detector.recordCopy(now, host(1), copy, 7);
  detector.onAnswered(now, flowTokenOf(2), sentAt - milliseconds(100));
  detector.recordCopy(now, host(1), copy, 7);
  // The host's own answers are no evidence about other hosts.
  detector.onAnswered(now, flowTokenOf(1), sentAt + milliseconds(100));
  detector.recordCopy(now, host(1), copy, 7);
  LONGS_EQUAL(0, host(1).silence.copies());
  detector.onAnswered(now, flowTokenOf(2), sentAt + milliseconds(100));
  detector.recordCopy(now, host(1), copy, 7);
  LONGS_EQUAL(1, host(1).silence.copies());
}

TEST(SilenceDetector, RequiresNoComparisonForSilenceThatOtherNodesProved) {
  detector.onAnswered(now, flowTokenOf(2), now);
  now += seconds(2);
  CHECK_TRUE(detector.onZoneSilent(now, {{flowTokenOf(4), 1500}}).empty());
  now += milliseconds(1);
  LONGS_EQUAL(1, detector.onZoneSilent(now, {{flowTokenOf(4), 1500}}).size());
}

TEST(SilenceDetector, RequiresAMinimumNumberOfCallers) {
  const TimePoint sentAt = now;
  now += seconds(1);
  host(1).silence.onCopy(now, sentAt, sentAt, 1);
  host(1).silence.onCopy(now, sentAt, sentAt, 2);
  CHECK_TRUE(detector.onCopy(now, host(1)).empty());
}

}  // namespace umberhold
