/**
 * @file For random sequences of host, node, caller and packet loss failures: no flow of a live host
 * is reset, and flows of dead hosts are.
 */
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "common/base/hash.h"
#include "common/health/observation_exchange.h"
#include "common/token/token_director.h"

#include "test/support/without_leak_detection.h"

#include <CppUTest/TestHarness.h>

namespace umberhold {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr uint32_t kHosts = 12;
constexpr uint32_t kNodes = 6;
constexpr uint32_t kCallers = 40;
/** Number of flows that each caller keeps. */
constexpr uint32_t kFlowsPerCaller = 3;
constexpr milliseconds kStep{10};
constexpr milliseconds kInitialRetransmissionTimeout{200};
/** Interval in steps at which nodes share their observations. */
constexpr int kShareIntervalSteps = 30;

/** A flow whose caller sends requests and retransmits each until it is acknowledged. */
struct Flow {
  FlowKey key;
  /** 0: the flow is closed. */
  uint32_t token = 0;
  uint32_t sequence = 1;
  uint32_t acknowledged = 1;
  bool waiting = false;
  TimePoint nextSend{};
  milliseconds wait = kInitialRetransmissionTimeout;
};

/** A zone whose nodes forward flows of callers to hosts and share their observations. */
class Zone {
 public:
  explicit Zone(uint64_t seed) : random_(seed) {
    silence_.setZoneNodes(kNodes);
    HostPool pool{"dispatch", {}};
    for (uint32_t number = 1; number <= kHosts; ++number) {
      HostSpec host;
      host.name = "h-" + std::to_string(number);
      host.endpoint = {0x0A800000 + number, 8080};
      host.zone = "bole";
      host.incarnation = number;
      pool.hosts.push_back(host);
    }
    for (uint32_t index = 0; index < kNodes; ++index) {
      auto& node = nodes_.emplace_back(
          std::make_unique<TokenDirector>(TokenOptions{"bole", seconds(60)}, random_));
      Service service;
      service.name = "pickup";
      service.address = 1;
      service.port = 443;
      service.repeatable = random_.below(2) == 0;
      service.groups = {{"dispatch", 1}};
      node->setService(service);
      node->setPool(now_, pool);
    }
    for (uint32_t caller = 0; caller < kCallers * kFlowsPerCaller; ++caller) {
      Flow& flow = flows_.emplace_back();
      flow.key.caller = {0x64400000 + caller / kFlowsPerCaller,
                         static_cast<uint16_t>(1024 + caller)};
      flow.key.service = {1, 443};
      flow.nextSend = now_ + milliseconds(random_.below(2000));
    }
  }

  void run(int steps) {
    for (int step = 0; step < steps; ++step) {
      now_ += kStep;
      for (Flow& flow : flows_) {
        answerAfterPause(flow);
      }
      for (Flow& flow : flows_) {
        advance(flow);
      }
      for (auto& node : nodes_) {
        node->onCaughtUp(now_);
        applyResets(node->takeResets());
      }
      if (pollsAsFollowers_) {
        poll();
      } else if (step % kShareIntervalSteps == 0) {
        share();
      }
    }
  }
  /** Lets nodes report as ObjectStoreAdapter does, instead of all at once every 300 ms. */
  void pollAsFollowers() {
    pollsAsFollowers_ = true;
    for (uint32_t index = 0; index < kNodes; ++index) {
      nextPoll_[index] = now_ + milliseconds(random_.below(1000));
    }
  }
  void kill(uint32_t host) { dead_.insert(flowTokenOf(host)); }
  /** Drops all packets from the node to hosts. */
  void partitionNode(uint32_t node) { partitionedNode_ = node; }
  /**
   * Drops a share of the packets from these nodes to hosts for a while, as a link does that other
   * traffic of the node fills.
   * @param perThousand packet loss per thousand.
   */
  void overloadLinks(std::set<uint32_t> nodes, uint32_t perThousand, milliseconds length) {
    overloadedNodes_ = std::move(nodes);
    overloadLoss_ = perThousand;
    overloadedUntil_ = now_ + length;
  }
  /**
   * Pauses all hosts for a while; afterwards they answer everything that they received in that
   * time.
   */
  void pauseHosts(milliseconds length) { pausedUntil_ = now_ + length; }
  /** Packet loss per thousand in each direction. */
  void setLoss(uint32_t perThousand) { loss_ = perThousand; }
  /** Drops all answers to this caller. Resets of its own flows are not counted as errors. */
  void breakPathOfCaller(uint32_t caller) { brokenCaller_ = 0x64400000 + caller; }

  uint32_t liveFlowsReset() const { return liveFlowsReset_; }
  uint32_t deadFlowsReset() const { return deadFlowsReset_; }
  uint32_t openFlowsOfDeadHosts() const {
    uint32_t count = 0;
    for (const Flow& flow : flows_) {
      count += dead_.contains(flow.token) && !flow.waiting ? 1 : 0;
    }
    return count;
  }

 private:
  uint32_t nodeOf(const Flow& flow) const {
    return static_cast<uint32_t>(hashOf(flow.key).value % kNodes);
  }
  bool isLost() { return random_.below(1000) < loss_; }
  bool isLostOnLink(const Flow& flow) {
    return now_ < overloadedUntil_ && overloadedNodes_.contains(nodeOf(flow)) &&
           random_.below(1000) < overloadLoss_;
  }

  FlowPacket packetOf(const Flow& flow, PacketPhase phase, uint32_t dataBytes) const {
    FlowPacket packet;
    packet.key = flow.key;
    packet.hash = hashOf(flow.key);
    packet.service = serviceIdOf("pickup");
    packet.phase = phase;
    packet.token = flow.token;
    packet.sequence = flow.sequence;
    packet.acknowledged = flow.acknowledged;
    packet.dataBytes = dataBytes;
    return packet;
  }

  void advance(Flow& flow) {
    if (now_ < flow.nextSend) {
      return;
    }
    if (flow.token == 0) {
      open(flow);
    } else {
      request(flow);
    }
  }

  void open(Flow& flow) {
    flow.key.caller.port = static_cast<uint16_t>(flow.key.caller.port + kCallers * kFlowsPerCaller);
    const uint32_t node = nodeOf(flow);
    const auto decision = nodes_[node]->decide(now_, packetOf(flow, PacketPhase::kOpening, 0), "");
    const auto* forward = std::get_if<ForwardToHost>(&decision);
    flow.nextSend = now_ + kInitialRetransmissionTimeout;
    if (forward != nullptr && reaches(flow, forward->token)) {
      flow.token = forward->token;
      flow.waiting = false;
      nodes_[node]->decide(now_, packetOf(flow, PacketPhase::kContinuing, 0), "");
      flow.nextSend = now_ + milliseconds(random_.below(1500));
    }
  }

  bool isPaused() const { return now_ < pausedUntil_; }

  void answerAfterPause(Flow& flow) {
    if (!flow.waiting || isPaused() || now_ - kStep >= pausedUntil_ || dead_.contains(flow.token) ||
        nodeOf(flow) == partitionedNode_ || flow.key.caller.address == brokenCaller_) {
      return;
    }
    recordAnswer(flow);
  }

  bool reaches(const Flow& flow, uint32_t token) {
    return !isPaused() && nodeOf(flow) != partitionedNode_ && !dead_.contains(token) && !isLost() &&
           !isLost() && !isLostOnLink(flow) && flow.key.caller.address != brokenCaller_;
  }

  void request(Flow& flow) {
    const uint32_t node = nodeOf(flow);
    const auto decision =
        nodes_[node]->decide(now_, packetOf(flow, PacketPhase::kContinuing, 100), "");
    if (std::holds_alternative<RefuseFlow>(decision)) {
      recordReset(flow);
      return;
    }
    if (!reaches(flow, flow.token)) {
      flow.waiting = true;
      flow.nextSend = now_ + flow.wait;
      flow.wait = std::min<milliseconds>(flow.wait * 2, milliseconds(1600));
      return;
    }
    recordAnswer(flow);
  }

  void recordAnswer(Flow& flow) {
    const uint32_t node = nodeOf(flow);
    flow.waiting = false;
    flow.wait = kInitialRetransmissionTimeout;
    flow.sequence += 100;
    flow.acknowledged += 500;
    nodes_[node]->decide(now_ + milliseconds(5), packetOf(flow, PacketPhase::kContinuing, 0), "");
    flow.nextSend = now_ + milliseconds(200 + random_.below(3000));
  }

  void recordReset(Flow& flow) {
    const bool isExpected = flow.key.caller.address == brokenCaller_;
    if (dead_.contains(flow.token)) {
      ++deadFlowsReset_;
    } else if (!isExpected) {
      ++liveFlowsReset_;
    }
    flow.token = 0;
    flow.nextSend = now_ + kStep;
    flow.wait = kInitialRetransmissionTimeout;
    flow.waiting = false;
  }

  void applyResets(const std::vector<ResetFlow>& resets) {
    for (const ResetFlow& reset : resets) {
      for (Flow& flow : flows_) {
        if (flow.key == reset.key && flow.token != 0) {
          recordReset(flow);
        }
      }
    }
  }

  /** Nodes report one after the other, and each receives the aggregate known at that moment. */
  void share() {
    for (uint32_t index = 0; index < kNodes; ++index) {
      collectors_[index].add(nodes_[index]->takeAckStates());
      silence_.merge(now_, index, collectors_[index].take(now_));
      nodes_[index]->applySilentHosts(now_, silence_.silentHosts(now_));
    }
  }

  /**
   * A node polls the reader, node 0, once a second, and 200 ms after its last poll if a host left
   * data unacknowledged; the reader merges its own state once a second or after 100 ms.
   */
  void poll() {
    for (uint32_t index = 0; index < kNodes; ++index) {
      const std::vector<HostAckState> states = nodes_[index]->takeAckStates();
      collectors_[index].add(states);
      const bool urgent = std::any_of(states.begin(), states.end(),
                                      [](const HostAckState& state) { return state.copies > 0; });
      const milliseconds interval(index == 0 ? 100 : 200);
      nextPoll_[index] =
          urgent ? std::min(nextPoll_[index], std::max(now_, lastPoll_[index] + interval))
                 : nextPoll_[index];
      if (now_ < nextPoll_[index]) {
        continue;
      }
      lastPoll_[index] = now_;
      silence_.merge(now_, index, collectors_[index].take(now_));
      const std::vector<SilentHost> silent = silence_.silentHosts(now_);
      nodes_[index]->applySilentHosts(now_, silent);
      nextPoll_[index] =
          now_ + (silent.empty() || index == 0 ? milliseconds(900 + random_.below(200))
                                               : milliseconds(300));
    }
  }

  RandomSource random_;
  TimePoint now_{seconds(1000)};
  bool pollsAsFollowers_ = false;
  std::map<uint32_t, TimePoint> nextPoll_;
  std::map<uint32_t, TimePoint> lastPoll_;
  std::vector<std::unique_ptr<TokenDirector>> nodes_;
  std::map<uint32_t, AckStateCollector> collectors_;
  ZoneSilence silence_;
  std::vector<Flow> flows_;
  std::set<uint32_t> dead_;
  uint32_t partitionedNode_ = kNodes;
  uint32_t brokenCaller_ = 0;
  uint32_t loss_ = 0;
  std::set<uint32_t> overloadedNodes_;
  uint32_t overloadLoss_ = 0;
  TimePoint overloadedUntil_{};
  TimePoint pausedUntil_{};
  uint32_t liveFlowsReset_ = 0;
  uint32_t deadFlowsReset_ = 0;
};

/** Durations in milliseconds. */
void pauseAllHosts(int shortest, int longest) {
  Zone zone(*rc::gen::arbitrary<uint64_t>());
  zone.run(200);
  zone.pauseHosts(milliseconds(*rc::gen::inRange(shortest, longest)));
  zone.run(300);
  RC_ASSERT(zone.liveFlowsReset() == 0U);
}

/** @param nodes number of nodes whose links lose packets at the same time. */
void overloadLinks(size_t nodes, bool pollsAsFollowers = false) {
  Zone zone(*rc::gen::arbitrary<uint64_t>());
  if (pollsAsFollowers) {
    zone.pollAsFollowers();
  }
  zone.run(200);
  const auto overloaded =
      *rc::gen::container<std::set<uint32_t>>(nodes, rc::gen::inRange<uint32_t>(0, kNodes));
  zone.overloadLinks(overloaded, *rc::gen::inRange<uint32_t>(300, 1001),
                     milliseconds(*rc::gen::inRange(300, 2500)));
  zone.run(500);
  RC_ASSERT(zone.liveFlowsReset() == 0U);
}

}  // namespace

TEST_GROUP_BASE(LivingHosts, test::WithoutLeakDetection){};

TEST(LivingHosts, ResetsFlowsOfDeadHostsOnly) {
  const bool held = rc::check("no flow of a live host is reset", [] {
    Zone zone(*rc::gen::arbitrary<uint64_t>());
    zone.setLoss(*rc::gen::inRange<uint32_t>(0, 5));
    zone.run(200);
    const uint32_t event = *rc::gen::inRange(0, 4);
    if (event == 1) {
      zone.partitionNode(*rc::gen::inRange<uint32_t>(0, kNodes));
    } else if (event == 2) {
      zone.breakPathOfCaller(*rc::gen::inRange<uint32_t>(0, kCallers));
    }
    zone.run(200);
    const auto dying = *rc::gen::container<std::set<uint32_t>>(
        *rc::gen::inRange<size_t>(0, 4), rc::gen::inRange<uint32_t>(1, kHosts + 1));
    for (const uint32_t host : dying) {
      zone.kill(host);
    }
    zone.run(400);
    RC_ASSERT(zone.liveFlowsReset() == 0U);
    if (event == 0 && !dying.empty()) {
      RC_ASSERT(zone.deadFlowsReset() > 0U);
      RC_ASSERT(zone.openFlowsOfDeadHosts() <= 2U);
    }
  });
  CHECK_TRUE(held);
}

/**
 * Callers retransmit after 200 ms, so retransmissions by many callers during one pause of the hosts
 * are no evidence of a failure.
 */
TEST(LivingHosts, AShortPauseOfAllHostsResetsNoFlow) {
  CHECK_TRUE(rc::check("a short pause resets no flow", [] { pauseAllHosts(200, 480); }));
}

/** Guards against taking the loss on a node's own link for the death of its hosts. */
TEST(LivingHosts, AnOverloadedLinkOfANodeResetsNoFlow) {
  CHECK_TRUE(rc::check("one overloaded link resets no flow", [] { overloadLinks(1); }));
  CHECK_TRUE(rc::check("two overloaded links reset no flow", [] { overloadLinks(2); }));
}

/** Guards against zone verdicts before other nodes have reported that the host answers them. */
TEST(LivingHosts, OverloadedLinksOfNodesThatPollOnceASecondResetNoFlow) {
  CHECK_TRUE(rc::check("two overloaded links reset no flow", [] { overloadLinks(2, true); }));
}

/** Guards against aggregated zone state that is older than what this node has observed since. */
TEST(LivingHosts, ALongPauseOfAllHostsResetsNoFlow) {
  CHECK_TRUE(rc::check("a long pause resets no flow", [] { pauseAllHosts(500, 1900); }));
}

}  // namespace umberhold
