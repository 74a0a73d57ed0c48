/** @file Openings that leave the part of a split that has no room, and what shares are afterwards.
 */
#include "common/token/token_director.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "common/base/hash.h"

#include <CppUTest/TestHarness.h>

using namespace umberhold;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr const char* kService = "feed";
constexpr const char* kOtherService = "filing";
constexpr const char* kSmall = "printer";
constexpr const char* kLarge = "desk";
/** The small pool has two hosts of one slot, one node sends: four openings a slot. */
constexpr uint64_t kSmallLimit = 8;
constexpr uint32_t kLargeHosts = 20;

TokenOptions optionsOf(OverflowMode mode, double mostPart) {
  TokenOptions options;
  options.zone = "bole";
  options.overflow = {mode, mostPart};
  return options;
}

}  // namespace

/** A director whose callers open flows of a service that is split evenly over two pools. */
class OverflowingNode {
 public:
  explicit OverflowingNode(OverflowMode mode, double mostPart = 1.0, bool repeatable = false)
      : director_(optionsOf(mode, mostPart), random_) {
    addService(kService, {{kSmall, 1}, {kLarge, 1}}, repeatable);
    addService(kOtherService, {{kLarge, 1}});
    setHosts(kSmall, 2);
    setHosts(kLarge, kLargeHosts);
  }

  void addService(const std::string& name, std::vector<HostGroup> groups, bool repeatable = false) {
    Service service;
    service.name = name;
    service.address = name == kService ? 1 : 2;
    service.port = 443;
    service.groups = std::move(groups);
    service.repeatable = repeatable;
    service.requestTimeoutMilliseconds = 1200;
    director_.setService(service);
  }
  void setHosts(const std::string& pool, uint32_t count, HostState state = HostState::kActive) {
    HostPool hosts{pool, {}};
    for (uint32_t number = 1; number <= count; ++number) {
      HostSpec host;
      host.name = pool + "-" + std::to_string(number);
      host.endpoint = {number, static_cast<uint16_t>(pool == kSmall ? 8080 : 8081)};
      host.zone = pool == kSmall ? "bole" : "piassa";
      host.incarnation = number + (pool == kSmall ? 1000 : 2000);
      host.slots = 1;
      host.state = state;
      hosts.hosts.push_back(host);
    }
    director_.setPool(now_, hosts);
  }
  void removePool(const std::string& pool) { director_.removePool(now_, pool); }
  /** @return the pool that a new flow goes to; "" where it waits or is refused. */
  std::string open(const std::string& service = kService) { return openAs(++flow_, service); }
  std::string openAs(uint64_t flow, const std::string& service = kService) {
    const FlowDecision decision = director_.decide(
        now_, packet(service, flow, PacketPhase::kOpening), "opening " + std::to_string(flow));
    if (!std::holds_alternative<ForwardToHost>(decision)) {
      return "";
    }
    const auto& chosen = std::get<ForwardToHost>(decision);
    tokens_[flow] = chosen.token;
    flows_[std::string(chosen.label.pool)].push_back(flow);
    overflowFrom_ = std::string(chosen.placement->overflowFrom);
    return std::string(chosen.label.pool);
  }
  /** The host answers a flow's first request. */
  void answer(uint64_t flow, const std::string& service = kService) {
    for (const uint32_t acknowledged : {100U, 700U}) {
      FlowPacket made = packet(service, flow, PacketPhase::kContinuing);
      made.token = tokens_.at(flow);
      made.acknowledged = acknowledged;
      director_.decide(now_, made, "");
    }
  }
  /** Opens flows until the small pool has no room, and keeps the large one's answered. */
  void fillSmall() {
    uint64_t opened = 0;
    while (opened < kSmallLimit) {
      if (open() == kSmall) {
        ++opened;
      } else {
        answer(flow_);
      }
    }
  }
  /** @return new flows by pool, "" for those that wait; the large pool answers at once. */
  std::map<std::string, int> openMany(int flows) {
    std::map<std::string, int> counts;
    for (int opened = 0; opened < flows; ++opened) {
      const std::string pool = open();
      ++counts[pool];
      if (pool == kLarge) {
        answer(flow_);
      }
    }
    return counts;
  }
  /** Callers that don't follow their openings free the room. */
  void rest(Duration time = milliseconds(500)) { now_ += time; }
  TokenDirector& director() { return director_; }
  TimePoint now() const { return now_; }
  std::vector<uint64_t> flowsAt(const std::string& pool) const { return flows_.at(pool); }
  uint64_t lastFlow() const { return flow_; }
  const std::string& overflowFrom() const { return overflowFrom_; }

 private:
  static FlowPacket packet(const std::string& service, uint64_t flow, PacketPhase phase) {
    FlowPacket made;
    made.hash = FlowHash{flow};
    made.key.caller = {static_cast<uint32_t>(flow), 40000};
    made.service = serviceIdOf(service);
    made.phase = phase;
    return made;
  }

  RandomSource random_{7};
  TokenDirector director_;
  TimePoint now_{seconds(1000)};
  uint64_t flow_ = 0;
  std::map<uint64_t, uint32_t> tokens_;
  std::map<std::string, std::vector<uint64_t>> flows_;
  std::string overflowFrom_;
};

TEST_GROUP(TokenDirectorOverflow){};

TEST(TokenDirectorOverflow, WhatIsDueToAPoolWithoutRoomGoesToOneThatHasIt) {
  OverflowingNode node(OverflowMode::kByRoom);
  node.fillSmall();
  auto counts = node.openMany(100);
  LONGS_EQUAL(100, counts[kLarge]);
  node.openMany(1);
  const std::string first = node.overflowFrom();
  node.openMany(1);
  CHECK_TRUE(first.empty() != node.overflowFrom().empty());
  STRCMP_EQUAL(kSmall, (first + node.overflowFrom()).c_str());
}

TEST(TokenDirectorOverflow, SwitchedOffWhatIsDueWaits) {
  OverflowingNode node(OverflowMode::kOff);
  node.fillSmall();
  auto counts = node.openMany(100);
  LONGS_EQUAL(50, counts[""]);
  LONGS_EQUAL(50, counts[kLarge]);
  STRCMP_EQUAL("", node.overflowFrom().c_str());
}

/** A part without room must not hold up what is due to the others of its split. */
TEST(TokenDirectorOverflow, WhatWaitsForAPoolIsPlacedThereAndTakesNoSecondTurn) {
  OverflowingNode node(OverflowMode::kOff);
  node.fillSmall();
  std::vector<uint64_t> waiting;
  for (int flow = 0; flow < 4; ++flow) {
    if (node.open().empty()) {
      waiting.push_back(node.lastFlow());
    }
  }
  LONGS_EQUAL(2, waiting.size());
  // Callers that don't follow their openings free the room after 150 ms.
  node.rest(milliseconds(160));
  LONGS_EQUAL(2, node.director().takeReleased(node.now()).size());
  for (const uint64_t flow : waiting) {
    STRCMP_EQUAL(kSmall, node.openAs(flow).c_str());
  }
  std::map<std::string, int> counts;
  for (int flow = 0; flow < 10; ++flow) {
    ++counts[node.open()];
    node.answer(node.lastFlow());
  }
  LONGS_EQUAL(5, counts[kSmall]);
  LONGS_EQUAL(5, counts[kLarge]);
}

TEST(TokenDirectorOverflow, WhatWaitedForAPoolThatTheSplitNoLongerNamesGoesToAnother) {
  OverflowingNode node(OverflowMode::kOff);
  node.fillSmall();
  uint64_t waiting = 0;
  while (waiting == 0) {
    waiting = node.open().empty() ? node.lastFlow() : 0;
  }
  node.addService(kService, {{kLarge, 1}});
  node.rest(milliseconds(160));
  LONGS_EQUAL(1, node.director().takeReleased(node.now()).size());
  STRCMP_EQUAL(kLarge, node.openAs(waiting).c_str());
}

TEST(TokenDirectorOverflow, ServicesWhoseRequestsMayNotRunTwiceCanBeLeftOut) {
  OverflowingNode once(OverflowMode::kRepeatable);
  once.fillSmall();
  LONGS_EQUAL(50, once.openMany(100)[""]);
  OverflowingNode twice(OverflowMode::kRepeatable, 1.0, true);
  twice.fillSmall();
  LONGS_EQUAL(100, twice.openMany(100)[kLarge]);
}

TEST(TokenDirectorOverflow, SharesAreExactWithoutShortage) {
  OverflowingNode node(OverflowMode::kByRoom);
  std::map<std::string, int> counts;
  for (int flow = 0; flow < 1000; ++flow) {
    ++counts[node.open()];
    node.answer(node.lastFlow());
  }
  LONGS_EQUAL(500, counts[kSmall]);
  LONGS_EQUAL(500, counts[kLarge]);
}

TEST(TokenDirectorOverflow, ItEndsAtOnceWhenRoomReturnsAndNothingIsRepaid) {
  OverflowingNode node(OverflowMode::kByRoom);
  node.fillSmall();
  node.openMany(1000);
  node.rest();
  std::map<std::string, int> counts;
  for (int flow = 0; flow < 20; ++flow) {
    ++counts[node.open()];
    node.answer(node.lastFlow());
  }
  LONGS_EQUAL(10, counts[kSmall]);
  LONGS_EQUAL(10, counts[kLarge]);
}

TEST(TokenDirectorOverflow, TheBoundHoldsAndTheRestWaits) {
  OverflowingNode node(OverflowMode::kByRoom, 0.15);
  node.fillSmall();
  auto counts = node.openMany(400);
  // 200 were due to the large pool, 0.15 of 400 came on top; the others wait.
  CHECK_TRUE(counts[kLarge] >= 258 && counts[kLarge] <= 262);
  LONGS_EQUAL(400, counts[kLarge] + counts[""]);
}

TEST(TokenDirectorOverflow, TheOtherPoolsOwnCallersKeepHalfOfItsRoom) {
  OverflowingNode node(OverflowMode::kByRoom);
  node.fillSmall();
  // Nobody answers: 80 openings may be under way at the large pool.
  std::map<std::string, int> counts;
  for (int flow = 0; flow < 60; ++flow) {
    ++counts[node.open()];
  }
  CHECK_TRUE(counts[kLarge] >= 40 && counts[kLarge] <= 56);
  CHECK_TRUE(counts[""] >= 1);
  int own = 0;
  for (int flow = 0; flow < 20; ++flow) {
    own += node.open(kOtherService) == kLarge ? 1 : 0;
  }
  LONGS_EQUAL(20, own);
}

TEST(TokenDirectorOverflow, ACopyOfAnOpeningThatWaitsIsNotPlacedBesideIt) {
  OverflowingNode node(OverflowMode::kByRoom);
  node.fillSmall();
  std::vector<uint64_t> waiting;
  for (int flow = 0; flow < 100; ++flow) {
    if (node.open().empty()) {
      waiting.push_back(node.lastFlow());
    }
  }
  CHECK_FALSE(waiting.empty());
  // The large pool has answered meanwhile.
  for (const uint64_t flow : node.flowsAt(kLarge)) {
    node.answer(flow);
  }
  STRCMP_EQUAL("", node.openAs(waiting.front()).c_str());
}

/** A copy that comes after its pool is named no more, gone, or without a host that may take flows
 * was placed beside the opening that waited: the flow got two hosts, or a reset. */
TEST(TokenDirectorOverflow, ACopyWaitsOnWhateverBecameOfItsPool) {
  const auto copyAfter = [](const std::function<void(OverflowingNode&)>& change) {
    OverflowingNode node(OverflowMode::kOff);
    node.fillSmall();
    uint64_t waiting = 0;
    for (int flow = 0; flow < 100 && waiting == 0; ++flow) {
      waiting = node.open().empty() ? node.lastFlow() : 0;
    }
    CHECK_TRUE(waiting != 0);
    change(node);
    return node.openAs(waiting);
  };
  STRCMP_EQUAL("", copyAfter([](OverflowingNode& node) {
                     node.addService(kService, {{kLarge, 1}});
                   }).c_str());
  STRCMP_EQUAL("", copyAfter([](OverflowingNode& node) { node.removePool(kSmall); }).c_str());
  STRCMP_EQUAL("", copyAfter([](OverflowingNode& node) {
                     node.setHosts(kSmall, 2, HostState::kDraining);
                   }).c_str());
}

TEST(TokenDirectorOverflow, APoolThatTheSplitNoLongerNamesTakesNothing) {
  OverflowingNode node(OverflowMode::kByRoom);
  node.fillSmall();
  node.openMany(10);
  node.addService(kService, {{kSmall, 1}});
  LONGS_EQUAL(0, node.openMany(20)[kLarge]);
}

TEST(TokenDirectorOverflow, APartWhoseWeightBecameNoneTakesNothing) {
  OverflowingNode node(OverflowMode::kByRoom);
  node.fillSmall();
  node.openMany(10);
  node.addService(kService, {{kSmall, 1}, {kLarge, 0}});
  LONGS_EQUAL(0, node.openMany(20)[kLarge]);
}

TEST(TokenDirectorOverflow, ChangedWeightsHoldWhileItRuns) {
  OverflowingNode node(OverflowMode::kByRoom, 0.1);
  node.fillSmall();
  node.openMany(10);
  node.addService(kService, {{kSmall, 8}, {kLarge, 2}});
  const int taken = node.openMany(500)[kLarge];
  CHECK_TRUE(taken >= 148 && taken <= 152);
}

TEST(TokenDirectorOverflow, APoolThatLostItsHostsTakesNothing) {
  OverflowingNode node(OverflowMode::kByRoom);
  node.fillSmall();
  node.openMany(10);
  node.setHosts(kLarge, 0);
  // Hosts that vanish may have lost their entry for a moment only; after that they are gone.
  node.rest(seconds(2));
  node.fillSmall();
  LONGS_EQUAL(0, node.openMany(20)[kLarge]);
}

TEST(TokenDirectorOverflow, APoolThatDrainsTakesNothing) {
  OverflowingNode node(OverflowMode::kByRoom);
  node.fillSmall();
  node.openMany(10);
  node.setHosts(kLarge, kLargeHosts, HostState::kDraining);
  LONGS_EQUAL(0, node.openMany(20)[kLarge]);
}

TEST(TokenDirectorOverflow, APoolInAnEvacuatedZoneTakesNothing) {
  OverflowingNode node(OverflowMode::kByRoom);
  node.fillSmall();
  node.openMany(10);
  node.director().setEvacuatedZones(node.now(), EvacuatedZones{{"piassa"}});
  LONGS_EQUAL(0, node.openMany(20)[kLarge]);
}

TEST(TokenDirectorOverflow, TheShortPoolsHostsGoWhileItRunsAndNoneIsRefused) {
  OverflowingNode node(OverflowMode::kByRoom);
  node.fillSmall();
  node.openMany(10);
  node.setHosts(kSmall, 2, HostState::kDraining);
  LONGS_EQUAL(20, node.openMany(20)[kLarge]);
}
