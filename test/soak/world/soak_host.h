/** @file A host of the platform: flows, requests, work, answers, draining. No I/O. */
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "common/base/endpoint.h"
#include "common/base/random.h"
#include "common/base/time.h"
#include "test/soak/world/exchange.h"
#include "test/soak/world/stream_end.h"

namespace umberhold::soak {

/** Endpoints of the caller and the service of a flow. */
struct FlowName {
  Endpoint caller;
  Endpoint service;

  auto operator<=>(const FlowName&) const = default;
};

/** @return the flow of a packet sent by its caller. */
FlowName flowOfCaller(const EchoPacket& packet);

enum class HostState : uint8_t {
  kServing,
  /** Closes each flow after its next answer; still accepts openings. */
  kDraining,
  /** Sends nothing and has no flows. */
  kEnded,
};

/** Identity and limits of a host. */
struct HostPlan {
  std::string id;
  uint64_t incarnation = 0;
  std::string service;
  std::string zone;
  Endpoint address;
  Duration workTime = std::chrono::milliseconds(10);
  /** Maximum numbers of running and of queued requests; 0 slots: no limit. */
  uint32_t slots = 0;
  uint32_t maxQueued = 0;
  /** Maximum number of open flows; at the limit, openings are ignored. 0: no limit. */
  uint32_t maxFlows = 0;
  /** Start time in Unix ms; distinguishes processes with one id. 0: not part of its entry. */
  uint64_t startedAtMillis = 0;
};

/** Callbacks of a host. All must be set. */
struct HostHooks {
  /** A packet for a caller. */
  std::function<void(const Endpoint& caller, const std::string& packet)> send;
  /** An opening forwarded by `node` arrived; also called if it is then ignored at the flow limit.
   */
  std::function<void(const FlowName& flow, const Endpoint& node)> opening;
  /** A request was accepted to be run. */
  std::function<void(const FlowName& flow, const Request& request)> run;
  /** A request was rejected. */
  std::function<void(const Request& request)> rejected;
  /** An opening arrived at the flow limit. */
  std::function<void()> full;
  /** A packet that is malformed or has an invalid checksum arrived. */
  std::function<void(const EchoPacket& packet)> forged;
};

/** See the file comment. Not thread safe. */
class SoakHost {
 public:
  SoakHost(HostPlan plan, HostHooks hooks, RandomSource& random);

  /** Processes a datagram from a node. */
  void onDatagram(TimePoint now, const Endpoint& node, std::string_view bytes);
  void tick(TimePoint now);
  void drain() { state_ = HostState::kDraining; }
  /** Ends or crashes the host. */
  void end();

  const HostPlan& plan() const { return plan_; }
  HostState state() const { return state_; }
  /** @return whether the flow is open on the host. */
  bool holds(const FlowName& flow) const;
  size_t flowCount() const { return flows_.size(); }
  /** @return the number of open flows that their callers have not closed. */
  size_t openFlowCount() const;

 private:
  struct Job {
    Request request;
    TimePoint doneAt;
    bool rejected = false;
  };
  struct Flow {
    StreamEnd stream;
    uint32_t firstSequence = 0;
    TimePoint startedAt{};
    bool open = false;
    bool closing = false;
    std::string received;
    std::vector<Job> jobs;
  };

  void onOpening(TimePoint now, const EchoPacket& packet, const Endpoint& node);
  void onSegment(TimePoint now, const EchoPacket& packet, const FlowName& name, Flow& flow);
  void acceptRequests(TimePoint now, const FlowName& name, Flow& flow);
  /** @return when the request will be done, or nothing without a free slot or queue place. */
  std::optional<TimePoint> reserveSlot(TimePoint now);
  void answerDone(TimePoint now, Flow& flow);
  void sendReset(const EchoPacket& packet);
  void sendAll(const FlowName& name, const std::vector<std::string>& packets);

  HostPlan plan_;
  HostHooks hooks_;
  RandomSource& random_;
  HostState state_ = HostState::kServing;
  std::map<FlowName, Flow> flows_;
  /** When each slot becomes free. */
  std::vector<TimePoint> slotsFreeAt_;
  /** When each queued request starts. */
  std::deque<TimePoint> queuedUntil_;
};

}  // namespace umberhold::soak
