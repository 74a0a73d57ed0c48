/**
 * @file Flow decisions without flow state: the packet itself identifies its host.
 *
 * A new flow is placed on a host of one of its service's groups. The token of that host is stamped
 * into the packet, both ends of the flow reflect it, and every later packet goes to the host with
 * that token. Any node can therefore forward any flow, even a node that has just started. This
 * requires a packet format with a flow token (packet/packet_format.h).
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
#include "common/token/host_speeds.h"
#include "common/token/opening_watch.h"
#include "common/token/removed_listeners.h"
#include "common/token/request_timer.h"
#include "common/token/response_score.h"
#include "common/token/silence_detector.h"
#include "common/token/token_hosts.h"

namespace umberhold {

/** Start-up options of a TokenDirector. */
struct TokenOptions {
  /** Zone of this node; its hosts are preferred for new flows. */
  std::string zone;
  /** Maximum lifetime of a flow; hosts that left the configuration are kept for this long. */
  Duration flowLife = std::chrono::seconds(60);
  /** How hosts of a pool are compared for a new flow. */
  PlacementOptions placement{};
  ColdHostOptions coldHosts{};
  OpeningLimits openings{};
  /** When a flow may go to another part of a traffic split than the one whose turn it is. */
  OverflowOptions overflow{};
  RoomLimits room{};
};

/** Response time of one request, reported to other nodes. */
struct HostSample {
  /** Flow token of the host. */
  uint32_t token = 0;
  /** Response time as a multiple of the service's usual one. */
  double ratio = 1.0;
  /**
   * Processing time at the host as a multiple of the service's usual one; unset if the request may
   * have waited for a slot.
   */
  std::optional<double> workRatio;
};

/** See the file comment. Not thread safe. */
class TokenDirector : public FlowDirector, public ServiceLookup {
 public:
  /** @param random borrowed; must outlive the director. */
  TokenDirector(TokenOptions options, RandomSource& random);

  /** Adds or replaces a service by name. The pools of its groups may be added later. */
  void setService(const Service& service);
  void removeService(const std::string& name);
  /**
   * Adds or replaces a pool by name. Hosts that it no longer lists keep their open flows.
   * @param version version of the catalogue that contains the pool; only recorded as evidence.
   * @return the changes of its hosts.
   */
  std::vector<HostChange> setPool(TimePoint now, const HostPool& pool, uint64_t version = 0);
  std::vector<HostChange> removePool(TimePoint now, const std::string& name, uint64_t version = 0);
  /**
   * Sets the current time on both clocks. Must precede pool updates, whose hosts report their start
   * times.
   */
  void setWallClock(const WallClock& clock) { hosts_.setWallClock(clock); }
  /**
   * Excludes the hosts of these zones from new flows; open flows continue. Hosts of a zone that
   * returns to service count as cold, because their own cold state may arrive later.
   */
  void setEvacuatedZones(TimePoint now, EvacuatedZones zones);
  /** Sets the number of nodes in this node's zone, including this node. */
  void setZoneNodes(uint32_t nodes) {
    zoneNodes_ = nodes;
    placement_.setZoneNodes(nodes);
  }
  /**
   * Sets the time up to which the services and pools applied so far include all changes. Until it
   * is called, they count as current.
   */
  void setKnownAsOf(TimePoint knownAsOf) { knownAsOf_ = knownAsOf; }
  /** Changes the maximum lifetime of flows; see TokenOptions. */
  void setFlowLife(Duration flowLife) {
    hosts_.setFlowLife(flowLife);
    deadHostFlows_.setFlowLife(flowLife);
  }

  // FlowDirector
  FlowDecision decide(TimePoint now, const FlowPacket& packet, std::string_view bytes) override;
  // ServiceLookup
  std::optional<ServiceMatch> find(uint32_t address, uint16_t port,
                                   TransportProtocol protocol) const override;

  /** Called when all packets that had arrived are handled; see FlowProgress and RequestTimer. */
  void onCaughtUp(TimePoint now);
  /** @return the hosts that became slow or recovered since the last call. */
  std::vector<HostSlownessChange> takeSlownessChanges() { return placement_.takeSlownessChanges(); }
  /** @return this node's own samples since the last call. */
  std::vector<HostSample> takeSamples() { return std::exchange(samples_, {}); }
  /** Applies the response time scores that the nodes of the zone have computed together. */
  void applySlowHosts(TimePoint now, const std::vector<SlowHost>& slowHosts);
  /** Applies the host speeds that the nodes of the zone have estimated together. */
  void applySpeeds(TimePoint now, const std::vector<LearnedSpeed>& speeds) {
    speeds_.apply(now, speeds);
  }
  SpeedSummary speeds(TimePoint now) const { return speeds_.summary(now); }
  /** @return the hosts whose speed became low or is no longer low since the last call. */
  std::vector<SpeedChange> takeSpeedChanges() { return speeds_.takeChanges(); }
  /** Handles hosts that are silent to all nodes of the zone. */
  void applySilentHosts(TimePoint now, const std::vector<SilentHost>& silentHosts);
  /** @return the verdicts on silent hosts since the last call. */
  std::vector<SilenceVerdict> takeSilenceVerdicts() { return silenceDetector_.takeVerdicts(); }
  const SilenceCounters& silenceCounters() const { return silenceDetector_.counters(); }
  /** @return the acknowledgement state of the hosts for which it changed since the last call. */
  std::vector<HostAckState> takeAckStates();

  /** @return flows of dead hosts to be reset now. */
  std::vector<ResetFlow> takeResets() { return deadHostFlows_.take(); }
  /** @return whether takeResets() would return further flows. */
  bool hasResets() const { return deadHostFlows_.hasPending(); }

  /**
   * @return complete held packets to be decided on again: opening packets, and packets whose host
   * has become known.
   */
  std::vector<std::string> takeReleased(TimePoint now);
  /** @return when takeReleased() may return packets; nothing if no opening is queued. */
  std::optional<TimePoint> nextRelease() const { return admission_.nextDue(); }

  const Admission& admission() const { return admission_; }
  Admission& admission() { return admission_; }

  size_t serviceCount() const { return services_.size(); }
  /** @return the number of hosts that are listed by a pool. */
  size_t listedHostCount() const { return hosts_.listedCount(); }
  /** @return the number of listed hosts that are cold and have a rate limit for that phase. */
  size_t coldHostCount(TimePoint now) const { return hosts_.coldCount(now); }

 private:
  struct ServiceEntry {
    std::string name;
    uint64_t listen = 0;
    GroupShares groups;
    SplitOverflow overflow;
    bool repeatable = false;
    uint32_t priority = 1;
    /** Callers abandon a request after this time; 0: unknown. */
    Duration requestTimeout{0};
    /** Callers expect an answer within this time; 0: unknown. */
    Duration targetLatency{0};
    UsualResponseTime usualTime;
    WorkTimes workTimes;

    OpeningParameters needs() const { return {name, priority, requestTimeout, targetLatency}; }
  };
  /**
   * Schedules resets for the flows of hosts that have terminated, and releases packets that were
   * held for hosts that have been added.
   */
  void handleChanges(TimePoint now, const std::vector<HostChange>& changes);
  /**
   * Handles the restart of a host under the same token.
   * @param startedAt start time by this node's clock, if known.
   */
  void handleRestart(TimePoint now, uint32_t token, std::optional<TimePoint> startedAt);
  /**
   * @param remaining remaining duration of the cold phase.
   * @return whether the host was not cold before.
   */
  bool beginCold(TimePoint now, const TokenPool& pool, TokenHost& host, Duration remaining);
  FlowDecision openFlow(TimePoint now, const FlowPacket& packet, std::string_view bytes);
  /** Result of admission for an opening. */
  struct AdmissionResult {
    OpeningDecision decision = OpeningDecision::kPlace;
    /**
     * For kPlace: the pool that takes the flow, either because the opening waited for it or instead
     * of the pool whose turn it is; empty: the pool whose turn it is.
     */
    std::string pool;
    /** The pool whose turn it was but that had no room; empty if there was none. */
    std::string_view overflowFrom;
  };
  /**
   * @return the result of admission for an opening; an opening that has to wait is added to the
   * queue.
   */
  AdmissionResult admit(TimePoint now, ServiceEntry& service, const FlowPacket& packet,
                        std::string_view bytes);
  /**
   * @return the pool that an opening waits or has waited for, if its service still names that pool;
   * nullptr otherwise.
   */
  const std::string* poolWaitedFor(const ServiceEntry& service, const FlowPacket& packet) const;
  /**
   * Handles a pool without room whose turn it is.
   * @return the pool that takes the flow instead; nullptr if there is none.
   */
  const std::string* overflowPool(TimePoint now, ServiceEntry& service, const std::string& due);
  PoolSize poolSizeOf(TimePoint now, const TokenPool& pool);
  /** @return this node's current use of the pool and its limit there. */
  PartUse poolUseOf(TimePoint now, const std::string& pool);
  /**
   * @return the number of nodes that send flows to the pool; all zones are assumed to have as many
   * nodes as this one.
   */
  uint32_t sendingNodes(const TokenPool& pool) const;
  FlowDecision continueFlow(TimePoint now, const FlowPacket& packet, std::string_view bytes);
  /** @return whether the packet is addressed to a service that was removed. */
  bool isToRemovedService(const FlowPacket& packet) const;
  /**
   * Decides whether a service or host that is gone as far as is known is gone for the packet's
   * flow.
   * @return whether the flow was open at a time up to which all changes are known. Otherwise the
   * service or host may have returned, and the flow may have been opened since; it is recorded.
   */
  bool isGoneFor(TimePoint now, const FlowPacket& packet);
  /**
   * Holds a packet whose token matches no known host until the host becomes known: after an outage
   * of the store, live hosts lack an entry for up to 2 s.
   */
  FlowDecision holdForHost(TimePoint now, const FlowPacket& packet, std::string_view bytes);
  /**
   * Records what the packet shows about its host.
   * @return whether to refuse the flow because its host is silent and the request is safe to retry.
   */
  bool recordProgress(TimePoint now, const FlowPacket& packet, const PacketProgress& progress,
                      TokenHost& host);
  /**
   * @param byVerdict whether an earlier verdict decided and not this packet.
   * @return the refusal with its evidence, which is valid until the next one.
   */
  RefuseFlow refuseSilent(TimePoint now, const PacketProgress& progress, const TokenHost& host,
                          bool byVerdict);
  /**
   * Records that the caller continues a flow that may have been opened recently.
   * @return whether it was.
   */
  bool recordOpened(TimePoint now, const FlowPacket& packet);
  /** Records the round-trip time if this is the first packet after the opening of its flow. */
  void recordRoundTrip(TimePoint now, const FlowPacket& packet);
  /**
   * Records the response time of the host if this packet shows it.
   * @param opened whether this is the first request of its flow.
   */
  void recordResponse(TimePoint now, const FlowPacket& packet, TokenHost& host, bool opened);
  /** Records the end of a request, or a request that is far overdue. */
  void recordRequestEnd(TimePoint now, const ServiceEntry& service, const TokenHost& host,
                        Duration took, bool opened);
  void recordSample(TimePoint now, TokenHost& host, const HostSample& sample);
  /** @return whether requests to the pool rarely wait for slots; false if the slots are unknown. */
  bool hasFreeSlots(TimePoint now, const TokenPool& pool) const;
  /** @return whether the nodes of the zone currently decide together which hosts are silent. */
  bool hasZoneUpdates(TimePoint now) const;
  void queueAckState(TokenHost& host);
  /** @param tokens tokens of hosts that count as dead. */
  void resetFlowsOf(TimePoint now, const std::set<uint32_t>& tokens);
  bool isRepeatable(ServiceId service) const;
  /** Records that the host left a caller without an answer, or answered. */
  void recordUnanswered(TimePoint now, TokenHost& host);
  void recordAnswered(TimePoint now, TokenHost& host);
  /**
   * @return the token of the host that left an earlier copy of this opening packet unanswered; 0
   * for none.
   */
  uint32_t recordRepeat(TimePoint now, const FlowPacket& packet);
  TokenHost* place(TimePoint now, ServiceEntry& service, uint32_t avoided);
  /**
   * Places a flow that has already been charged to a group on its pool, if that pool has a host
   * available.
   */
  TokenHost* placeAt(TimePoint now, ServiceEntry& service, const AdmissionResult& result);
  void recordEvidence(const ServiceEntry& service, uint32_t avoided);
  static ForwardToHost forward(const TokenHost& host);
  /** @return whether the pool of at least one group is not known yet. */
  bool isMissingPool(const ServiceEntry& service) const;

  RandomSource& random_;
  const std::string zone_;
  const ColdHostOptions coldHosts_;
  const OverflowOptions overflow_;
  uint32_t zoneNodes_ = 1;
  EvacuatedZones evacuated_;
  std::unordered_map<ServiceId, ServiceEntry> services_;
  /** Service by address, port and protocol packed into one integer. */
  std::unordered_map<uint64_t, ServiceId> listeners_;
  RemovedListeners removedListeners_;
  TimePoint knownAsOf_ = TimePoint::max();
  TokenHosts hosts_;
  HostSpeeds speeds_{hosts_};
  FlowPlacement placement_;
  OpeningWatch openings_;
  Admission admission_;
  /** Packets held for hosts that this node has not received yet. */
  HeldPackets heldForHost_;
  /** Held packets whose hosts have become known. */
  std::vector<std::string> released_;
  FlowProgress progress_;
  RequestTimer timer_;
  SilenceDetector silenceDetector_{hosts_};
  SilentHostEvidence silentHostEvidence_;
  std::optional<TimePoint> lastZoneUpdateAt_;
  DeadHostFlows deadHostFlows_;
  std::vector<HostSample> samples_;
  /** Tokens of the hosts whose acknowledgement state changed; each once. */
  std::vector<uint32_t> pendingAckStates_;
};

}  // namespace umberhold
