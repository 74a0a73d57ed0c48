/** @file Fixture of the tests of TokenDirector. */
#pragma once

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "common/base/hash.h"
#include "common/token/token_director.h"

#include <CppUTest/TestHarness.h>

namespace umberhold {

inline constexpr uint32_t kAddress = 0xC6120001;
inline constexpr uint16_t kPort = 443;
inline constexpr TimePoint kStart{std::chrono::seconds(1000)};
inline constexpr std::chrono::milliseconds kAnswerInterval{50};

inline HostSpec makeHost(uint64_t number, const std::string& zone = "bole") {
  HostSpec host;
  host.name = "h-" + std::to_string(number);
  host.endpoint = {0x0A800000 + static_cast<uint32_t>(number), 8080};
  host.zone = zone;
  host.incarnation = number;
  return host;
}

inline Service makePickup(const std::vector<HostGroup>& groups) {
  Service service;
  service.name = "pickup";
  service.region = "addis";
  service.address = kAddress;
  service.port = kPort;
  service.groups = groups;
  return service;
}

/** A director with one service and hosts 1 and 2, and the packets of its callers. */
struct TokenDirectorFixture : Utest {
  using milliseconds = std::chrono::milliseconds;
  using seconds = std::chrono::seconds;

  RandomSource random{7};
  TokenDirector director{{"bole", seconds(60)}, random};
  TimePoint now = kStart;
  uint64_t flows = 0;
  /** Number of the last flow of passWithout(). */
  uint64_t answeredFlows = 100000;

  void setup() override {
    director.setService(makePickup({{"dispatch", 1}}));
    director.setPool(now, {"dispatch", {makeHost(1), makeHost(2)}});
  }
  FlowPacket packet(PacketPhase phase, uint64_t flow, uint32_t token) {
    FlowPacket made;
    made.hash = FlowHash{flow};
    made.key.caller = {static_cast<uint32_t>(flow), 40000};
    made.service = serviceIdOf("pickup");
    made.phase = phase;
    made.token = token;
    return made;
  }
  FlowDecision open(uint64_t flow) {
    return director.decide(now, packet(PacketPhase::kOpening, flow, 0), "");
  }
  /** Sends a packet with data, for the first time or as a retransmission. */
  FlowDecision data(uint64_t flow, uint32_t token, uint32_t sequence) {
    FlowPacket made = packet(PacketPhase::kContinuing, flow, token);
    made.sequence = sequence;
    made.dataBytes = 100;
    const FlowDecision decision = director.decide(now, made, "");
    director.onCaughtUp(now);
    return decision;
  }
  /** @param sequence sequence number after the caller's data. */
  void acknowledge(uint64_t flow, uint32_t token, uint32_t acknowledged, uint32_t sequence = 0) {
    FlowPacket made = packet(PacketPhase::kContinuing, flow, token);
    made.sequence = sequence;
    made.acknowledged = acknowledged;
    director.decide(now, made, "");
    director.onCaughtUp(now);
  }
  /** Lets time pass, during which the other one of hosts 1 and 2 answers other callers. */
  void passWithout(uint32_t token, milliseconds length) {
    const uint32_t other = flowTokenOf(token == flowTokenOf(1) ? 2 : 1);
    for (milliseconds passed{0}; passed < length; passed += kAnswerInterval) {
      now += kAnswerInterval;
      data(++answeredFlows, other, 7);
      acknowledge(answeredFlows, other, 600);
    }
  }
  /**
   * Sends data and its retransmissions with the timeouts of a caller. The other host answers.
   * @return the last decision.
   */
  FlowDecision sendCopies(uint64_t flow, uint32_t token, uint32_t copies) {
    milliseconds wait(200);
    passWithout(token, wait);
    FlowDecision last = data(flow, token, 7);
    for (uint32_t copy = 1; copy < copies; ++copy) {
      passWithout(token, wait);
      wait *= 2;
      last = data(flow, token, 7);
    }
    return last;
  }
  void serveRepeatable() {
    Service service = makePickup({{"dispatch", 1}});
    service.repeatable = true;
    director.setService(service);
  }
  FlowDecision next(uint64_t flow, uint32_t token) {
    return director.decide(now, packet(PacketPhase::kContinuing, flow, token), "");
  }
  /** @return the packet with its address but without a service, as if none listened there. */
  static FlowPacket withoutService(FlowPacket made) {
    made.service = ServiceId{};
    made.key.service = {kAddress, kPort};
    made.key.protocol = TransportProtocol::kTcp;
    return made;
  }
  FlowDecision nextWithoutService(uint64_t flow, uint32_t token) {
    return director.decide(now, withoutService(packet(PacketPhase::kContinuing, flow, token)), "");
  }
  /** @return why a decision refuses its flow; nothing if it does not. */
  static std::optional<RefusalReason> refusalOf(const FlowDecision& decision) {
    const auto* refusal = std::get_if<RefuseFlow>(&decision);
    return refusal == nullptr ? std::nullopt : std::optional(refusal->reason);
  }
  /** @return the incarnation of the host that a decision forwards to; 0 if it does not forward. */
  static uint64_t hostOf(const FlowDecision& decision) {
    const auto* forward = std::get_if<ForwardToHost>(&decision);
    return forward == nullptr ? 0 : forward->incarnation;
  }
  /**
   * Opens flows that their hosts answer.
   * @return the number of flows by incarnation.
   */
  std::map<uint64_t, int> openMany(int count) {
    std::map<uint64_t, int> placed;
    for (int index = 0; index < count; ++index) {
      const FlowDecision decision = open(++flows);
      ++placed[hostOf(decision)];
      if (const auto* forward = std::get_if<ForwardToHost>(&decision)) {
        next(flows, forward->token);
      }
    }
    return placed;
  }
  static bool isRefused(const FlowDecision& decision) {
    return std::holds_alternative<RefuseFlow>(decision);
  }
  static bool isDropped(const FlowDecision& decision) {
    return std::holds_alternative<DropPacket>(decision);
  }
  static bool isHeld(const FlowDecision& decision) {
    return std::holds_alternative<HoldPacket>(decision);
  }
};

}  // namespace umberhold
