/** @file Detection of hosts that are silent to all nodes of a zone. */
#include "common/health/zone_silence.h"

#include "common/health/observation_exchange.h"
#include "common/wire/codec.h"

#include <CppUTest/TestHarness.h>

namespace umberhold {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr uint32_t kHost = 7;

}  // namespace

TEST_GROUP(ZoneSilence) {
  TimePoint now{seconds(1000)};
  ZoneSilence zone;

  /** Reports retransmissions of one caller's data, first sent `ago` milliseconds earlier. */
  void reportSilence(uint64_t reporter, uint32_t caller, uint32_t copies, uint32_t ago) {
    zone.merge(now, reporter, {{kHost, kNeverAnswered, copies, {caller}, ago}});
  }
  void reportAnswer(uint64_t reporter, uint32_t ago) {
    zone.merge(now, reporter, {{kHost, ago, 0, {}, 0}});
  }
};

TEST(ZoneSilence, ReturnsAHostSilentToTwoNodes) {
  reportAnswer(3, 900);
  reportSilence(1, 11, 2, 600);
  CHECK_TRUE(zone.silentHosts(now).empty());
  reportSilence(2, 12, 1, 300);
  const auto silent = zone.silentHosts(now);
  LONGS_EQUAL(1, silent.size());
  LONGS_EQUAL(kHost, silent[0].token);
  LONGS_EQUAL(600, silent[0].silentMilliseconds);
}

TEST(ZoneSilence, IgnoresASingleNodeHoweverManyCallersItReports) {
  for (int round = 0; round < 20; ++round) {
    zone.merge(now, 1, {{kHost, kNeverAnswered, 50, {1, 2, 3}, 900}});
    now += milliseconds(100);
  }
  CHECK_TRUE(zone.silentHosts(now).empty());
}

TEST(ZoneSilence, IgnoresASingleCallerHoweverManyNodesReportIt) {
  for (uint64_t reporter = 1; reporter <= 5; ++reporter) {
    reportSilence(reporter, 11, 3, 900);
  }
  CHECK_TRUE(zone.silentHosts(now).empty());
}

TEST(ZoneSilence, IgnoresTwoLostPackets) {
  reportSilence(1, 11, 1, 300);
  reportSilence(2, 12, 1, 300);
  CHECK_TRUE(zone.silentHosts(now).empty());
}

/**
 * Guards against resets of working flows: callers of all nodes retransmit during one pause of a
 * host.
 */
TEST(ZoneSilence, AShortSilenceNamesNobodyHoweverManyFindIt) {
  for (uint64_t reporter = 1; reporter <= 5; ++reporter) {
    reportSilence(reporter, 10 + static_cast<uint32_t>(reporter), 2, 499);
  }
  CHECK_TRUE(zone.silentHosts(now).empty());
  now += milliseconds(300);
  // The reports are no evidence about the time after them.
  CHECK_TRUE(zone.silentHosts(now).empty());
  reportSilence(1, 11, 2, 799);
  CHECK_TRUE(zone.silentHosts(now).empty());
  reportSilence(2, 12, 2, 799);
  // The host may have answered the others since their last reports.
  CHECK_TRUE(zone.silentHosts(now).empty());
  for (uint64_t reporter = 3; reporter <= 5; ++reporter) {
    reportSilence(reporter, 10 + static_cast<uint32_t>(reporter), 2, 799);
  }
  LONGS_EQUAL(1, zone.silentHosts(now).size());
}

TEST(ZoneSilence, AnswerToAnyNodeEndsSilence) {
  reportSilence(1, 11, 2, 600);
  reportSilence(2, 12, 2, 500);
  LONGS_EQUAL(1, zone.silentHosts(now).size());
  reportAnswer(3, 100);
  CHECK_TRUE(zone.silentHosts(now).empty());
  // Data sent before the answer is no longer evidence, even if it is reported again.
  now += milliseconds(100);
  reportSilence(1, 11, 3, 700);
  reportSilence(2, 12, 3, 600);
  CHECK_TRUE(zone.silentHosts(now).empty());
}

TEST(ZoneSilence, DelayedReportDoesNotExtendSilencePastAnAnswer) {
  reportAnswer(3, 0);
  now += milliseconds(90);
  // Both were sent 50 ms before the answer, but their reports took 90 ms longer.
  reportSilence(1, 11, 2, 50);
  reportSilence(2, 12, 2, 50);
  CHECK_TRUE(zone.silentHosts(now).empty());
}

TEST(ZoneSilence, DropsExpiredReports) {
  reportSilence(1, 11, 2, 600);
  reportSilence(2, 12, 2, 500);
  now += seconds(4);
  CHECK_TRUE(zone.silentHosts(now).empty());
}

TEST(ZoneSilence, NodeWithdrawsItsReport) {
  reportSilence(1, 11, 2, 600);
  reportSilence(2, 12, 2, 500);
  zone.merge(now, 2, {{kHost, kNeverAnswered, 0, {}, 0}});
  CHECK_TRUE(zone.silentHosts(now).empty());
}

TEST(ZoneSilence, ReturnsABoundedNumber) {
  for (uint32_t token = 1; token <= 1000; ++token) {
    zone.merge(now, 1, {{token, kNeverAnswered, 2, {11}, 600}});
    zone.merge(now, 2, {{token, kNeverAnswered, 2, {12}, 600}});
  }
  LONGS_EQUAL(kMaxSilentHosts, zone.silentHosts(now).size());
}

/** Nodes that lost contact with their reader ask another node, which hears only them. */
TEST(ZoneSilence, AFewNodesOfAZoneNameNobody) {
  zone.setZoneNodes(6);
  reportSilence(1, 11, 2, 600);
  reportSilence(2, 12, 2, 600);
  CHECK_TRUE(zone.silentHosts(now).empty());
  zone.merge(now, 3, {});
  CHECK_TRUE(zone.silentHosts(now).empty());
  zone.merge(now, 4, {});
  LONGS_EQUAL(1, zone.silentHosts(now).size());
}

/** A node reports answers only once a second, so its last report may be older than they are. */
TEST(ZoneSilence, NamesNoHostThatANodeMayHaveHeardSinceItsLastReport) {
  reportAnswer(3, 0);
  now += milliseconds(850);
  reportSilence(1, 11, 2, 650);
  reportSilence(2, 12, 2, 600);
  CHECK_TRUE(zone.silentHosts(now).empty());
  now += milliseconds(150);
  reportAnswer(3, 20);
  CHECK_TRUE(zone.silentHosts(now).empty());
}

/** A reader merges its own answers only once a second. */
TEST(ZoneSilence, TheReadersOwnAnswerEndsASilenceBeforeItIsNamed) {
  ObservationExchange reader("a-1");
  uint64_t sequence = 0;
  const auto report = [&](uint64_t reporter, std::vector<HostLivenessReport> hosts) {
    reader.merge(now, valueOf(encodeHostReport({reporter, ++sequence, {}, std::move(hosts)})));
  };
  report(1, {});
  reader.add(now, {}, {});
  now += milliseconds(700);
  reader.add(now, {}, {{kHost, now, 0, {}, {}, {}}});
  now += milliseconds(50);
  report(1, {{kHost, kNeverAnswered, 2, {11}, 700}});
  report(2, {{kHost, kNeverAnswered, 2, {12}, 650}});
  CHECK_TRUE(reader.zoneUpdate(now).silentHosts.empty());
}

/** Guards against resets at a host that is reachable again, but that nobody talks to. */
TEST(ZoneSilence, ASilenceIsNamedNoLongerThanThreeSecondsAfterItsLastCopy) {
  AckStateCollector collectors[2];
  for (uint32_t number = 0; number < 2; ++number) {
    collectors[number].add({{kHost, std::nullopt, 2, {11 + number}, now - milliseconds(600), now}});
  }
  for (int elapsed = 0; elapsed <= 8000; elapsed += 300) {
    for (uint32_t number = 0; number < 2; ++number) {
      zone.merge(now, number + 1, collectors[number].take(now));
    }
    const auto silent = zone.silentHosts(now);
    LONGS_EQUAL(elapsed <= 3000 ? 1 : 0, silent.size());
    CHECK_TRUE(silent.empty() || silent[0].copyAgoMilliseconds == static_cast<uint32_t>(elapsed));
    now += milliseconds(300);
  }
}

/** The reader keeps a report of silence for 3 s, unless a later one withdraws it. */
TEST(ZoneSilence, AnswerIsReportedAgainIfTheReportWasLost) {
  ObservationExchange node("c-9");
  node.add(now, {}, {{kHost, std::nullopt, 2, {11, 12}, now - milliseconds(600), now}});
  LONGS_EQUAL(1, node.takeReport(now).livenessReports.size());
  node.onPeerUpdate({});
  now += milliseconds(200);
  node.add(now, {}, {{kHost, now, 0, {}, {}, {}}});
  LONGS_EQUAL(1, node.takeReport(now).livenessReports.size());
  // No onPeerUpdate(): the call timed out on a full link.
  now += seconds(1);
  const HostReport next = node.takeReport(now);
  LONGS_EQUAL(1, next.livenessReports.size());
  LONGS_EQUAL(0, next.livenessReports[0].copies);
}

TEST(ZoneSilence, AnswersToOtherNodesDoNotReplaceALostReport) {
  ObservationExchange node("c-9");
  node.add(now, {}, {{kHost, now, 0, {}, {}, {}}});
  LONGS_EQUAL(1, node.takeReport(now).livenessReports.size());
  // The call was lost; meanwhile another node asks this one.
  node.zoneUpdate(now);
  LONGS_EQUAL(1, node.takeReport(now).livenessReports.size());
}

TEST(ZoneSilence, CollectorWithdrawsLaterWhatDidNotFitIntoAReport) {
  AckStateCollector collector;
  std::vector<HostAckState> states;
  for (uint32_t token = 1; token <= kMaxLivenessReports + 1; ++token) {
    states.push_back({token, std::nullopt, 1, {11}, now, now});
  }
  collector.add(states);
  collector.take(now);
  collector.take(now);
  for (HostAckState& state : states) {
    state = {state.token, now, 0, {}, {}, {}};
  }
  collector.add(states);
  LONGS_EQUAL(kMaxLivenessReports, collector.take(now).size());
  LONGS_EQUAL(1, collector.take(now).size());
}

TEST(ZoneSilence, CollectorRepeatsSilentHostsFirstAndReportsAnswersOnce) {
  AckStateCollector collector;
  std::vector<HostAckState> states;
  for (uint32_t token = 1; token <= 2 * kMaxLivenessReports; ++token) {
    states.push_back({token, now, 0, {}, {}, {}});
  }
  states.push_back({5000, std::nullopt, 2, {11, 12}, now - milliseconds(400), now});
  collector.add(states);
  now += milliseconds(100);
  const auto first = collector.take(now);
  LONGS_EQUAL(kMaxLivenessReports, first.size());
  LONGS_EQUAL(5000, first[0].token);
  LONGS_EQUAL(500, first[0].silentMilliseconds);
  LONGS_EQUAL(kNeverAnswered, first[0].answeredAgoMilliseconds);
  LONGS_EQUAL(2, first[0].callers.size());
  LONGS_EQUAL(100, first[1].answeredAgoMilliseconds);
  // The answer that did not fit, and the silent host again.
  LONGS_EQUAL(2, collector.take(now).size());
  LONGS_EQUAL(1, collector.take(now).size());
  now += seconds(4);
  collector.take(now);  // The last retransmission is too old to be reported again.
  CHECK_TRUE(collector.take(now).empty());
}

}  // namespace umberhold
