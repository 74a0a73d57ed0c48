/** @file New flows avoid slow hosts and slow zones. */
#include "common/token/flow_placement.h"

#include <map>
#include <string>

#include <CppUTest/TestHarness.h>

namespace umberhold {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

HostSpec makeHost(uint64_t number, const std::string& zone) {
  HostSpec host;
  host.name = "h-" + std::to_string(number);
  host.endpoint = {0x0A800000 + static_cast<uint32_t>(number), 8080};
  host.zone = zone;
  host.incarnation = number;
  return host;
}

}  // namespace

TEST_GROUP(FlowPlacement) {
  RandomSource random{11};
  TimePoint now{seconds(1000)};
  TokenHosts hosts{seconds(60)};
  PlacementOptions options;

  /** Hosts 1 to `own` are in bole, the others in piassa. */
  void setHosts(uint64_t own, uint64_t other) {
    std::vector<HostSpec> listed;
    for (uint64_t number = 1; number <= own + other; ++number) {
      listed.push_back(makeHost(number, number <= own ? "bole" : "piassa"));
    }
    hosts.setPool(now, {"dispatch", listed}, 1);
  }
  TokenHost& host(uint64_t number) {
    return *hosts.find(flowTokenOf(number));
  }
  void answer(uint64_t number, double ratio, int count = 12) {
    for (int index = 0; index < count; ++index) {
      host(number).estimate.onResponse(now, ratio);
    }
  }
  void scoreZone(const std::string& zone, double ratio) {
    ResponseScore& score =
        hosts.findPool("dispatch")->zones.try_emplace(zone, kZoneSampleWeight).first->second;
    for (int index = 0; index < 50; ++index) {
      score.add(now, ratio);
    }
  }
  /** @return flows by incarnation. */
  std::map<uint64_t, int> place(int count) {
    FlowPlacement placement("bole", options, random);
    std::map<uint64_t, int> placed;
    for (int index = 0; index < count; ++index) {
      TokenHost* chosen = placement.place(now, *hosts.findPool("dispatch"), 0);
      chosen->estimate.onOpening(now);
      ++placed[chosen->spec.incarnation];
    }
    return placed;
  }
};

TEST(FlowPlacement, SendsFewNewFlowsToAMuchSlowerHost) {
  setHosts(5, 0);
  answer(1, 5.0, 30);
  for (uint64_t number = 2; number <= 5; ++number) {
    answer(number, 1.0);
  }
  auto placed = place(1000);
  CHECK_TRUE(placed[1] * 15 < placed[2]);
}

/** 10 hosts with 2 slots in each zone; the node is one of 10 nodes of its zone. */
TEST(FlowPlacement, PrefersOwnZoneUntilItsSlotsAreFull) {
  setHosts(10, 10);
  for (uint64_t number = 1; number <= 20; ++number) {
    host(number).spec.slots = 2;
  }
  RequestsUnderWay& requestsInFlight = hosts.findPool("dispatch")->requestsInFlight;
  const auto ownPart = [&](double requestsPerSlot) {
    requestsInFlight = RequestsUnderWay{};
    // Relative to this node's share of 20 slots.
    requestsInFlight.onEnded(now, std::chrono::duration_cast<Duration>(
                                      std::chrono::duration<double>(2.0 * requestsPerSlot)));
    FlowPlacement placement("bole", options, random);
    placement.setZoneNodes(10);
    int own = 0;
    for (int index = 0; index < 1000; ++index) {
      own += placement.place(now, *hosts.findPool("dispatch"), 0)->spec.zone == "bole" ? 1 : 0;
    }
    return own / 1000.0;
  };
  DOUBLES_EQUAL(1.0, ownPart(0.2), 1e-9);
  DOUBLES_EQUAL(1.0, ownPart(0.69), 1e-9);
  DOUBLES_EQUAL(0.75, ownPart(1.4),
                0.05);  // Half is preferred, and half of the remainder stays here too.
  DOUBLES_EQUAL(0.5, ownPart(70.0), 0.05);
  options.fullZoneLoad = 1000.0;
  DOUBLES_EQUAL(1.0, ownPart(70.0), 1e-9);
}

TEST(FlowPlacement, NeverTreatsAHostWithUnknownSlotsAsFull) {
  setHosts(2, 2);
  hosts.findPool("dispatch")->requestsInFlight.onEnded(now, seconds(100));
  auto placed = place(100);
  LONGS_EQUAL(100, placed[1] + placed[2]);
}

TEST(FlowPlacement, SendsFlowsInProportionToSpeed) {
  setHosts(3, 0);
  host(1).speed.update(now, {1.8, 20});
  host(2).speed.update(now, {0.6, 20});
  host(3).speed.update(now, {0.6, 20});
  auto placed = place(1000);
  DOUBLES_EQUAL(600, placed[1], 10);
  DOUBLES_EQUAL(200, placed[2], 10);
}

TEST(FlowPlacement, TreatsUnknownSpeedAsUsual) {
  setHosts(3, 0);
  host(1).speed.update(now, {2.0, 20});
  auto placed = place(1000);
  DOUBLES_EQUAL(500, placed[1], 10);
  DOUBLES_EQUAL(250, placed[3], 10);
  now += seconds(61);  // The speed has not been updated and has expired.
  placed = place(900);
  DOUBLES_EQUAL(300, placed[1], 20);
}

TEST(FlowPlacement, IgnoresSpeedsWhenDisabled) {
  options.learnsSpeeds = false;
  setHosts(3, 0);
  host(1).speed.update(now, {2.0, 20});
  LONGS_EQUAL(300, place(900)[1]);
}

/**
 * The fast half of the pool drains at peak load: half of the pool is left by number of hosts, but
 * only a quarter by speed. Cold new hosts receive their allotments in addition.
 */
TEST(FlowPlacement, ReplacesDrainedHostsByCapacityNotByCount) {
  setHosts(4, 4);
  for (uint64_t number = 1; number <= 8; ++number) {
    host(number).speed.update(now, {number <= 2 ? 1.5 : 0.5, 20});
  }
  // The own zone has 4 of 6 parts of the capacity, more than an equal share, so all of its flows
  // stay.
  auto placed = place(1000);
  DOUBLES_EQUAL(750, placed[1] + placed[2], 15);
  host(1).spec.state = HostState::kDraining;
  host(2).spec.state = HostState::kDraining;
  placed = place(1000);
  LONGS_EQUAL(0, placed[1] + placed[2]);
  // 1 of 3 parts is here, while an equal share is a half, so two thirds stay.
  DOUBLES_EQUAL(667, placed[3] + placed[4], 50);
}

/**
 * A third of a pool restarts at peak load: the remaining hosts take its flows in proportion to
 * their speeds, and a restarted host begins at the usual speed.
 */
TEST(FlowPlacement, FillsRemainingHostsBySpeedDuringARollout) {
  setHosts(9, 0);
  const auto speedOf = [](uint64_t number) { return number % 3 == 0 ? 1.7 : 0.7; };
  for (uint64_t number = 1; number <= 9; ++number) {
    host(number).speed.update(now, {speedOf(number), 20});
    host(number).spec.slots = 2;
  }
  hosts.findPool("dispatch")->requestsInFlight.onEnded(now, seconds(40));  // Twice its slots.
  place(900);
  std::vector<HostSpec> listed;
  for (uint64_t number = 4; number <= 9; ++number) {
    listed.push_back(host(number).spec);
  }
  hosts.setPool(now, {"dispatch", listed}, 2);
  now += seconds(2);
  auto placed = place(900);
  for (uint64_t number = 4; number <= 9; ++number) {
    DOUBLES_EQUAL(900 * speedOf(number) / 6.2, placed[number], 0.05 * 900);
  }
  HostSpec again = makeHost(101, "bole");
  again.endpoint = makeHost(1, "bole").endpoint;
  listed.push_back(again);
  hosts.setPool(now, {"dispatch", listed}, 3);
  DOUBLES_EQUAL(0.0, host(101).speed.value(now).samples, 1e-9);
  DOUBLES_EQUAL(1.0, host(101).speed.value(now).speed, 1e-9);
}

TEST(FlowPlacement, ReportsSlownessAndRecoveryOnceEach) {
  setHosts(3, 0);
  FlowPlacement placement("bole", options, random);
  const auto changes = [&] {
    placement.place(now, *hosts.findPool("dispatch"), 0);
    placement.place(now, *hosts.findPool("dispatch"), 0);
    return placement.takeSlownessChanges();
  };
  CHECK_TRUE(changes().empty());
  answer(2, 5.0);
  const auto slow = changes();
  LONGS_EQUAL(1, slow.size());
  STRCMP_EQUAL("h-2", slow[0].host.c_str());
  CHECK_TRUE(slow[0].slow);
  CHECK_TRUE(slow[0].slowness > 2.2);
  now += seconds(10);
  const auto usual = changes();
  LONGS_EQUAL(1, usual.size());
  CHECK_FALSE(usual[0].slow);
}

TEST(FlowPlacement, ScalesTheLoadOfModeratelySlowHosts) {
  setHosts(5, 0);
  answer(1, 1.7);
  auto placed = place(1000);
  CHECK_TRUE(placed[1] > 50);
  CHECK_TRUE(placed[1] < placed[2] * 6 / 10);
}

TEST(FlowPlacement, IgnoresTheUsualSpreadOfResponseTimes) {
  setHosts(5, 0);
  answer(1, 1.15);
  answer(2, 0.9);
  auto placed = place(1000);
  LONGS_EQUAL(200, placed[1]);
  LONGS_EQUAL(200, placed[2]);
}

TEST(FlowPlacement, RetriesASlowHostAfterTimeWithoutSamples) {
  setHosts(5, 0);
  answer(1, 5.0, 30);
  const int during = place(200)[1];
  now += seconds(15);
  CHECK_TRUE(place(200)[1] > 3 * during);
}

TEST(FlowPlacement, UsesSharedScoresWithoutOwnSamples) {
  setHosts(5, 0);
  host(1).estimate.onShared(now, 4.0);
  auto placed = place(1000);
  CHECK_TRUE(placed[1] * 8 < placed[2]);
}

TEST(FlowPlacement, OwnSamplesOutweighSharedScores) {
  setHosts(5, 0);
  answer(1, 1.0);
  host(1).estimate.onShared(now, 4.0);
  LONGS_EQUAL(20, place(100)[1]);
  answer(2, 5.0, 30);
  host(2).estimate.onShared(now, 1.0);
  auto placed = place(1000);
  CHECK_TRUE(placed[2] * 15 < placed[3]);
}

TEST(FlowPlacement, KeepsUsingBothHostsOfAPoolOfTwo) {
  setHosts(2, 0);
  answer(1, 5.0, 30);
  CHECK_TRUE(place(100)[2] > 90);
  answer(2, 5.0, 30);
  CHECK_TRUE(place(200)[1] > 90);
}

TEST(FlowPlacement, AvoidsNoHostIfAllAreSlow) {
  setHosts(5, 0);
  for (uint64_t number = 1; number <= 5; ++number) {
    answer(number, 5.0);
  }
  auto placed = place(100);
  for (uint64_t number = 1; number <= 5; ++number) {
    LONGS_EQUAL(20, placed[number]);
  }
}

TEST(FlowPlacement, StaysInOwnZoneWithUsualResponseTimes) {
  setHosts(3, 3);
  scoreZone("bole", 1.25);
  auto placed = place(300);
  LONGS_EQUAL(3, placed.size());
  CHECK_TRUE(placed.contains(1));
}

TEST(FlowPlacement, MovesSomeFlowsAwayFromASlowZone) {
  setHosts(3, 3);
  scoreZone("bole", 2.0);
  auto placed = place(1000);
  const int stayed = placed[1] + placed[2] + placed[3];
  CHECK_TRUE(stayed > 300);
  CHECK_TRUE(stayed < 550);
}

TEST(FlowPlacement, StaysInOwnZoneIfAllZonesAreSlow) {
  setHosts(3, 3);
  scoreZone("bole", 3.0);
  scoreZone("piassa", 3.0);
  auto placed = place(300);
  LONGS_EQUAL(300, placed[1] + placed[2] + placed[3]);
}

TEST(FlowPlacement, EachMechanismCanBeDisabled) {
  options = {false, 1000.0, 1000.0};
  setHosts(3, 3);
  answer(1, 5.0);
  scoreZone("bole", 5.0);
  auto placed = place(600);
  for (uint64_t number = 1; number <= 6; ++number) {
    LONGS_EQUAL(100, placed[number]);
  }
}

TEST(FlowPlacement, AvoidsAnEvacuatedZoneUntilItReturns) {
  setHosts(3, 3);
  FlowPlacement placement("bole", options, random);
  const TokenPool& pool = *hosts.findPool("dispatch");
  placement.setEvacuatedZones({{"bole"}});
  for (int index = 0; index < 30; ++index) {
    // Retransmitted openings avoid the zone as well.
    STRCMP_EQUAL("piassa", placement.place(now, pool, flowTokenOf(4))->spec.zone.c_str());
  }
  placement.setEvacuatedZones({{"bole", "piassa"}});
  POINTERS_EQUAL(nullptr, placement.place(now, pool, 0));
  placement.setEvacuatedZones({});
  STRCMP_EQUAL("bole", placement.place(now, pool, 0)->spec.zone.c_str());
}

}  // namespace umberhold
