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

/** The caller's and the service's end of a flow. */
struct FlowName {
  Endpoint caller;
  Endpoint service;

  auto operator<=>(const FlowName&) const = default;
};

/** @return the flow of a packet that its caller wrote. */
FlowName flowOfCaller(const EchoPacket& packet);

enum class HostMood : uint8_t {
  kServing,
  /** Keeps its flows, closes each after its next answer, still takes openings. */
  kDraining,
  /** Says nothing; it has forgotten its flows. */
  kEnded,
};

/** What a host is. */
struct HostPlan {
  std::string id;
  uint64_t incarnation = 0;
  std::string service;
  std::string zone;
  Endpoint address;
  Duration work = std::chrono::milliseconds(10);
  /** Requests that it works on at once, and that wait beyond these; 0 slots: no limit. */
  uint32_t slots = 0;
  uint32_t queue = 0;
  /** Open flows that it holds at most; at so many it says nothing to openings. 0: no limit. */
  uint32_t mostFlows = 0;
  /** When it started, Unix ms; tells lives of one id apart. 0: its entry does not say it. */
  uint64_t born = 0;
};

/** What a host tells the world. Each must be set. */
struct HostHooks {
  /** A packet for a caller. */
  std::function<void(const Endpoint& caller, const std::string& packet)> send;
  /** An opening was taken; `node` handed it on. */
  std::function<void(const FlowName& flow, const Endpoint& node)> opening;
  /** A request is taken to be run. */
  std::function<void(const FlowName& flow, const Request& request)> run;
  /** A request was turned away. */
  std::function<void(const Request& request)> turnedAway;
  /** An opening found that the host holds as many flows as it can. */
  std::function<void()> full;
  /** A packet arrived that no caller wrote so. */
  std::function<void(const EchoPacket& packet)> forged;
};

/** See the file comment. Not thread safe. */
class SoakHost {
 public:
  SoakHost(HostPlan plan, HostHooks hooks, RandomSource& random);

  /** A datagram from a node. */
  void onDatagram(TimePoint now, const Endpoint& node, std::string_view bytes);
  void tick(TimePoint now);
  void drain() { mood_ = HostMood::kDraining; }
  /** It crashes or has ended. */
  void end();

  const HostPlan& plan() const { return plan_; }
  HostMood mood() const { return mood_; }
  /** @return whether it holds the flow open. */
  bool holds(const FlowName& flow) const;
  size_t flowCount() const { return flows_.size(); }
  /** @return the open flows that their callers have not closed. */
  size_t openFlowCount() const;

 private:
  struct Job {
    Request request;
    TimePoint doneAt;
    bool turnedAway = false;
  };
  struct Flow {
    StreamEnd stream;
    uint32_t firstSequence = 0;
    TimePoint begunAt{};
    bool open = false;
    bool closing = false;
    std::string text;
    std::vector<Job> jobs;
  };

  void onOpening(TimePoint now, const EchoPacket& packet, const Endpoint& node);
  void onLater(TimePoint now, const EchoPacket& packet, const FlowName& name, Flow& flow);
  void takeRequests(TimePoint now, const FlowName& name, Flow& flow);
  /** @return when the request will be done, or nothing where there is no room for it. */
  std::optional<TimePoint> takeSlot(TimePoint now);
  void answerDone(TimePoint now, Flow& flow);
  void sendReset(const EchoPacket& packet);
  void sendAll(const FlowName& name, const std::vector<std::string>& packets);

  HostPlan plan_;
  HostHooks hooks_;
  RandomSource& random_;
  HostMood mood_ = HostMood::kServing;
  std::map<FlowName, Flow> flows_;
  /** When each slot is free. */
  std::vector<TimePoint> slotsFreeAt_;
  /** When the requests that wait begin. */
  std::deque<TimePoint> waiting_;
};

}  // namespace umberhold::soak
