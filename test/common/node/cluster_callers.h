/**
 * @file Callers of a fuzzed cluster: they open, repeat, continue and close flows and check
 * delivery.
 */
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "common/base/random.h"
#include "standins/common/inner_packet.h"
#include "standins/flows/flow_oracle.h"
#include "test/support/simulated_cluster.h"

namespace umberhold {

/**
 * Drives traffic through a cluster and passes the observations to a FlowOracle. Not thread safe.
 */
class ClusterCallers {
 public:
  ClusterCallers(SimulatedCluster& cluster, uint64_t seed) : cluster_(cluster), random_(seed) {
    cluster_.observeHosts([this](const SentPacket& sent) { onHost(sent); });
    cluster_.observeCallers([this](const std::string& bytes) { onAnswer(bytes); });
  }

  void addService(const Service& service) {
    services_[service.name] = service;
    for (const HostSpec& host : service.hosts) {
      addHost(service.name, host.endpoint);
    }
  }
  void addHost(const std::string& service, const Endpoint& host) {
    hostsOf_[service].insert(host);
    removedHosts_.erase(host);
    oracle_.addHost(host);
  }
  void removeHost(const Endpoint& host) {
    removedHosts_.insert(host);
    oracle_.removeHost(host);
    for (uint32_t number = 0; number < calls_.size(); ++number) {
      if (calls_[number].openingsAt.contains(host)) {
        end(number);
      }
    }
  }
  /** Ends all flows to the service; no more are opened. */
  void removeService(const std::string& name) {
    services_.erase(name);
    for (uint32_t number = 0; number < calls_.size(); ++number) {
      if (calls_[number].service == name) {
        end(number);
      }
    }
  }

  /** Runs one round of traffic; call it every kRound. */
  void round() {
    for (const auto& [name, service] : services_) {
      open(service);
    }
    for (uint32_t number = 0; number < calls_.size(); ++number) {
      if (!calls_[number].ended) {
        proceed(number);
      }
    }
    cluster_.toHosts().clear();
    cluster_.toCallers().clear();
  }

  FlowOracle& oracle() { return oracle_; }
  /** Packets delivered to a host of another service, or belonging to no opened flow. */
  uint32_t misdeliveredPackets() const { return misdeliveredPackets_; }
  /** TCP flows whose openings reached two hosts. */
  uint32_t flowsOpenedOnTwoHosts() const { return flowsOpenedOnTwoHosts_; }
  bool isTcp(uint32_t flow) const { return calls_[flow].protocol == TransportProtocol::kTcp; }

  static constexpr Duration kRound = std::chrono::milliseconds(100);

 private:
  /** One flow from its caller's point of view. */
  struct Call {
    std::string service;
    TransportProtocol protocol = TransportProtocol::kTcp;
    Endpoint caller;
    Endpoint virtualEndpoint;
    TimePoint opened;
    std::set<Endpoint> openingsAt;
    bool ended = false;
  };
  static constexpr uint32_t kFirstCaller = 0xC0A80000U;
  static constexpr uint16_t kCallerPort = 20000;
  static constexpr Duration kOpenTimeout = std::chrono::seconds(5);
  static constexpr Duration kOpeningRepeatPeriod = std::chrono::seconds(2);

  bool chance(double probability) { return random_.unit() < probability; }

  void open(const Service& service) {
    const auto number = static_cast<uint32_t>(calls_.size());
    const Endpoint caller{kFirstCaller + number, kCallerPort};
    const Endpoint virtualEndpoint{service.address, service.port};
    calls_.push_back(
        Call{service.name, service.protocol, caller, virtualEndpoint, cluster_.now(), {}, false});
    numberOf_[caller] = number;
    oracle_.open(FlowKey{caller, virtualEndpoint, service.protocol});
    send(number, standins::PacketKind::kSyn);
  }

  void proceed(uint32_t number) {
    const Duration age = cluster_.now() - calls_[number].opened;
    const OracleFlow& flow = oracle_.flow(number);
    if (flow.host) {
      proceedEstablished(number, age);
    } else if (age > kOpenTimeout) {
      end(number);
    } else if (chance(flow.refused ? 0.05 : 0.1)) {
      send(number, standins::PacketKind::kSyn);
    }
  }

  void proceedEstablished(uint32_t number, Duration age) {
    if (age < kOpeningRepeatPeriod && chance(0.02)) {
      send(number, standins::PacketKind::kSyn);
    }
    if (chance(0.05)) {
      send(number, standins::PacketKind::kSegment);
    }
    if (chance(0.005)) {
      send(number, standins::PacketKind::kFin);
      end(number);
    }
  }

  void end(uint32_t number) {
    calls_[number].ended = true;
    oracle_.end(number);
  }

  void send(uint32_t number, standins::PacketKind tcpKind) {
    const Call& call = calls_[number];
    const bool tcp = call.protocol == TransportProtocol::kTcp;
    const auto kind = tcp ? tcpKind : standins::PacketKind::kDatagram;
    cluster_.packetFromFabric(standins::buildPacket(
        standins::InnerPacket{kind, call.caller, call.virtualEndpoint, 1, 1, ""}));
  }

  void onHost(const SentPacket& sent) {
    const auto packet = standins::parsePacket(sent.bytes);
    const auto known = isOk(packet) ? numberOf_.find(valueOf(packet).source) : numberOf_.end();
    if (known == numberOf_.end()) {
      ++misdeliveredPackets_;
      return;
    }
    const uint32_t number = known->second;
    Call& call = calls_[number];
    misdeliveredPackets_ += hostsOf_[call.service].contains(sent.host) ? 0 : 1;
    if (removedHosts_.contains(sent.host)) {
      end(number);
    }
    const PacketPhase phase = phaseOf(valueOf(packet).kind);
    if (phase == PacketPhase::kOpening && !call.ended) {
      call.openingsAt.insert(sent.host);
      flowsOpenedOnTwoHosts_ += call.openingsAt.size() == 2 ? 1 : 0;
    }
    oracle_.onHost(cluster_.now(), number, sent.host, phase);
  }

  void onAnswer(const std::string& bytes) {
    const auto packet = standins::parsePacket(bytes);
    if (!isOk(packet)) {
      return;
    }
    // An ICMP error quotes the caller's packet; a reset is addressed to the caller.
    const bool quoted = valueOf(packet).kind == standins::PacketKind::kUnreachable;
    const auto known =
        numberOf_.find(quoted ? valueOf(packet).source : valueOf(packet).destination);
    if (known != numberOf_.end()) {
      oracle_.onRefused(cluster_.now(), known->second, PacketPhase::kOpening);
    }
  }

  static PacketPhase phaseOf(standins::PacketKind kind) {
    switch (kind) {
      case standins::PacketKind::kSyn:
        return PacketPhase::kOpening;
      case standins::PacketKind::kFin:
        return PacketPhase::kClosing;
      case standins::PacketKind::kDatagram:
        return PacketPhase::kUnmarked;
      default:
        return PacketPhase::kContinuing;
    }
  }

  SimulatedCluster& cluster_;
  RandomSource random_;
  FlowOracle oracle_;
  std::map<std::string, Service> services_;
  /** All past and present hosts of each service. */
  std::map<std::string, std::set<Endpoint>> hostsOf_;
  std::set<Endpoint> removedHosts_;
  std::vector<Call> calls_;
  std::map<Endpoint, uint32_t> numberOf_;
  uint32_t misdeliveredPackets_ = 0;
  uint32_t flowsOpenedOnTwoHosts_ = 0;
};

}  // namespace umberhold
