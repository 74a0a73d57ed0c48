/** @file Properties of host selection under a load bound, and tests of the exception budget. */
#include <rapidcheck.h>

#include <cmath>
#include <vector>

#include "common/base/hash.h"
#include "common/placement/exception_budget.h"
#include "common/placement/load_bound.h"

// Last, because its macros replace operator new; the plugin's header needs the harness before it.
// clang-format off
#include <CppUTest/TestHarness.h>
#include <CppUTest/MemoryLeakWarningPlugin.h>
// clang-format on

using namespace umberhold;

namespace {

struct Situation {
  std::vector<BaseHost> hosts;
  std::vector<HostCondition> conditions;

  PlacementCandidates candidates() const { return {hosts, conditions}; }
  bool usable(size_t index) const {
    return conditions[index].admissible && hosts[index].weight > 0;
  }
};

Situation randomSituation() {
  Situation situation;
  const auto size = *rc::gen::inRange<size_t>(1, 20);
  for (size_t index = 0; index < size; ++index) {
    situation.hosts.push_back({HostId{mixHash(9, index)}, *rc::gen::arbitrary<uint8_t>()});
    const auto flows = *rc::gen::inRange<uint32_t>(0, 300);
    const bool admissible = *rc::gen::weightedElement<bool>({{3, true}, {1, false}});
    situation.conditions.push_back({admissible, static_cast<double>(flows)});
  }
  return situation;
}

OverflowRule randomRule() {
  return *rc::gen::element(OverflowRule::kNextRanked, OverflowRule::kLeastLoaded);
}

}  // namespace

TEST_GROUP(LoadBound){// rapidcheck allocates statics lazily, which leak detection reports as leaks.
                      void setup()
                          override{MemoryLeakWarningPlugin::saveAndDisableNewDeleteOverloads();
}
void teardown() override {
  MemoryLeakWarningPlugin::restoreNewDeleteOverloads();
}
}
;

TEST(LoadBound, RefusesOnlyIfNoHostIsUsable) {
  CHECK(rc::check("a usable host is found", [] {
    const Situation situation = randomSituation();
    const BaseTable base(situation.hosts);
    const FlowHash flow{*rc::gen::arbitrary<uint64_t>()};
    const auto choice = chooseUnderBound(flow, base, situation.candidates(), 1.05, randomRule());
    bool any = false;
    for (size_t index = 0; index < situation.hosts.size(); ++index) {
      any = any || situation.usable(index);
    }
    RC_ASSERT(choice.has_value() == any);
    RC_ASSERT(!choice.has_value() || situation.usable(choice->index));
  }));
}

/** With a bound of at least 1, at least one usable host is under it. */
TEST(LoadBound, ChosenHostIsNeverOverTheBound) {
  CHECK(rc::check("chosen host stays under the bound", [] {
    const Situation situation = randomSituation();
    const FlowHash flow{*rc::gen::arbitrary<uint64_t>()};
    const double bound = 1.0 + *rc::gen::inRange(0, 30) / 100.0;
    const BaseTable base(situation.hosts);
    const auto choice = chooseUnderBound(flow, base, situation.candidates(), bound, randomRule());
    RC_PRE(choice.has_value());
    double flows = 1.0;
    double weight = 0.0;
    for (size_t index = 0; index < situation.hosts.size(); ++index) {
      if (situation.usable(index)) {
        flows += situation.conditions[index].flows;
        weight += situation.hosts[index].weight;
      }
    }
    const double target = flows * situation.hosts[choice->index].weight / weight;
    RC_ASSERT(situation.conditions[choice->index].flows + 1.0 <= std::ceil(bound * target) + 1e-6);
  }));
}

TEST(LoadBound, FlagsAnExceptionIfAndOnlyIfTheBaseHostDiffers) {
  CHECK(rc::check("exception flag", [] {
    const Situation situation = randomSituation();
    auto weights = situation.hosts;
    weights[0].weight = 17;
    const BaseTable base(weights);
    const FlowHash flow{*rc::gen::arbitrary<uint64_t>()};
    const auto choice = chooseUnderBound(flow, base, situation.candidates(), 1.02, randomRule());
    RC_PRE(choice.has_value());
    const bool differs = base.defaultHost(flow) != situation.hosts[choice->index].host;
    RC_ASSERT(choice->isException == differs);
  }));
}

TEST(LoadBound, WithoutBoundChoosesTheBaseHostIfUsable) {
  CHECK(rc::check("no bound", [] {
    const Situation situation = randomSituation();
    const BaseTable base(situation.hosts);
    const FlowHash flow{*rc::gen::arbitrary<uint64_t>()};
    const auto choice = chooseUnderBound(flow, base, situation.candidates(), 0.0, randomRule());
    const auto defaultHost = base.defaultHost(flow);
    for (size_t index = 0; index < situation.hosts.size(); ++index) {
      if (situation.hosts[index].host == defaultHost && situation.usable(index)) {
        RC_ASSERT(choice.has_value());
        RC_ASSERT(choice->index == index);
      }
    }
  }));
}

TEST(LoadBound, LoosensAsTheBudgetIsUsedUp) {
  const LoadBoundOptions options;
  DOUBLES_EQUAL(options.minBound, loadBound(options, 1.0), 1e-9);
  DOUBLES_EQUAL(options.maxBound, loadBound(options, 0.0), 1e-9);
  CHECK(loadBound(options, 0.3) > loadBound(options, 0.6));
}

TEST_GROUP(ExceptionBudget) {
  const TimePoint start = TimePoint{std::chrono::seconds(100)};
};

TEST(ExceptionBudget, NeverAllowsMoreThanBurstPlusRate) {
  ExceptionBudget budget(ExceptionBudgetOptions{10.0, 20.0});
  uint32_t spent = 0;
  for (int millisecond = 0; millisecond <= 3000; ++millisecond) {
    const TimePoint now = start + std::chrono::milliseconds(millisecond);
    if (budget.available(now)) {
      budget.spend(now);
      ++spent;
    }
  }
  CHECK_EQUAL(50, spent);
}

TEST(ExceptionBudget, ForcedExceptionsTakeTheBudgetBelowZeroByABoundedAmount) {
  ExceptionBudget budget(ExceptionBudgetOptions{10.0, 20.0});
  for (int count = 0; count < 1000; ++count) {
    budget.spend(start);
  }
  DOUBLES_EQUAL(0.0, budget.fill(start), 1e-9);
  CHECK(!budget.available(start + std::chrono::milliseconds(2000)));
  CHECK(budget.available(start + std::chrono::milliseconds(2100)));
}

TEST(ExceptionBudget, IgnoresTimeGoingBackwards) {
  ExceptionBudget budget(ExceptionBudgetOptions{10.0, 1.0});
  budget.spend(start);
  CHECK(!budget.available(start - std::chrono::seconds(50)));
  CHECK(!budget.available(start));
}
