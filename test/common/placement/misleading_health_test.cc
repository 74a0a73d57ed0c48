/**
 * @file Effect of misleading health endpoints on the load balance, with several owners.
 *
 * The base table of an OwnerGroup never changes, so health is the only cause of imbalance.
 */
#include <algorithm>
#include <vector>

#include "owner_group.h"

// Last, because its macros replace operator new.
#include <CppUTest/TestHarness.h>

using namespace umberhold;
using namespace umberhold::test;

namespace {

constexpr size_t kHosts = 15;
/** More than half of the hosts: above the panic threshold. */
constexpr size_t kMajority = 8;
constexpr size_t kMinority = 6;
constexpr Duration kSettling = std::chrono::seconds(120);
constexpr Duration kSecond = std::chrono::seconds(1);
/** Maximum imbalance of 3,000 flows in steady state. */
constexpr double kMaxSteadyImbalance = 1.05;

OwnerGroupOptions workload(double meanLifeSeconds, uint64_t seed) {
  OwnerGroupOptions options;
  options.hosts = kHosts;
  options.meanLifeSeconds = meanLifeSeconds;
  options.seed = seed;
  return options;
}

void setAllHealthy(OwnerGroup& group, size_t first, size_t count, bool healthy) {
  for (size_t host = first; host < first + count; ++host) {
    group.setHealthy(host, healthy);
  }
}

/** @return the number of new flows given to the first `count` hosts so far. */
uint64_t openings(const OwnerGroup& group, size_t count) {
  uint64_t sum = 0;
  for (size_t host = 0; host < count; ++host) {
    sum += group.openingsOn(host);
  }
  return sum;
}

/** Mean and maximum of the imbalance, sampled every second. */
struct Imbalance {
  double mean = 0.0;
  double worst = 0.0;
};

Imbalance measureImbalance(OwnerGroup& group, int seconds) {
  Imbalance seen;
  for (int second = 0; second < seconds; ++second) {
    group.run(kSecond);
    seen.mean += group.imbalance() / seconds;
    seen.worst = std::max(seen.worst, group.imbalance());
  }
  return seen;
}

}  // namespace

TEST_GROUP(MisleadingHealth){};

TEST(MisleadingHealth, RecoveredHostsAreBalancedImmediately) {
  for (const double life : {8.0, 60.0}) {
    for (const uint64_t seed : {1, 2, 3}) {
      OwnerGroup group(workload(life, seed));
      group.run(kSettling);
      setAllHealthy(group, 1, kMajority, false);
      group.run(std::chrono::seconds(60));
      setAllHealthy(group, 1, kMajority, true);
      const Imbalance after = measureImbalance(group, 60);
      CHECK_COMPARE(after.worst, <, kMaxSteadyImbalance);
    }
  }
}

/**
 * The hosts are unhealthy for less than two LoadShare intervals. An owner that receives other
 * owners' health states that late sees too few hosts unhealthy at a time to reach the panic
 * threshold, and overloads the remaining hosts.
 */
TEST(MisleadingHealth, UnhealthyReportsShorterThanTwoShareIntervalsOverloadNoHost) {
  for (const uint64_t seed : {1, 2, 3, 4, 5, 6, 7, 8, 9, 10}) {
    OwnerGroup group(workload(8.0, seed));
    group.run(kSettling +
              std::chrono::seconds(seed));  // Varies the phase of the LoadShare interval.
    setAllHealthy(group, 1, kMajority, false);
    group.run(std::chrono::seconds(12));
    setAllHealthy(group, 1, kMajority, true);
    group.run(std::chrono::seconds(12));
    CHECK_COMPARE(group.imbalance(), <, 1.15);
  }
}

TEST(MisleadingHealth, BalancesOverAllHostsWhileMostReportUnhealthy) {
  OwnerGroup group(workload(8.0, 1));
  group.run(kSettling);
  setAllHealthy(group, 1, kMajority, false);
  group.run(std::chrono::seconds(30));
  CHECK_COMPARE(measureImbalance(group, 30).mean, <, kMaxSteadyImbalance);
  CHECK_EQUAL(0U, group.refused());
}

TEST(MisleadingHealth, SingleHealthyHostGetsOnlyItsShare) {
  OwnerGroup group(workload(8.0, 1));
  group.run(kSettling);
  setAllHealthy(group, 1, kHosts - 1, false);
  double maxShare = 0.0;
  for (int second = 0; second < 60; ++second) {
    group.run(kSecond);
    maxShare = std::max(maxShare, group.flowsOn(0) / group.meanFlows());
  }
  CHECK_COMPARE(maxShare, <, 1.5);
  CHECK_EQUAL(0U, group.refused());
}

TEST(MisleadingHealth, FlappingHostDoesNotUnbalanceOthers) {
  OwnerGroup group(workload(8.0, 1));
  group.run(kSettling);
  for (int round = 0; round < 6; ++round) {
    group.setHealthy(4, round % 2 != 0);
    const Imbalance seen = measureImbalance(group, 20);
    CHECK_COMPARE(seen.mean, <, 1.12);
  }
}

/** Owners share counts rarely if few flows are opened and closed; health changes must not be
 * delayed by that.
 */
TEST(MisleadingHealth, HealthChangesReachAllOwnersOfAQuietServiceQuickly) {
  OwnerGroupOptions quiet = workload(10000.0, 1);
  quiet.flows = 15000.0;
  OwnerGroup group(quiet);
  group.run(std::chrono::seconds(315));  // Shares were due 5 s ago, so the next ones are far off.
  setAllHealthy(group, 0, kMinority, false);
  group.run(std::chrono::seconds(20));
  const uint64_t before = openings(group, kMinority);
  group.run(std::chrono::seconds(300));
  CHECK_EQUAL(before, openings(group, kMinority));
}

TEST(MisleadingHealth, RestartedHostGetsSlowStart) {
  OwnerGroup group(workload(8.0, 1));
  group.run(kSettling);
  group.stopHost(4);
  group.run(std::chrono::seconds(60));
  group.startHost(4);
  group.run(std::chrono::seconds(15));
  CHECK_COMPARE(group.flowsOn(4), <, 0.7 * group.meanFlows());
  group.run(std::chrono::seconds(60));
  CHECK_COMPARE(group.flowsOn(4), >, 0.9 * group.meanFlows());
}
