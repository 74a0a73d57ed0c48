/**
 * @file Flow decisions without flow state: the packet itself names its host.
 *
 * A new flow is placed at a host of one of its service's groups; the token of that host is stamped
 * into the packet, both ends of the flow reflect it, and every later packet goes to the host that
 * its token names. So any node serves any flow, also one that has just started. Only packet formats
 * with a flow token can be served so (packet/packet_format.h).
 */
#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "common/admission/admission.h"
#include "common/base/random.h"
#include "common/config/service.h"
#include "common/flow/flow_director.h"
#include "common/flow/held_packets.h"
#include "common/flow/service_lookup.h"
#include "common/messages/peer_messages.h"
#include "common/overflow/split_overflow.h"
#include "common/speed/work_times.h"
#include "common/token/dead_host_flows.h"
#include "common/token/flow_placement.h"
#include "common/token/flow_progress.h"
#include "common/token/group_shares.h"
#include "common/token/opening_watch.h"
#include "common/token/request_timer.h"
#include "common/token/response_score.h"
#include "common/token/silence_detector.h"
#include "common/token/token_hosts.h"

namespace umberhold {

/** What a TokenDirector gets at its start. */
struct TokenOptions {
  /** This node's zone: its hosts are preferred for new flows. */
  std::string zone;
  /** No flow lives longer; hosts that left the configuration are remembered so long. */
  Duration flowLife = std::chrono::seconds(60);
  /** How hosts of a pool are compared for a new flow. */
  PlacementOptions placement{};
  ColdHostOptions coldHosts{};
  OpeningLimits openings{};
  /** When a flow may leave the part of its split that it is due to. */
  OverflowOptions overflow{};
  RoomLimits room{};
};

/** One request's time, for other nodes. */
struct HostSample {
  /** Flow token of the host. */
  uint32_t token = 0;
  /** As a multiple of the service's usual time. */
  double ratio = 1.0;
  /** The time that the host worked on it, as a multiple of the service's usual one; nothing where
   * the request may have waited for a slot. */
  std::optional<double> workRatio;
};

/** Speeds of listed hosts, as this node was told; see HostSpeed. */
struct SpeedSummary {
  size_t known = 0;
  /** Hosts that do less than kSlowSpeed. */
  size_t slow = 0;
  /** 1 where none is known. */
  double lowest = 1.0;
  double highest = 1.0;
};

/** A host's learnt speed became low, or is no longer; for logs. */
struct SpeedChange {
  std::string pool;
  std::string host;
  bool low = false;
  /** See HostSpeed. */
  double speed = 1.0;
};

/** Below it a host counts as slow in figures and logs. */
constexpr double kSlowSpeed = 0.5;

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
  /** The time by both clocks; before pools that are set, for the births that their hosts state. */
  void setWallClock(const WallClock& clock) { hosts_.setWallClock(clock); }
  /** Hosts of these zones get no new flow; their open ones go on. Those of a zone that is taken
   * back count as cold: they may say so only later. */
  void setEvacuatedZones(TimePoint now, EvacuatedZones zones);
  /** Nodes of this node's zone, itself included. */
  void setZoneNodes(uint32_t nodes) {
    zoneNodes_ = nodes;
    placement_.setZoneNodes(nodes);
  }
  /** No flow lives longer from now on; see TokenOptions. */
  void setFlowLife(Duration flowLife) {
    hosts_.setFlowLife(flowLife);
    deadHostFlows_.setFlowLife(flowLife);
  }

  // FlowDirector
  FlowDecision decide(TimePoint now, const FlowPacket& packet, std::string_view bytes) override;
  // ServiceLookup
  std::optional<ServiceMatch> find(uint32_t address, uint16_t port,
                                   TransportProtocol protocol) const override;

  /** Every packet that had arrived was handled; see FlowProgress and RequestTimer. */
  void onCaughtUp(TimePoint now);
  /** @return the hosts that became slow or usual since the last call. */
  std::vector<HostSlownessChange> takeSlownessChanges() { return placement_.takeSlownessChanges(); }
  /** @return this node's own samples since the last call. */
  std::vector<HostSample> takeSamples() { return std::exchange(samples_, {}); }
  /** What the nodes of the zone together say of hosts. */
  void applyStandings(TimePoint now, const std::vector<HostStanding>& standings);
  /** The nodes of the zone together find hosts so fast. */
  void applySpeeds(TimePoint now, const std::vector<LearnedSpeed>& speeds);
  SpeedSummary speeds(TimePoint now) const;
  /** @return the hosts whose speed became low, or is no longer, since the last call. */
  std::vector<SpeedChange> takeSpeedChanges() { return std::exchange(speedChanges_, {}); }
  /** Hosts are silent to all nodes of the zone. */
  void applySilentHosts(TimePoint now, const std::vector<SilentHost>& silentHosts);
  /** @return which hosts were taken for dead, or nearly so, since the last call. */
  std::vector<SilenceVerdict> takeSilenceVerdicts() { return silenceJudge_.takeVerdicts(); }
  const SilenceCounters& silenceCounters() const { return silenceJudge_.counters(); }
  /** @return what hosts acknowledged or not, of those where that changed since the last call. */
  std::vector<HostAckState> takeAckStates();

  /** @return flows of dead hosts whose callers are to get a reset now. */
  std::vector<ResetFlow> takeResets() { return deadHostFlows_.take(); }
  /** @return whether takeResets() has more to give. */
  bool hasResets() const { return deadHostFlows_.hasPending(); }

  /** @return whole packets that waited and are to be decided on again: openings, and packets whose
   * hosts have appeared. */
  std::vector<std::string> takeReleased(TimePoint now);
  /** @return when takeReleased() may have something to give; none where no opening waits. */
  std::optional<TimePoint> nextRelease() const { return admission_.nextDue(); }

  const Admission& admission() const { return admission_; }
  Admission& admission() { return admission_; }

  size_t serviceCount() const { return services_.size(); }
  /** @return hosts that some pool lists. */
  size_t listedHostCount() const { return hosts_.listedCount(); }
  /** @return listed hosts that are cold and have a limit for that time. */
  size_t coldHostCount(TimePoint now) const { return hosts_.coldCount(now); }

 private:
  struct ServiceEntry {
    std::string name;
    uint64_t listen = 0;
    GroupShares groups;
    SplitOverflow overflow;
    bool repeatable = false;
    uint32_t priority = 1;
    /** Callers give a request up after so long; 0: not known. */
    Duration requestTimeout{0};
    /** Callers want an answer within so long; 0: not known. */
    Duration targetLatency{0};
    UsualResponseTime usualTime;
    WorkTimes workTimes;

    OpeningNeeds needs() const { return {name, priority, requestTimeout, targetLatency}; }
  };
  /** Flows of hosts that a change showed to have ended are to be reset, and packets that waited for
   * hosts that it brought may go on. */
  void handleChanges(TimePoint now, const std::vector<HostChange>& changes);
  /** The host started again under its token. @param startedAt by this node's clock, where known. */
  void handleRestart(TimePoint now, uint32_t token, std::optional<TimePoint> startedAt);
  /** @param remaining how much longer the host is cold. @return whether it was not cold before. */
  bool beginCold(TimePoint now, const TokenPool& pool, TokenHost& host, Duration remaining);
  FlowDecision openFlow(TimePoint now, const FlowPacket& packet, std::string_view bytes);
  /** What becomes of an opening. */
  struct QueuedOpening {
    OpeningTurn turn = OpeningTurn::kPlace;
    /** Of kPlace: the pool that takes it, since it waited for that one, or instead of the one that
     * is due; empty: the one that is due. */
    std::string pool;
    /** The pool that was due and had no room; empty where none was. */
    std::string_view overflowFrom;
  };
  /** @return what becomes of an opening; where it is to wait, the queue has it now. */
  QueuedOpening enqueue(TimePoint now, ServiceEntry& service, const FlowPacket& packet,
                      std::string_view bytes);
  /** @return the pool that an opening waits for or has waited for, if its service still names it;
   * nullptr for others. */
  const std::string* poolWaitedFor(const ServiceEntry& service, const FlowPacket& packet) const;
  /** The pool that is due has no room. @return the one that takes the flow instead; nullptr: none.
   */
  const std::string* overflowPool(TimePoint now, ServiceEntry& service, const std::string& due);
  PoolSize poolSizeOf(TimePoint now, const TokenPool& pool);
  /** @return what this node has at the pool, against what it may have there. */
  PartUse poolUseOf(TimePoint now, const std::string& pool);
  /** @return nodes that send flows to the pool: zones are taken to have as many as this one. */
  uint32_t sendingNodes(const TokenPool& pool) const;
  FlowDecision continueFlow(TimePoint now, const FlowPacket& packet, std::string_view bytes);
  /** The packet's token names no host that this node knows. It waits for the host: after an outage
   * of the store, hosts that live are without an entry for up to 2 s. */
  FlowDecision holdForHost(TimePoint now, const FlowPacket& packet, std::string_view bytes);
  /** Notes what the packet tells of its host. @return whether the flow is to be refused, since its
   * host is silent and its caller may repeat the request. */
  bool recordProgress(TimePoint now, const FlowPacket& packet, TokenHost& host);
  /** The caller continues a flow that may have been opened a moment ago. @return whether it was. */
  bool recordOpened(TimePoint now, const FlowPacket& packet);
  /** The packet may be the first one after its flow's opening. */
  void recordRoundTrip(TimePoint now, const FlowPacket& packet);
  /** Learns from the packet how long the host took for its request. @param opened it is
   * the first of its flow. */
  void recordResponse(TimePoint now, const FlowPacket& packet, TokenHost& host, bool opened);
  /** A request ended, or waits beyond all measure. */
  void recordRequestEnd(TimePoint now, const ServiceEntry& service, const TokenHost& host,
                    Duration took, bool opened);
  void recordSample(TimePoint now, TokenHost& host, const HostSample& sample);
  void updateLowSpeed(TokenHost& host, double speed);
  /** @return whether requests of the pool hardly wait for slots; false where slots aren't known. */
  bool hasFreeSlots(TimePoint now, const TokenPool& pool) const;
  void queueAckState(TokenHost& host);
  /** @param tokens of hosts that count as dead. */
  void resetFlowsOf(TimePoint now, const std::set<uint32_t>& tokens);
  bool isRepeatable(ServiceId service) const;
  /** The host left a caller without an answer, or gave one. */
  void recordUnanswered(TimePoint now, TokenHost& host);
  void recordAnswered(TimePoint now, TokenHost& host);
  /** @return the token of the host that left an earlier copy of this opening packet unanswered; 0
   * for none. */
  uint32_t recordRepeat(TimePoint now, const FlowPacket& packet);
  TokenHost* place(TimePoint now, ServiceEntry& service, uint32_t avoided);
  /** Places a flow whose turn was taken before, at its pool where that has a host. */
  TokenHost* placeAt(TimePoint now, ServiceEntry& service, const QueuedOpening& queued);
  void recordEvidence(const ServiceEntry& service, uint32_t avoided);
  static ForwardToHost forward(const TokenHost& host);
  /** Whether some group's pool has not arrived yet. */
  bool isMissingPool(const ServiceEntry& service) const;

  RandomSource& random_;
  const std::string zone_;
  const ColdHostOptions coldHosts_;
  const OverflowOptions overflow_;
  uint32_t zoneNodes_ = 1;
  EvacuatedZones evacuated_;
  std::unordered_map<ServiceId, ServiceEntry> services_;
  /** Address, port and protocol in one integer, to the service. */
  std::unordered_map<uint64_t, ServiceId> listeners_;
  TokenHosts hosts_;
  FlowPlacement placement_;
  OpeningWatch openings_;
  Admission admission_;
  /** By hosts that this node does not know yet. */
  HeldPackets heldForHost_;
  /** Their hosts are there now. */
  std::vector<std::string> released_;
  FlowProgress progress_;
  RequestTimer timer_;
  SilenceDetector silenceJudge_{hosts_};
  DeadHostFlows deadHostFlows_;
  std::vector<HostSample> samples_;
  std::vector<SpeedChange> speedChanges_;
  /** Tokens of the hosts whose signs changed; each once. */
  std::vector<uint32_t> pendingAckStates_;
};

}  // namespace umberhold
