/** @file One emulated back-end host: slots, queue, limits, cold start, drain and a record of the
 * requests that it ran. No I/O. */
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <queue>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "common/base/random.h"
#include "standins/backend/push_sender.h"
#include "standins/common/exchange_message.h"
#include "standins/common/inner_packet.h"

namespace umberhold::standins {

/** How a host behaves; all times in milliseconds. */
struct HostProfile {
  std::string service;
  std::string name;
  /** Destination address of callers' packets; a packet to any other address counts as misrouted. */
  Endpoint virtualAddress;
  TransportProtocol protocol = TransportProtocol::kTcp;
  /** Maximum number of requests that run concurrently. */
  uint32_t slots = 2;
  /** Maximum number of queued requests; further ones are shed. */
  uint32_t queueLimit = 200;
  uint32_t connectionLimit = 2000;
  /** Minimum service time of a request; the time is uniformly distributed up to twice this value.
   */
  uint32_t serviceMillis = 5;
  /** Duration of the cold phase after a start. */
  uint32_t coldMillis = 0;
  /** Factor by which requests take longer during the cold phase. */
  uint32_t coldFactor = 8;
  /** Share of answer segments that are delayed by up to lateMillis and may therefore be reordered.
   */
  double lateShare = 0.02;
  uint32_t lateMillis = 150;
  /** Mean interval between two unsolicited messages of the host on a TCP flow; 0 disables them. */
  uint32_t pushMillis = 0;
  /** Age of the load that the host reports. */
  uint32_t reportLagMillis = 1000;
};

/** One request that the host ran. */
struct RunRecord {
  uint64_t requestId = 0;
  Endpoint caller;
  UnixMillis startedAt = 0;
  UnixMillis endedAt = 0;
};

/** One flow that was open on the host when it stopped. */
struct LostFlow {
  Endpoint caller;
  UnixMillis at = 0;
};

/** Counters of a host. */
struct HostCounters {
  uint64_t openedFlows = 0;
  /** Packets of unknown flows, answered by RST or status "unknown flow". */
  uint64_t resets = 0;
  uint64_t misroutedPackets = 0;
  uint64_t malformedPackets = 0;
  uint64_t shedRequests = 0;
  /** New flows refused at the connection limit. */
  uint64_t overLimit = 0;
  PushCounters pushes;
  /** When the last new flow was opened; 0: none yet. */
  UnixMillis lastOpenedAt = 0;
};

/** One host. Not thread safe. */
class VirtualHost {
 public:
  VirtualHost(HostProfile profile, UnixMillis now, uint64_t seed);

  /** Processes an inner packet. */
  void onPacket(UnixMillis now, std::string_view bytes);
  /** Starts and completes requests; call every few milliseconds. */
  void onTick(UnixMillis now);
  /** @return the inner packets that are due, in sending order. */
  std::vector<std::string> takeDue(UnixMillis now);

  /** @return the reported load in percent: the load reportLagMillis ago, or the override. */
  uint32_t reportedLoad() const;
  bool reportsHealthy() const { return reportsHealthy_; }
  /** Sets the result of the health endpoint, independent of the host's real state. */
  void setReportedHealth(bool healthy) { reportsHealthy_ = healthy; }
  /** Overrides the reported load; std::nullopt restores the real one. */
  void setReportedLoad(std::optional<uint32_t> percent) { loadOverride_ = percent; }
  /** Restarts the host: all flows and requests are lost, and the cold phase begins. */
  void restart(UnixMillis now);
  /** Sets the duration of the cold phase after a restart. */
  void setCold(uint32_t coldMillis) { profile_.coldMillis = coldMillis; }

  const HostProfile& profile() const { return profile_; }
  const HostCounters& counters() const { return counters_; }
  /** @return the flows that were open when the host restarted. */
  const std::vector<LostFlow>& lostFlows() const { return lostFlows_; }
  const std::vector<RunRecord>& runs() const { return runs_; }
  size_t connectionCount() const { return connections_.size(); }
  size_t busySlots() const { return running_.size(); }
  size_t queueLength() const { return queue_.size(); }

 private:
  enum class RequestState : uint8_t { kQueued, kRunning, kAnswered };
  struct Exchange {
    RequestState state = RequestState::kQueued;
    uint16_t parts = 1;
    UnixMillis deadline = 0;
    AnswerStatus status = AnswerStatus::kDone;
  };
  struct Connection {
    uint32_t hostSequence = 0;
    /** Next expected sequence number of the caller. */
    uint32_t callerNext = 0;
    std::map<uint64_t, Exchange> exchanges;
    /** Empty if the host sends no unsolicited messages. */
    std::optional<PushSender> pushes;
  };
  /** A queued or running request. */
  struct ActiveRequest {
    Endpoint caller;
    uint64_t id = 0;
    UnixMillis completesAt = 0;
    /** Index of its entry in runs_; set when it starts to run. */
    size_t runIndex = 0;
  };
  struct ScheduledPacket {
    UnixMillis due = 0;
    uint64_t order = 0;
    std::string packet;
    bool operator<(const ScheduledPacket& other) const {
      return std::tie(due, order) > std::tie(other.due, other.order);
    }
  };

  void onSyn(UnixMillis now, const InnerPacket& packet);
  void onFin(UnixMillis now, const InnerPacket& packet);
  void onSegment(UnixMillis now, const InnerPacket& packet);
  void onDatagram(UnixMillis now, const InnerPacket& packet);
  void onPayload(UnixMillis now, const Endpoint& caller, Connection& connection,
                 const std::string& payload);
  void onRequest(UnixMillis now, const Endpoint& caller, Connection& connection,
                 const Request& request);
  void onCancellation(UnixMillis now, const Endpoint& caller, Connection& connection, uint64_t id);
  Connection* openConnection(UnixMillis now, const Endpoint& caller);
  void sendPushes(UnixMillis now);
  void startQueued(UnixMillis now);
  void completeRunning(UnixMillis now);
  void answer(UnixMillis now, const Endpoint& caller, Connection& connection, uint64_t id,
              const Exchange& exchange);
  void sendMessage(UnixMillis due, const Endpoint& caller, Connection& connection,
                   const ExchangeMessage& message);
  void sendControl(UnixMillis now, PacketKind kind, const Endpoint& caller, uint32_t sequence,
                   uint32_t acknowledgement);
  void schedulePacket(UnixMillis due, const InnerPacket& packet);
  /** @return queued and running requests over slots, in percent. */
  uint32_t loadNow() const;
  /** @return a random service time in milliseconds. */
  uint32_t serviceTime(UnixMillis now);

  HostProfile profile_;
  RandomSource random_;
  UnixMillis startedAt_;
  std::unordered_map<Endpoint, Connection> connections_;
  std::deque<ActiveRequest> queue_;
  std::vector<ActiveRequest> running_;
  std::priority_queue<ScheduledPacket> scheduledPackets_;
  uint64_t scheduleOrder_ = 0;
  std::vector<RunRecord> runs_;
  std::vector<LostFlow> lostFlows_;
  HostCounters counters_;
  uint64_t nextPushId_ = 1;
  /** Load every 100 ms with its time, oldest first; the first entry is the reported load. */
  std::deque<std::pair<UnixMillis, uint32_t>> loadHistory_;
  bool reportsHealthy_ = true;
  std::optional<uint32_t> loadOverride_;
};

}  // namespace umberhold::standins
