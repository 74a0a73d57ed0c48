/** @file Stateful fuzzing of regions against the oracle. */
#include <rapidcheck.h>

#include "region_fuzzer.h"

// Included last because its macros replace operator new.
#include <CppUTest/TestHarness.h>

using namespace umberhold;

namespace {

constexpr uint32_t kAmpleLimit = 2000;
constexpr uint32_t kScarceLimit = 60;
constexpr size_t kMaxSteps = 8;

rc::Gen<std::vector<FuzzStep>> stepsUpTo(int disturbances) {
  const auto step = rc::gen::build<FuzzStep>(
      rc::gen::set(&FuzzStep::disturbance,
                   rc::gen::map(rc::gen::inRange(0, disturbances),
                                [](int number) { return static_cast<Disturbance>(number); })),
      rc::gen::set(&FuzzStep::target, rc::gen::inRange<uint32_t>(0, 100)),
      rc::gen::set(&FuzzStep::milliseconds, rc::gen::inRange<uint32_t>(0, 5000)));
  return rc::gen::mapcat(rc::gen::inRange<size_t>(1, kMaxSteps), [step](size_t count) {
    return rc::gen::container<std::vector<FuzzStep>>(count, step);
  });
}

}  // namespace

TEST_GROUP(RegionFuzzing){};

TEST(RegionFuzzing, PlannedChangesBreakNoTcpFlow) {
  // rapidcheck keeps lazily initialised statics.
  IGNORE_ALL_LEAKS_IN_TEST();
  CHECK(rc::check("planned, TCP", [] {
    const auto steps = *stepsUpTo(kPlannedDisturbances);
    const auto limit = *rc::gen::element(kAmpleLimit, kScarceLimit);
    RegionFuzzer fuzzer(*rc::gen::inRange<uint64_t>(0, 1000000), TransportProtocol::kTcp, limit);
    fuzzer.run(steps);
    RC_ASSERT(fuzzer.region().oracle().established() > 100U);
    RC_ASSERT(fuzzer.region().oracle().violations().empty());
    RC_ASSERT(fuzzer.region().shardsWithOneOwner() == 3U);
  }));
}

TEST(RegionFuzzing, PlannedChangesBreakNoUdpFlow) {
  IGNORE_ALL_LEAKS_IN_TEST();
  CHECK(rc::check("planned, UDP", [] {
    const auto steps = *stepsUpTo(kPlannedDisturbances);
    RegionFuzzer fuzzer(*rc::gen::inRange<uint64_t>(0, 1000000), TransportProtocol::kUdp,
                        kAmpleLimit);
    fuzzer.run(steps);
    RC_ASSERT(fuzzer.region().oracle().established() > 100U);
    // kNewOnDraining is not checked: docs/DESIGN.md describes when a UDP packet cannot be
    // distinguished from one of an existing flow.
    RC_ASSERT(fuzzer.region().oracle().broken() == 0U);
    RC_ASSERT(fuzzer.region().shardsWithOneOwner() == 3U);
  }));
}

TEST(RegionFuzzing, FaultsCauseNoWrongRefusalAndNoShardWithoutOwner) {
  IGNORE_ALL_LEAKS_IN_TEST();
  CHECK(rc::check("unplanned, TCP", [] {
    const auto steps = *stepsUpTo(kAllDisturbances);
    const auto limit = *rc::gen::element(kAmpleLimit, kScarceLimit);
    RegionFuzzer fuzzer(*rc::gen::inRange<uint64_t>(0, 1000000), TransportProtocol::kTcp, limit);
    fuzzer.run(steps);
    RC_ASSERT(fuzzer.everyShardGetsOneOwner());
    RC_ASSERT(fuzzer.count(Violation::Kind::kRefusedThenForwarded) == 0U);
    RC_ASSERT(fuzzer.count(Violation::Kind::kForwardedThenRefused) == 0U);
  }));
}
