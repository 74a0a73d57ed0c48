/**
 * @file Health endpoints that mislead, at several owners: what they do to the balance of hosts.
 *
 * The base table of an OwnerGroup never changes, so that health alone is at work.
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
/** One more than half of the hosts: the panic threshold is passed. */
constexpr size_t kMostHosts = 8;
constexpr size_t kSomeHosts = 6;
constexpr Duration kSettling = std::chrono::seconds(120);
constexpr Duration kSecond = std::chrono::seconds(1);
/** Imbalance that 3,000 flows must not pass in steady state. */
constexpr double kWorstSteady = 1.05;

OwnerGroupOptions workload(double meanLifeSeconds, uint64_t seed) {
  OwnerGroupOptions options;
  options.hosts = kHosts;
  options.meanLifeSeconds = meanLifeSeconds;
  options.seed = seed;
  return options;
}

void sayAll(OwnerGroup& group, size_t first, size_t count, bool healthy) {
  for (size_t host = first; host < first + count; ++host) {
    group.sayHealthy(host, healthy);
  }
}

/** @return new flows that the first hosts were given so far. */
uint64_t openings(const OwnerGroup& group, size_t count) {
  uint64_t sum = 0;
  for (size_t host = 0; host < count; ++host) {
    sum += group.openingsOn(host);
  }
  return sum;
}

/** @return the mean and the worst imbalance of every second of the time. */
struct Imbalance {
  double mean = 0.0;
  double worst = 0.0;
};

Imbalance watch(OwnerGroup& group, int seconds) {
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

TEST(MisleadingHealth, HostsThatStopSayingUnhealthyAreInBalanceAtOnce) {
  for (const double life : {8.0, 60.0}) {
    for (const uint64_t seed : {1, 2, 3}) {
      OwnerGroup group(workload(life, seed));
      group.run(kSettling);
      sayAll(group, 1, kMostHosts, false);
      group.run(std::chrono::seconds(60));
      sayAll(group, 1, kMostHosts, true);
      const Imbalance after = watch(group, 60);
      CHECK_COMPARE(after.worst, <, kWorstSteady);
    }
  }
}

/**
 * The time is shorter than two intervals of LoadShare: an owner that hears of the others' hosts so
 * late sees too few of them unhealthy at once to panic, and fills the rest.
 */
TEST(MisleadingHealth, ALieShorterThanTwoSharesFillsNoHost) {
  for (const uint64_t seed : {1, 2, 3, 4, 5, 6, 7, 8, 9, 10}) {
    OwnerGroup group(workload(8.0, seed));
    group.run(kSettling + std::chrono::seconds(seed));  // Shares are due at another moment of it.
    sayAll(group, 1, kMostHosts, false);
    group.run(std::chrono::seconds(12));
    sayAll(group, 1, kMostHosts, true);
    group.run(std::chrono::seconds(12));
    CHECK_COMPARE(group.imbalance(), <, 1.15);
  }
}

TEST(MisleadingHealth, WhileMostHostsSayUnhealthyAllTakeFlowsEvenly) {
  OwnerGroup group(workload(8.0, 1));
  group.run(kSettling);
  sayAll(group, 1, kMostHosts, false);
  group.run(std::chrono::seconds(30));
  CHECK_COMPARE(watch(group, 30).mean, <, kWorstSteady);
  CHECK_EQUAL(0U, group.refused());
}

TEST(MisleadingHealth, OneHostThatAloneSaysHealthyGetsItsPartOnly) {
  OwnerGroup group(workload(8.0, 1));
  group.run(kSettling);
  sayAll(group, 1, kHosts - 1, false);
  double most = 0.0;
  for (int second = 0; second < 60; ++second) {
    group.run(kSecond);
    most = std::max(most, group.flowsOn(0) / group.meanFlows());
  }
  CHECK_COMPARE(most, <, 1.5);
  CHECK_EQUAL(0U, group.refused());
}

TEST(MisleadingHealth, AHostThatFlapsTakesFlowsFromNoOther) {
  OwnerGroup group(workload(8.0, 1));
  group.run(kSettling);
  for (int round = 0; round < 6; ++round) {
    group.sayHealthy(4, round % 2 != 0);
    const Imbalance seen = watch(group, 20);
    CHECK_COMPARE(seen.mean, <, 1.12);
  }
}

/** Owners share counts rarely where few flows come and go; news of health must not wait for that.
 */
TEST(MisleadingHealth, AllOwnersOfAQuietServiceLearnSoonThatAHostIsOut) {
  OwnerGroupOptions quiet = workload(10000.0, 1);
  quiet.flows = 15000.0;
  OwnerGroup group(quiet);
  group.run(std::chrono::seconds(315));  // Shares were due 5 s ago: the next are far.
  sayAll(group, 0, kSomeHosts, false);
  group.run(std::chrono::seconds(20));
  const uint64_t before = openings(group, kSomeHosts);
  group.run(std::chrono::seconds(300));
  CHECK_EQUAL(before, openings(group, kSomeHosts));
}

TEST(MisleadingHealth, AHostThatComesBackFromTheDeadStillWarmsUp) {
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
