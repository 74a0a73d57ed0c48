/** @file Flows without flow state: tokens identify hosts, and new flows are split and placed. */
#include "common/token/token_director.h"

#include <algorithm>
#include <map>
#include <string>

#include "test/common/token/token_director_fixture.h"

#include <CppUTest/TestHarness.h>

namespace umberhold {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

}  // namespace

TEST_GROUP_BASE(TokenDirector, TokenDirectorFixture){};

TEST(TokenDirector, FindsAFlowsHostByItsTokenAlone) {
  const FlowDecision opened = open(1);
  const uint32_t token = std::get<ForwardToHost>(opened).token;
  CHECK_TRUE(token != 0);
  RandomSource otherRandom{99};
  TokenDirector other{{"piassa", seconds(60)}, otherRandom};
  other.setService(makePickup({{"dispatch", 1}}));
  other.setPool(now, {"dispatch", {makeHost(2), makeHost(1)}});
  const FlowDecision followed = other.decide(now, packet(PacketPhase::kContinuing, 1, token), "");
  CHECK_EQUAL(hostOf(opened), hostOf(followed));
}

TEST(TokenDirector, HoldsPacketsWithAnUnknownToken) {
  CHECK_TRUE(isDropped(next(1, 0)));
  CHECK_TRUE(isHeld(next(1, 12345)));
  // Other hosts do not receive it, however many are added.
  director.setPool(now, {"dispatch", {makeHost(1), makeHost(2), makeHost(3)}});
  LONGS_EQUAL(0, director.takeReleased(now).size());
}

TEST(TokenDirector, KeepsOpenFlowsOfHostsThatDrainOrLeftButPlacesNoNewOnes) {
  HostSpec draining = makeHost(1);
  draining.state = HostState::kDraining;
  director.setPool(now, {"dispatch", {draining, makeHost(2)}});
  CHECK_EQUAL(20, openMany(20)[2]);
  CHECK_EQUAL(1, hostOf(next(500, flowTokenOf(1))));
  director.setPool(now, {"dispatch", {makeHost(2)}});
  now += seconds(59);
  CHECK_EQUAL(1, hostOf(next(500, flowTokenOf(1))));
  CHECK_EQUAL(20, openMany(20)[2]);
  now += seconds(2);
  director.setPool(now, {"dispatch", {makeHost(2)}});
  CHECK_TRUE(isHeld(next(500, flowTokenOf(1))));
  LONGS_EQUAL(0, director.takeReleased(now).size());
}

TEST(TokenDirector, RefusesFlowsOfAHostWhoseAddressWasReused) {
  HostSpec successor = makeHost(3);
  successor.endpoint = makeHost(1).endpoint;
  now += seconds(1);
  director.setPool(now, {"mapstore", {successor}});
  CHECK_EQUAL(1, hostOf(next(500, flowTokenOf(1))));
  director.setPool(now, {"dispatch", {makeHost(2)}});
  CHECK_TRUE(isRefused(next(500, flowTokenOf(1))));
  CHECK_EQUAL(20, openMany(20)[2]);
  CHECK_EQUAL(3, hostOf(next(501, flowTokenOf(3))));
}

TEST(TokenDirector, TreatsHostsWithOneAddressInOneListAsEquallyOld) {
  HostSpec stale = makeHost(3);
  stale.endpoint = makeHost(1).endpoint;
  director.setPool(now, {"mapstore", {stale}});
  CHECK_EQUAL(1, hostOf(next(500, flowTokenOf(1))));
  now += seconds(3);
  director.setPool(now, {"mapstore", {}});
  CHECK_EQUAL(1, hostOf(next(500, flowTokenOf(1))));
  director.setPool(now, {"dispatch", {makeHost(2)}});
  CHECK_EQUAL(1, hostOf(next(500, flowTokenOf(1))));
}

TEST(TokenDirector, SplitsNewFlowsByShare) {
  director.setPool(now, {"mapstore", {makeHost(9)}});
  director.setService(makePickup({{"dispatch", 90}, {"mapstore", 10}}));
  const int mapstore = openMany(200)[9];
  CHECK_TRUE(mapstore >= 19 && mapstore <= 21);
  director.setService(makePickup({{"dispatch", 0}, {"mapstore", 10}}));
  CHECK_EQUAL(20, openMany(20)[9]);
}

TEST(TokenDirector, PrefersHostsOfItsZoneAndSpreadsOverThem) {
  director.setPool(now, {"dispatch", {makeHost(1), makeHost(2), makeHost(3, "piassa")}});
  std::map<uint64_t, int> placed = openMany(40);
  CHECK_EQUAL(20, placed[1]);
  CHECK_EQUAL(20, placed[2]);
  director.setPool(now, {"dispatch", {makeHost(3, "piassa")}});
  now += seconds(2);
  CHECK_EQUAL(10, openMany(10)[3]);
}

TEST(TokenDirector, SendsSomeFlowsToOtherZonesIfOwnHasTooFewHosts) {
  std::vector<HostSpec> hosts = {makeHost(1)};
  for (uint64_t number = 2; number <= 4; ++number) {
    hosts.push_back(makeHost(number, "piassa"));
  }
  director.setPool(now, {"dispatch", hosts});
  const int own = openMany(400)[1];
  CHECK_TRUE(own > 160 && own < 240);
}

TEST(TokenDirector, SendsARepeatedOpeningPacketToAnotherHost) {
  const uint64_t first = hostOf(open(1));
  now += milliseconds(200);
  CHECK_TRUE(hostOf(open(1)) != first);
}

TEST(TokenDirector, SkipsASilentHostUntilItAnswers) {
  director.setPool(now, {"dispatch", {makeHost(1), makeHost(2), makeHost(3)}});
  int repeats = 0;
  while (repeats < 2) {
    if (hostOf(open(++flows)) == 1) {
      open(flows);
      ++repeats;
    }
  }
  CHECK_EQUAL(0, openMany(30)[1]);
  now += seconds(4);
  CHECK_TRUE(openMany(30)[1] > 0);
}

TEST(TokenDirector, UsesVanishedHostsBrieflyAsALastResort) {
  director.setPool(now, {"dispatch", {}});
  CHECK_TRUE(hostOf(open(1)) != 0);
  now += seconds(2);
  CHECK_TRUE(isRefused(open(2)));
}

TEST(TokenDirector, DropsOpeningsUntilThePoolIsKnown) {
  director.setService(makePickup({{"mapstore", 1}}));
  CHECK_TRUE(isDropped(open(1)));
}

TEST(TokenDirector, ReturnsThePlacementEvidence) {
  director.setPool(now, {"dispatch", {makeHost(1), makeHost(3, "piassa")}}, 12);
  now += seconds(2);  // Host 2 has left and no longer serves as a last resort.
  const auto opened = std::get<ForwardToHost>(open(1));
  CHECK_TRUE(opened.label.name == "h-1");
  CHECK_TRUE(opened.label.pool == "dispatch");
  const PlacementEvidence& evidence = *opened.placement;
  CHECK_TRUE(evidence.service == "pickup");
  CHECK_TRUE(evidence.ownZone);
  CHECK_FALSE(evidence.silent || evidence.vanished || evidence.leavesZone);
  CHECK_TRUE(evidence.avoidedHost.empty());
  LONGS_EQUAL(2, evidence.candidates);
  LONGS_EQUAL(12, evidence.poolVersion);
  CHECK_TRUE(now - evidence.poolAppliedAt == seconds(2));
  const auto repeated = std::get<ForwardToHost>(open(1));
  CHECK_TRUE(repeated.placement->avoidedHost == "h-1");
  CHECK_FALSE(repeated.placement->ownZone);
  CHECK_TRUE(std::get<ForwardToHost>(next(1, repeated.token)).placement == nullptr);
}

TEST(TokenDirector, ReturnsHostChanges) {
  HostSpec draining = makeHost(2);
  draining.state = HostState::kDraining;
  const auto kindsOf = [](const std::vector<HostChange>& changes) {
    std::string kinds;
    for (const HostChange& change : changes) {
      kinds += change.host.name + " " + std::string(toString(change.kind)) + ";";
    }
    return kinds;
  };
  STRCMP_EQUAL("",
               kindsOf(director.setPool(now, {"dispatch", {makeHost(1), makeHost(2)}})).c_str());
  STRCMP_EQUAL(
      "h-2 draining;h-3 added;",
      kindsOf(director.setPool(now, {"dispatch", {makeHost(1), draining, makeHost(3)}})).c_str());
  STRCMP_EQUAL("h-2 active;h-1 left;",
               kindsOf(director.setPool(now, {"dispatch", {makeHost(2), makeHost(3)}})).c_str());
  STRCMP_EQUAL("h-1 added;",
               kindsOf(director.setPool(now, {"dispatch", {makeHost(1), makeHost(2), makeHost(3)}}))
                   .c_str());
  LONGS_EQUAL(3, director.removePool(now, "dispatch").size());
}

TEST(TokenDirector, FindsServicesByAddressUntilRemoved) {
  CHECK_TRUE(director.find(kAddress, kPort, TransportProtocol::kTcp).has_value());
  CHECK_FALSE(director.find(kAddress, 80, TransportProtocol::kTcp).has_value());
  director.removeService("pickup");
  CHECK_FALSE(director.find(kAddress, kPort, TransportProtocol::kTcp).has_value());
}

/** Guards against resets of open flows on a service that was added again at other nodes. */
TEST(TokenDirector, ForwardsFlowsOfARemovedServiceThatMayBeBack) {
  director.setKnownAsOf(now);
  director.removeService("pickup");
  now += milliseconds(100);
  CHECK_EQUAL(1, hostOf(nextWithoutService(1, flowTokenOf(1))));
  now += milliseconds(900);
  CHECK_EQUAL(1, hostOf(nextWithoutService(1, flowTokenOf(1))));
  // No node added the service until after the first packet, so the flow had been open before.
  director.setKnownAsOf(kStart + milliseconds(100));
  CHECK_TRUE(refusalOf(nextWithoutService(1, flowTokenOf(1))) == RefusalReason::kServiceRemoved);
  CHECK_EQUAL(2, hostOf(nextWithoutService(2, flowTokenOf(2))));
}

TEST(TokenDirector, RefusesFlowsOfARemovedServiceThatItCarriedBefore) {
  CHECK_EQUAL(1, hostOf(next(1, flowTokenOf(1))));
  now += milliseconds(500);
  director.setKnownAsOf(now);
  director.removeService("pickup");
  now += milliseconds(500);
  CHECK_TRUE(refusalOf(nextWithoutService(1, flowTokenOf(1))) == RefusalReason::kServiceRemoved);
  CHECK_TRUE(refusalOf(nextWithoutService(2, 0)) == RefusalReason::kServiceRemoved);
  FlowPacket reset = withoutService(packet(PacketPhase::kReset, 1, flowTokenOf(1)));
  CHECK_TRUE(isDropped(director.decide(now, reset, "")));
}

/** Guards against stale memories of earlier flows with the same addresses. */
TEST(TokenDirector, ForgetsWhenItSawAFlowOnceItsLifeIsOver) {
  CHECK_EQUAL(1, hostOf(next(1, flowTokenOf(1))));
  director.setKnownAsOf(now);
  director.removeService("pickup");
  now += seconds(61);
  CHECK_EQUAL(1, hostOf(nextWithoutService(1, flowTokenOf(1))));
}

/** Guards against resets of flows of a host that started again under its token elsewhere. */
TEST(TokenDirector, HoldsFlowsOfAnEndedHostThatMayHaveStartedAgain) {
  CHECK_EQUAL(1, hostOf(next(1, flowTokenOf(1))));
  director.setKnownAsOf(now);
  HostSpec successor = makeHost(3);
  successor.endpoint = makeHost(1).endpoint;
  now += seconds(1);
  director.setPool(now, {"mapstore", {successor}});
  CHECK_EQUAL(1, hostOf(next(2, flowTokenOf(1))));
  director.setPool(now, {"dispatch", {makeHost(2)}});
  LONGS_EQUAL(1, director.takeResets().size());
  CHECK_TRUE(isHeld(next(2, flowTokenOf(1))));
  CHECK_TRUE(isHeld(next(3, flowTokenOf(1))));
  HostSpec restarted = makeHost(1);
  restarted.endpoint.port = 8081;
  director.setPool(now, {"dispatch", {makeHost(2), restarted}});
  LONGS_EQUAL(2, director.takeReleased(now).size());
  CHECK_EQUAL(1, hostOf(next(3, flowTokenOf(1))));
}

TEST(TokenDirector, RefusesFlowsOfAnEndedHostOnceItIsKnownToStayAway) {
  director.setKnownAsOf(now);
  HostSpec successor = makeHost(3);
  successor.endpoint = makeHost(1).endpoint;
  now += seconds(1);
  director.setPool(now, {"mapstore", {successor}});
  director.setPool(now, {"dispatch", {makeHost(2)}});
  CHECK_TRUE(isHeld(next(3, flowTokenOf(1))));
  director.setKnownAsOf(now);
  now += milliseconds(200);
  CHECK_TRUE(refusalOf(next(3, flowTokenOf(1))) == RefusalReason::kHostEnded);
}

TEST(TokenDirector, ResetsFlowsOfATerminatedHostAtOnce) {
  data(1, flowTokenOf(1), 100);
  acknowledge(1, flowTokenOf(1), 600, 200);
  data(2, flowTokenOf(2), 100);
  HostSpec successor = makeHost(3);
  successor.endpoint = makeHost(1).endpoint;
  now += seconds(1);
  director.setPool(now, {"mapstore", {successor}});
  CHECK_FALSE(director.hasResets());
  const auto changes = director.setPool(now, {"dispatch", {makeHost(2)}});
  CHECK_TRUE(changes.back().kind == HostChangeKind::kEnded);
  const auto resets = director.takeResets();
  LONGS_EQUAL(1, resets.size());
  LONGS_EQUAL(600, resets[0].acknowledged);
  CHECK_TRUE(resets[0].reason == RefusalReason::kHostEnded);
  director.setPool(now, {"dispatch", {makeHost(2)}});
  CHECK_FALSE(director.hasResets());
}

/** Guards against resets of flows of a living host whose address stands in a later entry. */
TEST(TokenDirector, ResetsNoFlowOfAHostThatIsListedBesideALaterOneWithItsAddress) {
  data(1, flowTokenOf(1), 100);
  HostSpec superseded = makeHost(1);
  superseded.state = HostState::kDraining;
  HostSpec successor = makeHost(3);
  successor.endpoint = superseded.endpoint;
  now += seconds(1);
  director.setPool(now, {"dispatch", {superseded, makeHost(2), successor}});
  CHECK_FALSE(director.hasResets());
  CHECK_TRUE(std::holds_alternative<ForwardToHost>(data(1, flowTokenOf(1), 200)));
  director.setPool(now, {"dispatch", {makeHost(1), makeHost(2)}});
  CHECK_FALSE(director.hasResets());
}

TEST(TokenDirector, PlacesFewNewFlowsOnAVerySlowHost) {
  director.setPool(now, {"dispatch", {makeHost(1), makeHost(2), makeHost(3)}});
  const auto serve = [this](uint64_t incarnation, milliseconds answerTime) {
    const uint32_t token = flowTokenOf(incarnation);
    data(++flows, token, 100);
    now += answerTime;
    acknowledge(flows, token, 1, 200);
  };
  for (int round = 0; round < 10; ++round) {
    serve(1, milliseconds(round < 5 ? 50 : 600));
    serve(2, milliseconds(50));
    serve(3, milliseconds(50));
  }
  std::map<uint64_t, int> placed;
  for (int index = 0; index < 120; ++index) {
    ++placed[hostOf(open(++flows))];
  }
  CHECK_TRUE(placed[1] * 6 < placed[2]);
  LONGS_EQUAL(1, director.takeSlownessChanges().size());
}

TEST(TokenDirector, MeasuresProcessingTimesOnlyWithFreeSlots) {
  const auto serve = [&](uint32_t slots, milliseconds response) {
    HostSpec spec = makeHost(1);
    spec.slots = slots;
    director.setPool(now, {"dispatch", {spec}});
    const uint32_t token = flowTokenOf(1);
    for (uint32_t request = 0; request < 40; ++request) {
      open(++flows);
      now += milliseconds(10);
      data(flows, token, 1);
      now += response;
      acknowledge(flows, token, 500, 101);
    }
    return director.takeSamples();
  };
  const auto free = serve(2, milliseconds(40));
  CHECK_TRUE(free.back().workRatio.has_value());
  DOUBLES_EQUAL(1.0, *free.back().workRatio, 0.05);
  // Nothing is known about a pool with unknown slots.
  CHECK_FALSE(serve(0, milliseconds(40)).back().workRatio.has_value());
  // One slot that is almost always busy: requests wait for it.
  CHECK_FALSE(serve(1, milliseconds(400)).back().workRatio.has_value());
}

TEST(TokenDirector, NormalizesResponseTimesBySpeed) {
  const auto score = [&](uint32_t percent) {
    director.applySpeeds(now, {{flowTokenOf(1), percent, 50}});
    for (uint32_t request = 0; request < 40; ++request) {
      open(++flows);
      now += milliseconds(10);
      data(flows, flowTokenOf(1), 1);
      now += milliseconds(40);
      acknowledge(flows, flowTokenOf(1), 500, 101);
    }
    return director.takeSamples().back().ratio;
  };
  DOUBLES_EQUAL(1.0, score(100), 0.05);
  CHECK_TRUE(score(50) < 0.75);
  LONGS_EQUAL(1, director.speeds(now).known);
  DOUBLES_EQUAL(0.5, director.speeds(now).lowest, 1e-9);
  CHECK_TRUE(director.takeSpeedChanges().empty());
  for (const uint32_t percent : {49, 55, 60, 70}) {
    director.applySpeeds(now, {{flowTokenOf(1), percent, 50}});
  }
  const auto changes = director.takeSpeedChanges();
  LONGS_EQUAL(2, changes.size());
  CHECK_TRUE(changes[0].low);
  CHECK_FALSE(changes[1].low);
}

TEST(TokenDirector, KeepsUsualTimesAcrossConfigurations) {
  serveRepeatable();
  const uint32_t token = flowTokenOf(1);
  for (int index = 0; index < 6; ++index) {
    data(++flows, token, 100);
    now += milliseconds(50);
    acknowledge(flows, token, 1, 200);
  }
  serveRepeatable();
  director.takeSamples();
  data(++flows, token, 100);
  now += milliseconds(150);
  acknowledge(flows, token, 1, 200);
  const auto samples = director.takeSamples();
  LONGS_EQUAL(1, samples.size());
  DOUBLES_EQUAL(170.0 / 70.0, samples[0].ratio, 0.01);
}

/**
 * A host that is down resets its callers directly; the node only observes that they never continue.
 */
TEST(TokenDirector, SkipsAHostWhoseCallersNeverContinue) {
  director.setPool(now, {"dispatch", {makeHost(1), makeHost(2), makeHost(3)}});
  std::map<uint64_t, int> placed;
  for (int index = 0; index < 60; ++index) {
    const FlowDecision decision = open(++flows);
    ++placed[hostOf(decision)];
    const uint32_t token = std::get<ForwardToHost>(decision).token;
    now += milliseconds(10);
    if (hostOf(decision) != 1) {
      next(flows, token);
    }
    now += milliseconds(20);
    director.onCaughtUp(now);
  }
  // Detection takes two openings, and some were already in flight. Without detection, the host
  // would attract most flows because it looks idle.
  CHECK_TRUE(placed[1] <= 8);
}

TEST(TokenDirector, AvoidsASilentZoneUntilAHostAnswers) {
  std::vector<HostSpec> hosts;
  for (uint64_t number = 1; number <= 40; ++number) {
    hosts.push_back(makeHost(number, number <= 20 ? "bole" : "piassa"));
  }
  director.setPool(now, {"dispatch", hosts});
  const auto run = [&](int count, bool boleAnswers) {
    int toBole = 0;
    for (int index = 0; index < count; ++index) {
      const FlowDecision decision = open(++flows);
      const bool bole = hostOf(decision) <= 20;
      toBole += bole ? 1 : 0;
      now += milliseconds(10);
      if (!bole || boleAnswers) {
        next(flows, std::get<ForwardToHost>(decision).token);
      }
      now += milliseconds(40);
      director.onCaughtUp(now);
    }
    return toBole;
  };
  LONGS_EQUAL(40, run(40, true));
  // Detecting 20 hosts separately would take two openings each.
  CHECK_TRUE(run(40, false) <= 12);
  run(100, true);
  CHECK_TRUE(run(40, true) >= 30);
}

/** An idle host attracts the most flows, also right after its start. */
TEST(TokenDirector, SendsFewFlowsToAColdHost) {
  HostSpec cold = makeHost(3);
  cold.coldMilliseconds = 2000;
  const HostPool pool{"dispatch", {makeHost(1), makeHost(2), cold}, {4.0, 2000}};
  const auto changes = director.setPool(now, pool);
  LONGS_EQUAL(1, std::count_if(changes.begin(), changes.end(), [](const HostChange& change) {
                return change.kind == HostChangeKind::kCold;
              }));
  LONGS_EQUAL(1, director.coldHostCount(now));
  int toCold = 0;
  for (int step = 0; step < 19; ++step) {
    now += milliseconds(100);
    toCold += openMany(10)[3];
    // A change of another host does not restart the cold phase of this one.
    director.setPool(now, pool);
  }
  CHECK_TRUE(toCold <= 1);
  now += milliseconds(100);
  CHECK_TRUE(openMany(60)[3] >= 20);
}

TEST(TokenDirector, HostsOfARestoredZoneCountAsCold) {
  director.setPool(now, {"dispatch", {makeHost(1), makeHost(2, "piassa")}, {4.0, 2000}});
  director.setEvacuatedZones(now, {{"bole"}});
  LONGS_EQUAL(0, openMany(20)[1]);
  director.setEvacuatedZones(now, {});
  CHECK_TRUE(openMany(20)[1] <= 1);
  now += seconds(2);
  CHECK_TRUE(openMany(20)[1] >= 15);
}

TEST(TokenDirector, RefusesIfAllHostsAreInEvacuatedZones) {
  director.setEvacuatedZones(now, {{"bole"}});
  CHECK_TRUE(isRefused(open(++flows)));
  director.setEvacuatedZones(now, {});
  CHECK_FALSE(isRefused(open(++flows)));
}

}  // namespace umberhold
