/**
 * @file Flow decisions without flow state: the packet itself names its host.
 *
 * A new flow is placed at a host of one of its service's groups; the token of that host is stamped
 * into the packet, both ends of the flow reflect it, and every later packet goes to the host that
 * its token names. So any node serves any flow, also one that has just started. Only packet formats
 * with a flow token can be served so (packet/packet_format.h).
 */
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "common/base/random.h"
#include "common/config/service.h"
#include "common/flow/flow_director.h"
#include "common/flow/flow_progress.h"
#include "common/flow/host_estimate.h"
#include "common/flow/service_lookup.h"

namespace umberhold {

/** @return the flow token of a host's incarnation; the same on every node, never 0. */
uint32_t flowTokenOf(uint64_t incarnation);

/** What became of a host with a change of its pool. */
enum class HostChangeKind : uint8_t {
  /** New, or back after it had left. */
  kAdded,
  /** It takes no new flows any more; open ones go on. */
  kDraining,
  /** It was draining and takes new flows again. */
  kActive,
  /** No pool lists it any more; its open flows go on. */
  kLeft,
};

/** @return the snake_case name of a kind. */
std::string_view toString(HostChangeKind kind);

/** One host's change, for logs. */
struct HostChange {
  HostChangeKind kind = HostChangeKind::kAdded;
  std::string pool;
  HostSpec host;
};

/** What a TokenDirector is told at its start. */
struct TokenOptions {
  /** This node's zone: its hosts are preferred for new flows. */
  std::string zone;
  /** No flow lives longer; hosts that left the configuration are remembered so long. */
  Duration flowLife = std::chrono::seconds(60);
};

/** See the file comment. Not thread safe. */
class TokenDirector : public FlowDirector, public ServiceLookup {
 public:
  /** @param random borrowed; must outlive the director. */
  TokenDirector(TokenOptions options, RandomSource& random);

  /** Adds or replaces a service, by name. Its groups name pools, which may arrive later. */
  void setService(const Service& service);
  void removeService(const std::string& name);
  /**
   * Adds or replaces a pool, by name; hosts that it no longer lists keep their open flows.
   * @param version of the catalogue that the pool is from; it is told as evidence only.
   * @return what changed for its hosts.
   */
  std::vector<HostChange> setPool(TimePoint now, const HostPool& pool, uint64_t version = 0);
  std::vector<HostChange> removePool(TimePoint now, const std::string& name, uint64_t version = 0);
  /** No flow lives longer from now on; see TokenOptions. */
  void setFlowLife(Duration flowLife) { options_.flowLife = flowLife; }

  // FlowDirector
  FlowDecision decide(TimePoint now, const FlowPacket& packet, std::string_view bytes) override;
  // ServiceLookup
  std::optional<ServiceMatch> find(uint32_t address, uint16_t port,
                                   TransportProtocol protocol) const override;

  /** Every packet that had arrived was handled; see FlowProgress. */
  void onCaughtUp() { progress_.onCaughtUp(); }

  size_t serviceCount() const { return services_.size(); }
  /** @return hosts that some pool lists. */
  size_t listedHostCount() const;

 private:
  struct Host {
    HostSpec spec;
    HostId id;
    std::string pool;
    /** Whether the pool lists it now. */
    bool listed = true;
    /** When it was last listed; meaningful while it isn't. */
    TimePoint leftAt{};
    /** When a pool first listed it; hosts of one list have one instant. */
    TimePoint firstSeen{};
    /** It left, and a host that appeared later has its endpoint: this incarnation has ended. */
    bool ended = false;
    HostEstimate estimate;
  };
  struct Group {
    HostGroup group;
    /** Flows owed to the group, in units of one flow. */
    double owed = 0.0;
  };
  struct ServiceEntry {
    std::string name;
    uint64_t listen = 0;
    std::vector<Group> groups;
    bool repeatable = false;
  };
  /** The last opening packet of a flow, until the flow's next packet. */
  struct Opening {
    FlowHash flow;
    uint32_t token = 0;
    TimePoint at{};
  };
  using Tokens = std::vector<uint32_t>;
  struct Pool {
    Tokens hosts;
    uint64_t version = 0;
    TimePoint appliedAt{};
  };
  /** How well a host suits a new flow. */
  struct Suitability {
    bool otherZone = false;
    bool silent = false;
    /** The host left an earlier copy of this opening unanswered. */
    bool avoided = false;
    bool vanished = false;
    /** Load for its weight, the new flow included. */
    double load = 0.0;

    /** @return the order of preference, lower first. @param leavesZone hosts of the own zone come
     * after others. */
    double rank(bool leavesZone) const;
  };

  FlowDecision open(TimePoint now, const FlowPacket& packet);
  FlowDecision follow(TimePoint now, const FlowPacket& packet);
  /** Notes what the packet tells of its host. @return whether the flow is to be refused, since its
   * host is silent and its caller may repeat the request. */
  bool noteProgress(TimePoint now, const FlowPacket& packet, Host& host);
  Opening& openingOf(FlowHash flow) { return openings_[flow.value % openings_.size()]; }
  /** @return the token of the host that left an earlier copy of this opening packet unanswered; 0
   * for none. */
  uint32_t noteRepeat(TimePoint now, const FlowPacket& packet);
  /** Also says in evidence_ what decided. */
  Host* place(TimePoint now, ServiceEntry& service, uint32_t avoided);
  Host* placeInPool(TimePoint now, const std::string& pool, uint32_t avoided);
  void noteEvidence(TimePoint now, const ServiceEntry& service, const Host& host, uint32_t avoided);
  /**
   * @return part of the new flows that stay in this node's zone: all of them, or fewer where it has
   * clearly less than an equal share of the pool's hosts. Zones are taken to have equal traffic.
   */
  double ownZonePart(TimePoint now, const std::string& pool) const;
  /** @return how well the host suits; nothing where it may take no new flow. */
  std::optional<Suitability> suitability(TimePoint now, const Host& host, uint32_t avoided) const;
  ForwardToHost forward(const Host& host, uint32_t token) const;
  static bool isActive(const Host& host);
  void admit(TimePoint now, const std::string& pool, const HostSpec& spec,
             std::vector<HostChange>& changes);
  /** Finds the hosts that have surely ended; of two hosts in one list neither is surely older. */
  void settleEnded();
  void forgetOld(TimePoint now);
  /** Whether some group's pool has not arrived yet. */
  bool awaitsPool(const ServiceEntry& service) const;

  TokenOptions options_;
  RandomSource& random_;
  std::unordered_map<ServiceId, ServiceEntry> services_;
  /** Address, port and protocol in one integer, to the service. */
  std::unordered_map<uint64_t, ServiceId> listeners_;
  std::unordered_map<uint32_t, Host> hosts_;
  std::unordered_map<std::string, Pool> pools_;
  /** Of the last opening that got a host. */
  PlacementEvidence evidence_;
  static constexpr size_t kOpenings = 1024;
  std::array<Opening, kOpenings> openings_{};
  FlowProgress progress_;
};

}  // namespace umberhold
