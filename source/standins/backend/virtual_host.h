/** @file One emulated back-end host: slots, queue, limits, cold start, drain and what it ran. No
 * I/O. */
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
  /** The address that callers use; any other destination is a misrouted packet. */
  Endpoint virtualAddress;
  TransportProtocol protocol = TransportProtocol::kTcp;
  /** Requests in service at once. */
  uint32_t slots = 2;
  /** Requests that wait; more are shed. */
  uint32_t queueLimit = 200;
  uint32_t connectionLimit = 2000;
  uint32_t serviceMillis = 5;
  /** While the host is cold, a request takes coldFactor times as long. */
  uint32_t coldMillis = 0;
  uint32_t coldFactor = 8;
  /** Share of answers that are sent late, and so out of order. */
  double lateShare = 0.02;
  uint32_t lateMillis = 150;
  /** Mean pause between two messages that the host sends unasked on a TCP flow; 0: none. */
  uint32_t pushMillis = 0;
  /** Age of the load that is reported. */
  uint32_t reportLagMillis = 1000;
};

/** One request that the host ran. */
struct RunRecord {
  uint64_t requestId = 0;
  Endpoint caller;
  UnixMillis startedAt = 0;
  UnixMillis endedAt = 0;
};

/** One flow that the host held when it stopped. */
struct LostFlow {
  Endpoint caller;
  UnixMillis at = 0;
};

/** What a host counted. */
struct HostCounters {
  uint64_t openedFlows = 0;
  uint64_t resets = 0;
  uint64_t misroutedPackets = 0;
  uint64_t malformedPackets = 0;
  uint64_t shedRequests = 0;
  uint64_t overLimit = 0;
  PushCounters pushes;
  /** When the last new flow was opened; 0: none yet. */
  UnixMillis lastOpenedAt = 0;
};

/** One host. Not thread safe. */
class VirtualHost {
 public:
  VirtualHost(HostProfile profile, UnixMillis now, uint64_t seed);

  /** Takes an inner packet. */
  void onPacket(UnixMillis now, std::string_view bytes);
  /** Starts and ends requests; call every few milliseconds. */
  void onTick(UnixMillis now);
  /** @return the inner packets that are due, in the order in which they leave. */
  std::vector<std::string> takeDue(UnixMillis now);

  /** @return load as the host reports it, in percent: lagging, or what override says. */
  uint32_t reportedLoad() const;
  bool reportsHealthy() const { return reportsHealthy_; }
  /** Makes the health endpoint say something else than the truth. */
  void setReportedHealth(bool healthy) { reportsHealthy_ = healthy; }
  /** Makes the load endpoint mislead; nothing restores the truth. */
  void setReportedLoad(std::optional<uint32_t> percent) { loadOverride_ = percent; }
  /** Starts again with no flows: everything in service is lost and the host is cold. */
  void restart(UnixMillis now);
  /** Sets how long the host is slow after a restart. */
  void setCold(uint32_t coldMillis) { profile_.coldMillis = coldMillis; }

  const HostProfile& profile() const { return profile_; }
  const HostCounters& counters() const { return counters_; }
  /** @return the flows that were open when the host was restarted. */
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
    uint32_t callerNext = 0;
    std::map<uint64_t, Exchange> exchanges;
    /** Empty where the host sends nothing unasked. */
    std::optional<PushSender> pushes;
  };
  struct Work {
    Endpoint caller;
    uint64_t id = 0;
    UnixMillis endsAt = 0;
    size_t record = 0;
  };
  struct Departure {
    UnixMillis due = 0;
    uint64_t order = 0;
    std::string packet;
    bool operator<(const Departure& other) const {
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
  void endRunning(UnixMillis now);
  void answer(UnixMillis now, const Endpoint& caller, Connection& connection, uint64_t id,
              const Exchange& exchange);
  void sendMessage(UnixMillis due, const Endpoint& caller, Connection& connection,
                   const ExchangeMessage& message);
  void sendControl(UnixMillis now, PacketKind kind, const Endpoint& caller, uint32_t sequence,
                   uint32_t acknowledgement);
  void depart(UnixMillis due, const InnerPacket& packet);
  uint32_t loadNow() const;
  uint32_t serviceTime(UnixMillis now);

  HostProfile profile_;
  RandomSource random_;
  UnixMillis startedAt_;
  std::unordered_map<Endpoint, Connection> connections_;
  std::deque<Work> queue_;
  std::vector<Work> running_;
  std::priority_queue<Departure> departures_;
  uint64_t departureOrder_ = 0;
  std::vector<RunRecord> runs_;
  std::vector<LostFlow> lostFlows_;
  HostCounters counters_;
  uint64_t nextPush_ = 1;
  std::deque<std::pair<UnixMillis, uint32_t>> loadHistory_;
  bool reportsHealthy_ = true;
  std::optional<uint32_t> loadOverride_;
};

}  // namespace umberhold::standins
