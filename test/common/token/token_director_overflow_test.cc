/**
 * @file Openings that overflow from a part of a traffic split without room, and the resulting
 * shares.
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
/** The small pool has two hosts with one slot each, and one node sends: four openings per slot. */
constexpr uint64_t kSmallLimit = 8;
constexpr uint32_t kLargeHosts = 20;

TokenOptions optionsOf(OverflowMode mode, double maxFraction) {
  TokenOptions options;
  options.zone = "bole";
  options.overflow = {mode, maxFraction};
  return options;
}

}  // namespace

/** A director with a service that is split evenly over two pools. */
class OverflowingNode {
 public:
  explicit OverflowingNode(OverflowMode mode, double maxFraction = 1.0, bool repeatable = false)
      : director_(optionsOf(mode, maxFraction), random_) {
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
  /** @return the pool that a new flow goes to; "" if it is queued or refused. */
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
  /** Answers the first request of a flow. */
  void answer(uint64_t flow, const std::string& service = kService) {
    for (const uint32_t acknowledged : {100U, 700U}) {
      FlowPacket made = packet(service, flow, PacketPhase::kContinuing);
      made.token = tokens_.at(flow);
      made.acknowledged = acknowledged;
      director_.decide(now_, made, "");
    }
  }
  /** Opens flows until the small pool has no room; flows at the large pool are answered. */
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
  /**
   * @return the number of new flows by pool, "" for queued ones; the large pool answers at once.
   */
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
  /** Room is freed because callers do not continue their openings. */
  void advanceTime(Duration time = milliseconds(500)) { now_ += time; }
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

TEST(TokenDirectorOverflow, OverflowsFromAFullPoolToOneWithRoom) {
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

TEST(TokenDirectorOverflow, QueuesWhenOverflowIsDisabled) {
  OverflowingNode node(OverflowMode::kOff);
  node.fillSmall();
  auto counts = node.openMany(100);
  LONGS_EQUAL(50, counts[""]);
  LONGS_EQUAL(50, counts[kLarge]);
  STRCMP_EQUAL("", node.overflowFrom().c_str());
}

/** A part without room must not delay flows for the other parts of the split. */
TEST(TokenDirectorOverflow, QueuedOpeningIsPlacedWithoutASecondCharge) {
  OverflowingNode node(OverflowMode::kOff);
  node.fillSmall();
  std::vector<uint64_t> waiting;
  for (int flow = 0; flow < 4; ++flow) {
    if (node.open().empty()) {
      waiting.push_back(node.lastFlow());
    }
  }
  LONGS_EQUAL(2, waiting.size());
  // Openings that callers do not continue free their room after 150 ms.
  node.advanceTime(milliseconds(160));
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

TEST(TokenDirectorOverflow, QueuedOpeningOfARemovedPartGoesToAnotherPool) {
  OverflowingNode node(OverflowMode::kOff);
  node.fillSmall();
  uint64_t waiting = 0;
  while (waiting == 0) {
    waiting = node.open().empty() ? node.lastFlow() : 0;
  }
  node.addService(kService, {{kLarge, 1}});
  node.advanceTime(milliseconds(160));
  LONGS_EQUAL(1, node.director().takeReleased(node.now()).size());
  STRCMP_EQUAL(kLarge, node.openAs(waiting).c_str());
}

TEST(TokenDirectorOverflow, CanExcludeNonRepeatableServices) {
  OverflowingNode once(OverflowMode::kRepeatable);
  once.fillSmall();
  LONGS_EQUAL(50, once.openMany(100)[""]);
  OverflowingNode twice(OverflowMode::kRepeatable, 1.0, true);
  twice.fillSmall();
  LONGS_EQUAL(100, twice.openMany(100)[kLarge]);
}

TEST(TokenDirectorOverflow, SharesAreExactWithoutOverflow) {
  OverflowingNode node(OverflowMode::kByRoom);
  std::map<std::string, int> counts;
  for (int flow = 0; flow < 1000; ++flow) {
    ++counts[node.open()];
    node.answer(node.lastFlow());
  }
  LONGS_EQUAL(500, counts[kSmall]);
  LONGS_EQUAL(500, counts[kLarge]);
}

TEST(TokenDirectorOverflow, EndsAtOnceWhenRoomReturnsWithoutRepayment) {
  OverflowingNode node(OverflowMode::kByRoom);
  node.fillSmall();
  node.openMany(1000);
  node.advanceTime();
  std::map<std::string, int> counts;
  for (int flow = 0; flow < 20; ++flow) {
    ++counts[node.open()];
    node.answer(node.lastFlow());
  }
  LONGS_EQUAL(10, counts[kSmall]);
  LONGS_EQUAL(10, counts[kLarge]);
}

TEST(TokenDirectorOverflow, EnforcesTheLimitAndQueuesTheRest) {
  OverflowingNode node(OverflowMode::kByRoom, 0.15);
  node.fillSmall();
  auto counts = node.openMany(400);
  // 200 flows are the large pool's own share and 0.15 of 400 overflow to it; the others are queued.
  CHECK_TRUE(counts[kLarge] >= 258 && counts[kLarge] <= 262);
  LONGS_EQUAL(400, counts[kLarge] + counts[""]);
}

TEST(TokenDirectorOverflow, ReservesHalfOfTheOtherPoolForItsOwnCallers) {
  OverflowingNode node(OverflowMode::kByRoom);
  node.fillSmall();
  // No flow is answered: the large pool allows 80 openings in flight.
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

TEST(TokenDirectorOverflow, DoesNotPlaceARetransmissionOfAQueuedOpening) {
  OverflowingNode node(OverflowMode::kByRoom);
  node.fillSmall();
  std::vector<uint64_t> waiting;
  for (int flow = 0; flow < 100; ++flow) {
    if (node.open().empty()) {
      waiting.push_back(node.lastFlow());
    }
  }
  CHECK_FALSE(waiting.empty());
  // The large pool has answered in the meantime.
  for (const uint64_t flow : node.flowsAt(kLarge)) {
    node.answer(flow);
  }
  STRCMP_EQUAL("", node.openAs(waiting.front()).c_str());
}

/**
 * Guards against a second placement: a retransmission that arrived after its pool was removed from
 * the split, deleted or left without an available host was placed in addition to the queued
 * opening, so that the flow got two hosts or a reset.
 */
TEST(TokenDirectorOverflow, RetransmissionStaysQueuedWhenItsPoolChanges) {
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

TEST(TokenDirectorOverflow, DoesNotOverflowToARemovedPart) {
  OverflowingNode node(OverflowMode::kByRoom);
  node.fillSmall();
  node.openMany(10);
  node.addService(kService, {{kSmall, 1}});
  LONGS_EQUAL(0, node.openMany(20)[kLarge]);
}

TEST(TokenDirectorOverflow, DoesNotOverflowToAPartWithoutWeight) {
  OverflowingNode node(OverflowMode::kByRoom);
  node.fillSmall();
  node.openMany(10);
  node.addService(kService, {{kSmall, 1}, {kLarge, 0}});
  LONGS_EQUAL(0, node.openMany(20)[kLarge]);
}

TEST(TokenDirectorOverflow, AppliesChangedWeightsDuringOverflow) {
  OverflowingNode node(OverflowMode::kByRoom, 0.1);
  node.fillSmall();
  node.openMany(10);
  node.addService(kService, {{kSmall, 8}, {kLarge, 2}});
  const int taken = node.openMany(500)[kLarge];
  CHECK_TRUE(taken >= 148 && taken <= 152);
}

TEST(TokenDirectorOverflow, DoesNotOverflowToAPoolWithoutHosts) {
  OverflowingNode node(OverflowMode::kByRoom);
  node.fillSmall();
  node.openMany(10);
  node.setHosts(kLarge, 0);
  // Vanished hosts may have lost their entry only temporarily; after this time they are gone.
  node.advanceTime(seconds(2));
  node.fillSmall();
  LONGS_EQUAL(0, node.openMany(20)[kLarge]);
}

TEST(TokenDirectorOverflow, DoesNotOverflowToADrainingPool) {
  OverflowingNode node(OverflowMode::kByRoom);
  node.fillSmall();
  node.openMany(10);
  node.setHosts(kLarge, kLargeHosts, HostState::kDraining);
  LONGS_EQUAL(0, node.openMany(20)[kLarge]);
}

TEST(TokenDirectorOverflow, DoesNotOverflowToAnEvacuatedZone) {
  OverflowingNode node(OverflowMode::kByRoom);
  node.fillSmall();
  node.openMany(10);
  node.director().setEvacuatedZones(node.now(), EvacuatedZones{{"piassa"}});
  LONGS_EQUAL(0, node.openMany(20)[kLarge]);
}

TEST(TokenDirectorOverflow, RefusesNoFlowWhenTheFullPoolDrains) {
  OverflowingNode node(OverflowMode::kByRoom);
  node.fillSmall();
  node.openMany(10);
  node.setHosts(kSmall, 2, HostState::kDraining);
  LONGS_EQUAL(20, node.openMany(20)[kLarge]);
}
