/** @file Tests of ServicePlacement. */
#include "common/placement/service_placement.h"

#include <memory>
#include <string>
#include <vector>

#include "common/base/hash.h"

// Last, because its macros replace operator new.
#include <CppUTest/TestHarness.h>

using namespace umberhold;

namespace {

constexpr TimePoint kStart{std::chrono::seconds(1000)};

Service makeService(size_t hosts, uint32_t limit, uint16_t shards) {
  Service service;
  service.name = "dispatch";
  service.shardCount = shards;
  for (size_t index = 0; index < hosts; ++index) {
    HostSpec host;
    host.name = "host" + std::to_string(index);
    host.probe = Endpoint{0x7F000001, static_cast<uint16_t>(9000 + index)};
    host.connectionLimit = limit;
    service.hosts.push_back(host);
  }
  return service;
}

const ServiceId kService = serviceIdOf("dispatch");
HostId hostAt(size_t index) {
  return hostIdOf(kService, "host" + std::to_string(index));
}
FlowHash flowOf(uint64_t number) {
  return FlowHash{mixHash(number, 4711)};
}

}  // namespace

TEST_GROUP(ServicePlacement) {
  ExceptionBudget budget;
  Service service = makeService(4, 2000, 1);
  ShardId shard{kService, 0};
  std::unique_ptr<ServicePlacement> placement;
  BaseTable base;

  void setup() override {
    start(service);
  }
  void start(const Service& configured) {
    service = configured;
    placement =
        std::make_unique<ServicePlacement>(kStart, service, ServicePlacementOptions{}, budget, 1);
    placement->shardOwned(kStart, shard, {});
    base = BaseTable(placement->currentBase());
  }
  PlacementChoice choose(uint64_t number, PlacementMode mode = PlacementMode::kNormal) {
    return placement->choose(kStart, shard, flowOf(number), base, mode);
  }
  /** Places `count` flows. @return how many of them were placed on the host. */
  int place(int count, size_t host, TimePoint now = kStart) {
    int found = 0;
    for (int number = 0; number < count; ++number) {
      const auto choice =
          placement->choose(now, shard, flowOf(next++), base, PlacementMode::kNormal);
      const auto* chosen = std::get_if<ChosenHost>(&choice);
      if (chosen != nullptr) {
        placement->flowAdded(shard, chosen->host);
        found += chosen->host == hostAt(host) ? 1 : 0;
      }
    }
    return found;
  }
  void probe(size_t host, bool healthy, int times) {
    for (int time = 0; time < times; ++time) {
      placement->onProbe(kStart, {kService, hostAt(host), healthy, false, 0});
    }
  }
  uint64_t next = 0;
};

TEST(ServicePlacement, DrainingHostGetsNoNewFlowsButKeepsEstablishedOnes) {
  service.hosts[1].state = HostState::kDraining;
  service.hosts[1].drainDeadline = 500;
  placement->updateService(kStart, service);
  CHECK_EQUAL(0, place(500, 1));
  CHECK(!placement->isAdmissible(kStart, shard, hostAt(1)));
  CHECK(placement->mayKeepFlows(hostAt(1), 499));
  CHECK(!placement->mayKeepFlows(hostAt(1), 500));
  CHECK(!placement->mayKeepFlows(hostAt(9), 0));
}

TEST(ServicePlacement, UnhealthyHostGetsNoNewFlows) {
  probe(2, false, 3);
  CHECK_EQUAL(0, place(500, 2));
}

TEST(ServicePlacement, PlacesFlowsIfAllHostsAreUnhealthy) {
  for (size_t host = 0; host < 4; ++host) {
    probe(host, false, 3);
  }
  CHECK(place(400, 0) > 0);
}

TEST(ServicePlacement, FullServiceRefusesAsSaturated) {
  start(makeService(2, 3, 1));
  place(6, 0);
  const auto choice = choose(1000);
  CHECK(std::holds_alternative<NoAdmissibleHost>(choice));
  CHECK(std::get<NoAdmissibleHost>(choice).saturated);
  placement->flowRemoved(shard, hostAt(0));
  CHECK(std::get<ChosenHost>(choose(1000)).host == hostAt(0));
}

TEST(ServicePlacement, RefusalWithoutActiveHostsIsNotSaturation) {
  for (HostSpec& host : service.hosts) {
    host.state = HostState::kDraining;
  }
  placement->updateService(kStart, service);
  CHECK(!std::get<NoAdmissibleHost>(choose(1)).saturated);
}

TEST(ServicePlacement, BaseOnlyUsesTheBaseHostOrRefuses) {
  probe(0, false, 3);
  int refused = 0;
  for (uint64_t number = 0; number < 200; ++number) {
    const auto choice = choose(number, PlacementMode::kBaseOnly);
    const auto expected = base.defaultHost(flowOf(number));
    if (expected == hostAt(0)) {
      CHECK(!std::get<NoAdmissibleHost>(choice).saturated);
      ++refused;
      continue;
    }
    CHECK(std::get<ChosenHost>(choice).host == *expected);
    CHECK(!std::get<ChosenHost>(choice).isException);
  }
  CHECK(refused > 0);
}

TEST(ServicePlacement, EmptyBudgetKeepsFlowsOnTheBaseHost) {
  for (int count = 0; count < 200; ++count) {
    budget.spend(kStart);
  }
  for (uint64_t number = 0; number < 300; ++number) {
    const auto chosen = std::get<ChosenHost>(choose(number));
    CHECK(chosen.host == *base.defaultHost(flowOf(number)));
    placement->flowAdded(shard, chosen.host);
  }
}

/** A host of weight 0 gets no new flows. */
TEST(ServicePlacement, DistributesNewFlowsByWeight) {
  placement->setWeights({255, 0, 128, 128});
  base = BaseTable(placement->currentBase());
  const int first = place(1000, 0);
  CHECK(first > 480);
  CHECK(first < 560);
  CHECK_EQUAL(0, place(200, 1));
}

TEST(ServicePlacement, ColdHostIsNotOverloaded) {
  place(1200, 0);
  Service grown = makeService(5, 2000, 1);
  placement->updateService(kStart, grown);
  const int early = place(60, 4, kStart + std::chrono::seconds(3));
  CHECK(early <= 40);
  CHECK(place(60, 4, kStart + std::chrono::seconds(40)) > 0);
}

TEST(ServicePlacement, PropagatesHealthAndLoadByLoadShare) {
  start(makeService(4, 2000, 2));
  ServicePlacement other(kStart, service, ServicePlacementOptions{}, budget, 2);
  const ShardId second{kService, 1};
  other.shardOwned(kStart, second, {});
  for (int time = 0; time < 3; ++time) {
    other.onProbe(kStart, {kService, hostAt(1), false, false, 0});
  }
  other.onProbe(kStart, {kService, hostAt(3), true, true, 70});
  other.flowAdded(second, hostAt(3));
  for (const LoadShare& share : other.makeLoadShare(kStart, second, 1)) {
    placement->onLoadShare(kStart, share);
  }
  CHECK(!placement->isAdmissible(kStart, shard, hostAt(1)));
  const auto views = placement->hostViews(kStart);
  CHECK_EQUAL(1, views[3].flows);
  DOUBLES_EQUAL(0.7, views[3].load, 1e-6);
  CHECK(!views[1].healthy);
  CHECK_EQUAL(3, placement->serviceView(kStart).healthyHosts);
}

TEST(ServicePlacement, LoadSharesFitIntoDatagramsAndAreRareForAQuietShard) {
  start(makeService(200, 2000, 2));
  CHECK(!placement->loadShareDue(kStart + std::chrono::seconds(11), shard));
  placement->flowAdded(shard, hostAt(0));
  CHECK(placement->loadShareDue(kStart + std::chrono::seconds(11), shard));
  size_t hosts = 0;
  for (const LoadShare& share : placement->makeLoadShare(kStart, shard, 1)) {
    CHECK(share.hosts.size() <= 48);
    hosts += share.hosts.size();
  }
  CHECK_EQUAL(200, hosts);
  CHECK(!placement->loadShareDue(kStart + std::chrono::seconds(11), shard));
  CHECK(placement->loadShareDue(kStart + std::chrono::seconds(61), shard));
}

TEST(ServicePlacement, HandsPermitsOverInAPlannedMove) {
  start(makeService(1, 10, 2));
  const ShardId second{kService, 1};
  ServicePlacement other(kStart, service, ServicePlacementOptions{}, budget, 2);
  other.shardOwned(kStart, second, {{hostAt(0), 0, {}, {}}});
  placement->shardReleased(kStart, shard);
  placement->shardOwned(kStart, shard, {{hostAt(0), 0, {}, {}}});
  CHECK_EQUAL(5, place(20, 0));
  TimePoint now = kStart;
  int borrowed = 0;
  for (int round = 0; round < 10; ++round) {
    now += std::chrono::seconds(10);
    for (const auto& outgoing : placement->duePermitRequests(now)) {
      CHECK(outgoing.to == second);
      placement->onPermitGrant(now, *other.onPermitRequest(now, outgoing.request));
    }
    borrowed += place(20, 0);
  }
  CHECK(borrowed >= 3);
  ServicePlacement successor(kStart, service, ServicePlacementOptions{}, budget, 3);
  successor.shardOwned(now, shard, placement->handOverPermits(shard));
  successor.flowAdded(shard, hostAt(0), FlowOrigin::kAdopted);
  int taken = 0;
  for (uint64_t number = 0; number < 20; ++number) {
    const bool admissible = successor.isAdmissible(now, shard, hostAt(0));
    taken += admissible ? 1 : 0;
    if (admissible) {
      successor.flowAdded(shard, hostAt(0));
    }
    if (other.isAdmissible(now, second, hostAt(0))) {
      other.flowAdded(second, hostAt(0));
      ++taken;
    }
  }
  CHECK_EQUAL(10, 5 + borrowed + taken);
}
