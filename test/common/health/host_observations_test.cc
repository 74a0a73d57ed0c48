/**
 * @file Aggregation of the host observations of a zone's nodes, and rejection of invalid reports.
 */
#include "common/health/host_observations.h"

#include <string>

#include "common/health/observation_exchange.h"
#include "common/wire/codec.h"

#include <CppUTest/TestHarness.h>

namespace umberhold {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr uint32_t kSlowHost = 7;
constexpr uint32_t kUsualHost = 8;

}  // namespace

TEST_GROUP(HostObservations) {
  TimePoint now{seconds(1000)};
  ZoneObservations zone;
  uint64_t sequence = 0;

  HostReport report(uint64_t reporter, uint32_t token, uint32_t percent) {
    return {reporter, ++sequence, {{token, 1, percent}}, {}};
  }
  ReportOutcome merge(uint64_t reporter, uint32_t token, uint32_t percent) {
    return zone.merge(now, report(reporter, token, percent));
  }
};

TEST(HostObservations, ReturnsAHostThatSeveralNodesReportAsSlow) {
  for (uint64_t reporter = 1; reporter <= 4; ++reporter) {
    merge(reporter, kSlowHost, 450);
    merge(reporter, kUsualHost, 110);
  }
  now += milliseconds(300);
  const auto slowHosts = zone.slowHosts(now);
  LONGS_EQUAL(1, slowHosts.size());
  LONGS_EQUAL(kSlowHost, slowHosts[0].token);
  LONGS_EQUAL(310, slowHosts[0].percentOfUsual);  // (2 + 3 x 4.5) / (2 + 3)
  LONGS_EQUAL(300, slowHosts[0].ageMilliseconds);
}

TEST(HostObservations, SingleNodeEjectsNoHostHoweverOftenItReports) {
  for (int count = 0; count < 50; ++count) {
    merge(1, kSlowHost, 500);
    now += milliseconds(10);
  }
  CHECK_TRUE(zone.slowHosts(now).empty());
}

TEST(HostObservations, SingleFaultyNodeEjectsNoHost) {
  for (uint64_t reporter = 1; reporter <= 6; ++reporter) {
    merge(reporter, kSlowHost, reporter == 1 ? 500 : 100);
  }
  CHECK_TRUE(zone.slowHosts(now).empty());
}

TEST(HostObservations, DropsOldReports) {
  merge(1, kSlowHost, 500);
  merge(2, kSlowHost, 500);
  LONGS_EQUAL(1, zone.slowHosts(now).size());
  now += seconds(4);
  CHECK_TRUE(zone.slowHosts(now).empty());
}

TEST(HostObservations, AcceptsAReportOnceAndNoOlderOne) {
  const HostReport first = report(1, kSlowHost, 500);
  const HostReport second = report(1, kSlowHost, 100);
  CHECK_TRUE(zone.merge(now, second) == ReportOutcome::kAccepted);
  CHECK_TRUE(zone.merge(now, second) == ReportOutcome::kRepeated);
  CHECK_TRUE(zone.merge(now, first) == ReportOutcome::kRepeated);
  now += seconds(4);  // A replaced node may start again with a lower sequence number.
  CHECK_TRUE(zone.merge(now, first) == ReportOutcome::kAccepted);
}

TEST(HostObservations, RejectsValuesOutOfRange) {
  CHECK_TRUE(zone.merge(now, {1, 1, {{kSlowHost, 1, 501}}, {}}) == ReportOutcome::kInvalid);
  CHECK_TRUE(zone.merge(now, {1, 2, {{kSlowHost, 0, 300}}, {}}) == ReportOutcome::kInvalid);
  HostReport tooLong{1, 3, {}, {}};
  for (uint32_t token = 0; token <= kMaxReportedHosts; ++token) {
    tooLong.hosts.push_back({token + 1, 1, 100});
  }
  CHECK_TRUE(zone.merge(now, tooLong) == ReportOutcome::kInvalid);
  CHECK_TRUE(merge(1, kSlowHost, 500) == ReportOutcome::kAccepted);
}

TEST(HostObservations, ReturnsABoundedNumberSlowestFirst) {
  for (uint32_t token = 1; token <= 600; ++token) {
    for (uint64_t reporter = 1; reporter <= 2; ++reporter) {
      merge(reporter, token, token == 77 ? 500 : 400);
    }
  }
  const auto slowHosts = zone.slowHosts(now);
  LONGS_EQUAL(kMaxSlowHosts, slowHosts.size());
  LONGS_EQUAL(77, slowHosts[0].token);
}

TEST(HostObservations, ReportContainsMeansOfABoundedNumberOfHosts) {
  SampleCollector collector(5);
  collector.add({{kSlowHost, 2.0}, {kSlowHost, 1000.0}, {kUsualHost, 1.0}});
  const HostReport report = collector.takeReport(now);
  LONGS_EQUAL(5, report.reporter);
  LONGS_EQUAL(2, report.hosts.size());
  for (const HostObservation& seen : report.hosts) {
    LONGS_EQUAL(seen.token == kSlowHost ? 350 : 100, seen.percentOfUsual);
    LONGS_EQUAL(seen.token == kSlowHost ? 2 : 1, seen.requests);
  }
  CHECK_TRUE(collector.takeReport(now).hosts.empty());
  std::vector<HostSample> many;
  for (uint32_t token = 1; token <= 1000; ++token) {
    many.push_back({token, 1.0});
  }
  collector.add(many);
  LONGS_EQUAL(kMaxReportedHosts, collector.takeReport(now).hosts.size());
}

TEST(HostObservations, ReportContainsProcessingTimesOfUnqueuedRequests) {
  SampleCollector collector(5);
  collector.add({{kSlowHost, 2.0, 1.0}, {kSlowHost, 2.0, 4.0}, {kSlowHost, 9.0, std::nullopt}});
  collector.add({{kUsualHost, 1.0, std::nullopt}});
  for (const HostObservation& seen : collector.takeReport(now).hosts) {
    LONGS_EQUAL(seen.token == kSlowHost ? 200 : 0, seen.workPercent);
  }
  CHECK_TRUE(zone.merge(now, {1, 1, {{kSlowHost, 1, 100, 401}}, {}}) == ReportOutcome::kInvalid);
}

TEST(HostObservations, QueryingNodeReceivesSpeeds) {
  ObservationExchange exchange("front-1");
  for (uint64_t reporter = 1; reporter <= 6; ++reporter) {
    const HostReport report{reporter, 1, {{kSlowHost, 2, 100, 200}}, {}};
    exchange.merge(now, valueOf(encodeHostReport(report)));
  }
  const auto speeds = exchange.zoneUpdate(now).speeds;
  LONGS_EQUAL(1, speeds.size());
  LONGS_EQUAL(kSlowHost, speeds[0].token);
  CHECK_TRUE(speeds[0].percentOfUsual < 60);
}

TEST(HostObservations, SpeedsFitIntoTheSpaceLeftBySlowHosts) {
  LONGS_EQUAL(kMaxLearnedSpeeds, maxSpeedsBeside(0));
  LONGS_EQUAL(12, maxSpeedsBeside(kMaxSlowHosts - 10));
  LONGS_EQUAL(0, maxSpeedsBeside(kMaxSlowHosts));
  const auto bytesOf = [](size_t slowHosts, size_t speeds) {
    PeerChanges changes;
    uint64_t number = 0;  // Tokens that cannot be compressed.
    for (size_t index = 0; index < slowHosts; ++index) {
      changes.slowHosts.push_back({flowTokenOf(++number), 500, 3000});
    }
    for (size_t index = 0; index < speeds; ++index) {
      changes.speeds.push_back({flowTokenOf(++number), 400, 127});
    }
    return valueOf(encodePeerChanges(changes)).size();
  };
  constexpr size_t kSlowHostBytes = 12;
  constexpr size_t kListHeads = 4;
  const size_t most = bytesOf(0, 0) + kListHeads + kSlowHostBytes * kMaxSlowHosts;
  for (size_t slowHosts = 0; slowHosts <= kMaxSlowHosts; ++slowHosts) {
    CHECK_TRUE(bytesOf(slowHosts, maxSpeedsBeside(slowHosts)) <= most);
  }
}

TEST(HostObservations, QueriedNodeAddsItsOwnSamples) {
  ObservationExchange exchange("front-1");
  const auto encoded = encodeHostReport({1, 1, {{kSlowHost, 1, 500}}, {}});
  exchange.merge(now, valueOf(encoded));
  CHECK_TRUE(exchange.zoneUpdate(now).slowHosts.empty());
  exchange.add(now, {{kSlowHost, 5.0}}, {});
  const auto update = exchange.takeUpdate();
  CHECK_TRUE(update.has_value());
  LONGS_EQUAL(1, update->slowHosts.size());
  CHECK_FALSE(exchange.takeUpdate().has_value());
}

TEST(HostObservations, RejectsAReportOnTheLivenessOfTooManyHosts) {
  HostReport tooLong{1, 1, {}, {}};
  tooLong.livenessReports.resize(kMaxLivenessReports + 1);
  CHECK_TRUE(zone.merge(now, tooLong) == ReportOutcome::kInvalid);
}

TEST(HostObservations, MissingAcknowledgementTriggersAnUrgentReport) {
  ObservationExchange exchange("front-1");
  int urgent = 0;
  exchange.setUrgentCallback([&] { ++urgent; });
  exchange.add(now, {}, {{kSlowHost, now, 0, {}, {}, {}}});
  LONGS_EQUAL(0, urgent);
  exchange.add(now, {}, {{kSlowHost, now, 1, {11}, now, now}});
  LONGS_EQUAL(1, urgent);
  LONGS_EQUAL(1, exchange.takeReport(now).livenessReports.size());
}

TEST(HostObservations, QueriedNodeReturnsHostsSilentToItAndAnother) {
  ObservationExchange exchange("front-1");
  const HostReport other{1, 1, {}, {{kSlowHost, kNeverAnswered, 2, {11}, 600}}};
  exchange.merge(now, valueOf(encodeHostReport(other)));
  CHECK_TRUE(exchange.zoneUpdate(now).silentHosts.empty());
  exchange.add(now, {}, {{kSlowHost, std::nullopt, 1, {12}, now - milliseconds(300), now}});
  const auto update = exchange.takeUpdate();
  CHECK_TRUE(update.has_value());
  LONGS_EQUAL(1, update->silentHosts.size());
  LONGS_EQUAL(600, update->silentHosts[0].silentMilliseconds);
}

TEST(HostObservations, MalformedReportIsCountedAndIgnored) {
  ObservationExchange exchange("front-1");
  exchange.merge(now, "no report");
  exchange.merge(now, std::string(3000, '\x91'));
  LONGS_EQUAL(2, exchange.counters()[static_cast<size_t>(ReportOutcome::kMalformed)]);
  CHECK_TRUE(exchange.zoneUpdate(now).slowHosts.empty());
}

}  // namespace umberhold
