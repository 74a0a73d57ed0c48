/** @file Properties of weighted rendezvous hashing: proportionality, minimal disruption and a
 * complete ranking. */
#include <rapidcheck.h>

#include <algorithm>
#include <cmath>
#include <set>
#include <vector>

#include "common/base/hash.h"
#include "common/placement/base_table.h"
#include "common/placement/rendezvous.h"

// Last, because its macros replace operator new; the plugin's header needs the harness before it.
// clang-format off
#include <CppUTest/TestHarness.h>
#include <CppUTest/MemoryLeakWarningPlugin.h>
// clang-format on

using namespace umberhold;

namespace {

constexpr uint64_t kFlows = 20000;

std::vector<BaseHost> makeHosts(const std::vector<uint8_t>& weights) {
  std::vector<BaseHost> hosts;
  for (size_t index = 0; index < weights.size(); ++index) {
    hosts.push_back({HostId{mixHash(77, index)}, weights[index]});
  }
  return hosts;
}

FlowHash flowOf(uint64_t number) {
  return FlowHash{mixHash(number, 12345)};
}

std::vector<uint8_t> randomWeights() {
  const auto size = *rc::gen::inRange<size_t>(1, 20);
  return *rc::gen::container<std::vector<uint8_t>>(size, rc::gen::arbitrary<uint8_t>());
}

}  // namespace

TEST_GROUP(Rendezvous){
    // rapidcheck allocates statics lazily, which leak detection reports as leaks.
    void setup() override{IGNORE_ALL_LEAKS_IN_TEST();
}
}
;

TEST(Rendezvous, LogarithmMatchesTheMathLibrary) {
  CHECK(rc::check("negativeLog2 is within a millionth", [] {
    const auto hash = *rc::gen::arbitrary<uint64_t>();
    const double expected = 64.0 - std::log2(static_cast<double>(hash | 1U));
    const double actual = std::ldexp(static_cast<double>(negativeLog2(hash)), -32);
    RC_ASSERT(std::abs(actual - expected) < 1e-6);
  }));
}

TEST(Rendezvous, WalkVisitsEveryHostWithNonzeroWeightOnceInKeyOrder) {
  CHECK(rc::check("walk is a ranking", [] {
    const auto hosts = makeHosts(randomWeights());
    const FlowHash flow{*rc::gen::arbitrary<uint64_t>()};
    RendezvousWalk walk(hosts, flow);
    std::vector<RendezvousKey> keys;
    for (size_t index = walk.next(); index < hosts.size(); index = walk.next()) {
      keys.push_back(rendezvousKey(hosts[index].host, hosts[index].weight, flow));
    }
    const auto weighted = std::count_if(hosts.begin(), hosts.end(),
                                        [](const BaseHost& host) { return host.weight > 0; });
    RC_ASSERT(keys.size() == static_cast<size_t>(weighted));
    RC_ASSERT(std::is_sorted(keys.begin(), keys.end()));
    RC_ASSERT(std::adjacent_find(keys.begin(), keys.end()) == keys.end());
  }));
}

TEST(Rendezvous, RemovingAHostMovesOnlyItsFlows) {
  CHECK(rc::check("minimal movement", [] {
    auto weights = randomWeights();
    const auto removed = *rc::gen::inRange<size_t>(0, weights.size());
    const BaseTable before(makeHosts(weights));
    weights[removed] = 0;
    const BaseTable after(makeHosts(weights));
    const HostId gone = before.hosts()[removed].host;
    for (uint64_t number = 0; number < 500; ++number) {
      const auto old = before.defaultHost(flowOf(number));
      RC_ASSERT(old == gone || old == after.defaultHost(flowOf(number)));
    }
  }));
}

TEST(Rendezvous, RaisingAWeightMovesFlowsOnlyToThatHost) {
  CHECK(rc::check("minimal movement on weights", [] {
    auto weights = randomWeights();
    const auto raised = *rc::gen::inRange<size_t>(0, weights.size());
    const BaseTable before(makeHosts(weights));
    weights[raised] = 255;
    const BaseTable after(makeHosts(weights));
    const HostId target = after.hosts()[raised].host;
    for (uint64_t number = 0; number < 500; ++number) {
      const auto now = after.defaultHost(flowOf(number));
      RC_ASSERT(now == target || now == before.defaultHost(flowOf(number)));
    }
  }));
}

TEST(Rendezvous, SharesAreProportionalToWeights) {
  CHECK(rc::check("within five standard deviations", [] {
    auto weights = randomWeights();
    weights[0] = std::max<uint8_t>(weights[0], 1);
    const BaseTable base(makeHosts(weights));
    std::vector<uint64_t> counts(weights.size());
    for (uint64_t number = 0; number < kFlows; ++number) {
      ++counts[*base.indexOf(*base.defaultHost(flowOf(number)))];
    }
    double total = 0;
    for (const uint8_t weight : weights) {
      total += weight;
    }
    for (size_t index = 0; index < weights.size(); ++index) {
      const double share = weights[index] / total;
      const double deviation = std::sqrt(kFlows * share * (1.0 - share)) + 1.0;
      RC_ASSERT(std::abs(static_cast<double>(counts[index]) - kFlows * share) < 5.0 * deviation);
    }
  }));
}

TEST(Rendezvous, ResultsAreIdenticalOnEveryPlatform) {
  // Nodes of different versions must agree: changing these values breaks rolling upgrades.
  CHECK_EQUAL(uint64_t{1} << 32U, negativeLog2(uint64_t{1} << 63U));
  CHECK_EQUAL(uint64_t{64} << 32U, negativeLog2(0));
  const BaseTable base(makeHosts({255, 128, 64, 1}));
  std::vector<uint64_t> counts(4);
  for (uint64_t number = 0; number < 1000; ++number) {
    ++counts[*base.indexOf(*base.defaultHost(flowOf(number)))];
  }
  CHECK((counts == std::vector<uint64_t>{568, 291, 139, 2}));
}

TEST_GROUP(BaseTable){};

TEST(BaseTable, VersionDependsOnWeightsButNotOnOrder) {
  auto hosts = makeHosts({10, 20, 30});
  const BaseTable base(hosts);
  std::reverse(hosts.begin(), hosts.end());
  CHECK_EQUAL(base.version(), BaseTable(hosts).version());
  hosts[0].weight = 31;
  CHECK(base.version() != BaseTable(hosts).version());
}

TEST(BaseTable, HasNoDefaultHostIfAllWeightsAreZero) {
  CHECK(!BaseTable(makeHosts({0, 0})).defaultHost(flowOf(1)).has_value());
  CHECK(!BaseTable().defaultHost(flowOf(1)).has_value());
}
