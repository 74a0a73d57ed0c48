/**
 * @file Packets that the director holds: openings while hosts are at capacity, and packets whose
 * host has no entry yet.
 */
#include "common/token/token_director.h"

#include <string>

#include "common/base/hash.h"

#include <CppUTest/TestHarness.h>

using namespace umberhold;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr const char* kUrgent = "confirm";
constexpr const char* kUsual = "alert";
/** Two hosts with one slot each, four openings per slot, one node in one zone. */
constexpr uint64_t kLimit = 8;

}  // namespace

TEST_GROUP(TokenDirectorWaiting) {
  RandomSource random{7};
  TokenDirector director{options(), random};
  TimePoint now{seconds(1000)};

  static TokenOptions options() {
    TokenOptions made{"bole", seconds(60)};
    made.room.hostTimePart = 1.0 / 3.0;
    return made;
  }
  void setup() override {
    addService(kUsual, 2);
    addService(kUrgent, 1);
    setHosts(1);
  }
  void addService(const std::string& name, uint32_t priority, uint32_t targetLatency = 0) {
    Service service;
    service.name = name;
    service.address = priority;
    service.port = 443;
    service.groups = {{"dispatch", 1}};
    service.priority = priority;
    service.requestTimeoutMilliseconds = 1200;
    service.targetLatencyMilliseconds = targetLatency;
    director.setService(service);
  }
  void setHosts(uint32_t slots, uint64_t count = 2) {
    HostPool pool{"dispatch", {}};
    for (uint64_t number = 1; number <= count; ++number) {
      HostSpec host;
      host.name = "h-" + std::to_string(number);
      host.endpoint = {static_cast<uint32_t>(number), 8080};
      host.zone = "bole";
      host.incarnation = number;
      host.slots = slots;
      pool.hosts.push_back(host);
    }
    director.setPool(now, pool);
  }
  FlowPacket packet(const std::string& service, uint64_t flow, PacketPhase phase) {
    FlowPacket made;
    made.hash = FlowHash{flow};
    made.key.caller = {static_cast<uint32_t>(flow), 40000};
    made.service = serviceIdOf(service);
    made.phase = phase;
    return made;
  }
  FlowDecision open(const std::string& service, uint64_t flow) {
    return director.decide(now, packet(service, flow, PacketPhase::kOpening),
                           service + " " + std::to_string(flow));
  }
  /** @return the token of the host. */
  uint32_t openAtHost(const std::string& service, uint64_t flow) {
    const FlowDecision decision = open(service, flow);
    CHECK_TRUE(std::holds_alternative<ForwardToHost>(decision));
    return std::get<ForwardToHost>(decision).token;
  }
  void acknowledge(const std::string& service, uint64_t flow, uint32_t token,
                   uint32_t acknowledged) {
    FlowPacket made = packet(service, flow, PacketPhase::kContinuing);
    made.token = token;
    made.acknowledged = acknowledged;
    CHECK_TRUE(std::holds_alternative<ForwardToHost>(director.decide(now, made, "")));
  }
  /** Sends a request on an open flow and answers it after 100 ms. */
  void serve(const std::string& service, uint64_t flow, uint32_t token, uint32_t request) {
    FlowPacket made = packet(service, flow, PacketPhase::kContinuing);
    made.token = token;
    made.sequence = 1 + 10 * (request - 1);
    made.acknowledged = 1 + 100 * (request - 1);
    made.dataBytes = 10;
    director.decide(now, made, "");
    director.onCaughtUp(now);
    now += milliseconds(100);
    made.sequence += 10;
    made.acknowledged += 100;
    made.dataBytes = 0;
    director.decide(now, made, "");
    director.onCaughtUp(now);
  }
  void fill() {
    for (uint64_t flow = 1; flow <= kLimit; ++flow) {
      const uint32_t token = openAtHost(kUsual, flow);
      acknowledge(kUsual, flow, token, 100);
    }
  }
};

/** Openings lost on the node's own link say nothing about the room at their hosts. */
TEST(TokenDirectorWaiting, OpeningsLostOnTheOwnLinkRefuseNoLaterOnes) {
  HostPool pool{"dispatch", {}};
  for (uint64_t number = 1; number <= 21; ++number) {
    HostSpec host;
    host.name = "h-" + std::to_string(number);
    host.endpoint = {static_cast<uint32_t>(number), 8080};
    host.zone = number <= 20 ? "bole" : "cmc";
    host.incarnation = number;
    host.slots = 1;
    pool.hosts.push_back(host);
  }
  director.setPool(now, pool);
  for (uint64_t flow = 1; flow <= 3; ++flow) {
    openAtHost(kUsual, flow);
  }
  now += milliseconds(160);
  director.onCaughtUp(now);
  size_t refused = 0;
  for (uint64_t flow = 101; flow <= 120; ++flow) {
    const FlowDecision decision = open(kUsual, flow);
    if (const auto* forward = std::get_if<ForwardToHost>(&decision)) {
      now += milliseconds(1);
      acknowledge(kUsual, flow, forward->token, 1);
    }
  }
  now += milliseconds(250);
  for (const std::string& bytes : director.takeReleased(now)) {
    const uint64_t flow = std::stoull(bytes.substr(bytes.find(' ')));
    refused += std::holds_alternative<RefuseFlow>(open(kUsual, flow)) ? 1 : 0;
  }
  LONGS_EQUAL(0, refused);
}

// Requests on open flows cannot be held back, so they reduce the limit for new flows.
TEST(TokenDirectorWaiting, OpenFlowsReduceTheLimitOfTheLowerPriorityService) {
  addService(kUsual, 2, 500);
  addService(kUrgent, 1, 500);
  const uint32_t usual = openAtHost(kUsual, 1);
  const uint32_t urgent = openAtHost(kUrgent, 2);
  for (uint32_t request = 1; request <= 100; ++request) {
    serve(kUsual, 1, usual, request);
    serve(kUrgent, 2, urgent, request);
  }
  // Two slots and a third of 500 ms for requests of 100 ms: hardly more than the two already in
  // flight.
  openAtHost(kUsual, 10);
  CHECK_TRUE(std::holds_alternative<HoldPacket>(open(kUsual, 11)));
  openAtHost(kUrgent, 20);
  openAtHost(kUrgent, 21);
}

TEST(TokenDirectorWaiting, QueuesOpeningsAboveCapacity) {
  fill();
  CHECK_TRUE(std::holds_alternative<HoldPacket>(open(kUsual, 20)));
  LONGS_EQUAL(0, director.takeReleased(now).size());
  CHECK_TRUE(director.nextRelease().has_value());
}

TEST(TokenDirectorWaiting, HigherPriorityServiceIsReleasedFirst) {
  uint32_t token = 0;
  for (uint64_t flow = 1; flow <= kLimit; ++flow) {
    token = openAtHost(kUsual, flow);
    acknowledge(kUsual, flow, token, 100);
  }
  CHECK_TRUE(std::holds_alternative<HoldPacket>(open(kUsual, 20)));
  CHECK_TRUE(std::holds_alternative<HoldPacket>(open(kUrgent, 21)));
  acknowledge(kUsual, kLimit, token, 700);
  const auto released = director.takeReleased(now);
  LONGS_EQUAL(1, released.size());
  STRCMP_EQUAL("confirm 21", released.front().c_str());
  openAtHost(kUrgent, 21);
  CHECK_TRUE(std::holds_alternative<HoldPacket>(open(kUsual, 20)));
}

TEST(TokenDirectorWaiting, RefusesOpeningsThatWaitedTooLong) {
  fill();
  open(kUsual, 20);
  now += milliseconds(199);
  LONGS_EQUAL(0, director.takeReleased(now).size());
  now += milliseconds(1);
  LONGS_EQUAL(1, director.takeReleased(now).size());
  const FlowDecision decision = open(kUsual, 20);
  CHECK_TRUE(std::holds_alternative<RefuseFlow>(decision));
  CHECK_TRUE(std::get<RefuseFlow>(decision).reason == RefusalReason::kHostsBusy);
}

TEST(TokenDirectorWaiting, DoesNotHoldOpenFlows) {
  const uint32_t token = openAtHost(kUsual, 50);
  acknowledge(kUsual, 50, token, 100);
  acknowledge(kUsual, 50, token, 700);
  fill();
  FlowPacket data = packet(kUsual, 50, PacketPhase::kContinuing);
  data.token = token;
  data.acknowledged = 700;
  data.dataBytes = 200;
  CHECK_TRUE(std::holds_alternative<ForwardToHost>(director.decide(now, data, "")));
}

TEST(TokenDirectorWaiting, DoesNotQueueARetransmissionOfAPlacedOpening) {
  const uint32_t first = openAtHost(kUsual, 50);
  for (uint64_t flow = 1; flow < kLimit; ++flow) {
    acknowledge(kUsual, flow, openAtHost(kUsual, flow), 100);
  }
  CHECK_TRUE(std::holds_alternative<HoldPacket>(open(kUsual, 20)));
  CHECK_TRUE(openAtHost(kUsual, 50) != first);
}

TEST(TokenDirectorWaiting, QueuesNothingIfSlotsAreUnknown) {
  setHosts(0);
  for (uint64_t flow = 1; flow <= 100; ++flow) {
    openAtHost(kUsual, flow);
  }
}

/** A node that started during an outage of the store receives the entries of live hosts later. */
TEST(TokenDirectorWaiting, HoldsPacketsForAnUnknownHost) {
  FlowPacket early = packet(kUsual, 500, PacketPhase::kContinuing);
  early.token = flowTokenOf(3);
  CHECK_TRUE(std::holds_alternative<HoldPacket>(director.decide(now, early, "early")));
  now += milliseconds(900);
  setHosts(1, 3);
  const auto released = director.takeReleased(now);
  LONGS_EQUAL(1, released.size());
  STRCMP_EQUAL("early", released.front().c_str());
  const FlowDecision decision = director.decide(now, early, "early");
  CHECK_TRUE(std::holds_alternative<ForwardToHost>(decision));
  LONGS_EQUAL(flowTokenOf(3), std::get<ForwardToHost>(decision).token);
  LONGS_EQUAL(0, director.takeReleased(now).size());
}

TEST(TokenDirectorWaiting, DropsHeldPacketsAfterTheCallerTimeout) {
  FlowPacket early = packet(kUsual, 500, PacketPhase::kContinuing);
  early.token = flowTokenOf(3);
  director.decide(now, early, "early");
  now += HeldPackets::kMaxHoldTime + milliseconds(1);
  setHosts(1, 3);
  LONGS_EQUAL(0, director.takeReleased(now).size());
}
