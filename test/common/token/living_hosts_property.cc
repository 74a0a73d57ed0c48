/** @file Over random histories of hosts, nodes, callers and lost packets, no flow of a host that
 * lives is reset, and those of hosts that died are. */
#include <rapidcheck.h>

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
/** Callers keep this many flows each. */
constexpr uint32_t kFlowsEach = 3;
constexpr milliseconds kStep{10};
constexpr milliseconds kFirstCopy{200};
/** In steps: nodes share what they see. */
constexpr int kShareEvery = 30;

/** One flow: its caller sends a request, again and again until it is acknowledged. */
struct Flow {
  FlowKey key;
  /** 0: the flow is closed. */
  uint32_t token = 0;
  uint32_t sequence = 1;
  uint32_t acknowledged = 1;
  bool waits = false;
  TimePoint nextSend{};
  milliseconds wait = kFirstCopy;
};

/** A zone: nodes that carry flows of callers to hosts, and share what they see. */
class Zone {
 public:
  explicit Zone(uint64_t seed) : random_(seed) {
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
    for (uint32_t caller = 0; caller < kCallers * kFlowsEach; ++caller) {
      Flow& flow = flows_.emplace_back();
      flow.key.caller = {0x64400000 + caller / kFlowsEach, static_cast<uint16_t>(1024 + caller)};
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
        play(flow);
      }
      for (auto& node : nodes_) {
        node->onCaughtUp(now_);
        take(node->takeResets());
      }
      if (step % kShareEvery == 0) {
        share();
      }
    }
  }
  void kill(uint32_t host) { dead_.insert(flowTokenOf(host)); }
  /** Packets of the node reach no host; its callers' flows are nobody's fault. */
  void cut(uint32_t node) { cutNode_ = node; }
  /** All hosts stand still for a while; then they answer all that they got meanwhile. */
  void pauseHosts(milliseconds length) { pausedUntil_ = now_ + length; }
  /** Packets that are lost of a thousand, each way. */
  void setLoss(uint32_t perThousand) { loss_ = perThousand; }
  /** What hosts answer does not reach this caller; its own flows may be reset for that. */
  void breakPathOf(uint32_t caller) { brokenCaller_ = 0x64400000 + caller; }

  uint32_t livingReset() const { return livingReset_; }
  uint32_t deadReset() const { return deadReset_; }
  uint32_t flowsOfDead() const {
    uint32_t count = 0;
    for (const Flow& flow : flows_) {
      count += dead_.contains(flow.token) && !flow.waits ? 1 : 0;
    }
    return count;
  }

 private:
  uint32_t nodeOf(const Flow& flow) const {
    return static_cast<uint32_t>(hashOf(flow.key).value % kNodes);
  }
  bool isLost() { return random_.below(1000) < loss_; }

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

  void play(Flow& flow) {
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
    flow.key.caller.port = static_cast<uint16_t>(flow.key.caller.port + kCallers * kFlowsEach);
    const uint32_t node = nodeOf(flow);
    const auto decision = nodes_[node]->decide(now_, packetOf(flow, PacketPhase::kOpening, 0), "");
    const auto* forward = std::get_if<ForwardToHost>(&decision);
    flow.nextSend = now_ + kFirstCopy;
    if (forward != nullptr && reaches(flow, forward->token)) {
      flow.token = forward->token;
      flow.waits = false;
      nodes_[node]->decide(now_, packetOf(flow, PacketPhase::kContinuing, 0), "");
      flow.nextSend = now_ + milliseconds(random_.below(1500));
    }
  }

  bool isPaused() const { return now_ < pausedUntil_; }

  void answerAfterPause(Flow& flow) {
    if (!flow.waits || isPaused() || now_ - kStep >= pausedUntil_ || dead_.contains(flow.token) ||
        nodeOf(flow) == cutNode_ || flow.key.caller.address == brokenCaller_) {
      return;
    }
    noteAnswer(flow);
  }

  bool reaches(const Flow& flow, uint32_t token) {
    return !isPaused() && nodeOf(flow) != cutNode_ && !dead_.contains(token) && !isLost() &&
           !isLost() && flow.key.caller.address != brokenCaller_;
  }

  void request(Flow& flow) {
    const uint32_t node = nodeOf(flow);
    const auto decision =
        nodes_[node]->decide(now_, packetOf(flow, PacketPhase::kContinuing, 100), "");
    if (std::holds_alternative<RefuseFlow>(decision)) {
      noteReset(flow);
      return;
    }
    if (!reaches(flow, flow.token)) {
      flow.waits = true;
      flow.nextSend = now_ + flow.wait;
      flow.wait = std::min<milliseconds>(flow.wait * 2, milliseconds(1600));
      return;
    }
    noteAnswer(flow);
  }

  void noteAnswer(Flow& flow) {
    const uint32_t node = nodeOf(flow);
    flow.waits = false;
    flow.wait = kFirstCopy;
    flow.sequence += 100;
    flow.acknowledged += 500;
    nodes_[node]->decide(now_ + milliseconds(5), packetOf(flow, PacketPhase::kContinuing, 0), "");
    flow.nextSend = now_ + milliseconds(200 + random_.below(3000));
  }

  void noteReset(Flow& flow) {
    const bool isOwnFault = nodeOf(flow) == cutNode_ || flow.key.caller.address == brokenCaller_;
    if (dead_.contains(flow.token)) {
      ++deadReset_;
    } else if (!isOwnFault) {
      ++livingReset_;
    }
    flow.token = 0;
    flow.nextSend = now_ + kStep;
    flow.wait = kFirstCopy;
    flow.waits = false;
  }

  void take(const std::vector<ResetFlow>& resets) {
    for (const ResetFlow& reset : resets) {
      for (Flow& flow : flows_) {
        if (flow.key == reset.key && flow.token != 0) {
          noteReset(flow);
        }
      }
    }
  }

  /** Each node reports at another moment, and hears what was known then. */
  void share() {
    for (uint32_t index = 0; index < kNodes; ++index) {
      gatherers_[index].add(nodes_[index]->takeAckStates());
      silence_.merge(now_, index, gatherers_[index].take(now_));
      nodes_[index]->applySilentHosts(now_, silence_.silentHosts(now_));
    }
  }

  RandomSource random_;
  TimePoint now_{seconds(1000)};
  std::vector<std::unique_ptr<TokenDirector>> nodes_;
  std::map<uint32_t, AckStateCollector> gatherers_;
  ZoneSilence silence_;
  std::vector<Flow> flows_;
  std::set<uint32_t> dead_;
  uint32_t cutNode_ = kNodes;
  uint32_t brokenCaller_ = 0;
  uint32_t loss_ = 0;
  TimePoint pausedUntil_{};
  uint32_t livingReset_ = 0;
  uint32_t deadReset_ = 0;
};

/** Lengths in milliseconds. */
void pauseAllHosts(int shortest, int longest) {
  Zone zone(*rc::gen::arbitrary<uint64_t>());
  zone.run(200);
  zone.pauseHosts(milliseconds(*rc::gen::inRange(shortest, longest)));
  zone.run(300);
  RC_ASSERT(zone.livingReset() == 0U);
}

}  // namespace

TEST_GROUP_BASE(LivingHosts, test::WithoutLeakDetection){};

TEST(LivingHosts, NoFlowOfAHostThatLivesIsResetAndThoseOfDeadOnesAre) {
  const bool held = rc::check("no flow of a living host is reset", [] {
    Zone zone(*rc::gen::arbitrary<uint64_t>());
    zone.setLoss(*rc::gen::inRange<uint32_t>(0, 5));
    zone.run(200);
    const uint32_t event = *rc::gen::inRange(0, 4);
    if (event == 1) {
      zone.cut(*rc::gen::inRange<uint32_t>(0, kNodes));
    } else if (event == 2) {
      zone.breakPathOf(*rc::gen::inRange<uint32_t>(0, kCallers));
    }
    zone.run(200);
    const auto dying = *rc::gen::container<std::set<uint32_t>>(
        *rc::gen::inRange<size_t>(0, 4), rc::gen::inRange<uint32_t>(1, kHosts + 1));
    for (const uint32_t host : dying) {
      zone.kill(host);
    }
    zone.run(400);
    RC_ASSERT(zone.livingReset() == 0U);
    if (event == 0 && !dying.empty()) {
      RC_ASSERT(zone.deadReset() > 0U);
      RC_ASSERT(zone.flowsOfDead() <= 2U);
    }
  });
  CHECK_TRUE(held);
}

/** Callers send again after 200 ms: what many of them do in one pause of hosts is no proof. */
TEST(LivingHosts, AShortPauseOfAllHostsResetsNoFlow) {
  CHECK_TRUE(rc::check("a short pause resets no flow", [] { pauseAllHosts(200, 480); }));
}

/** Guards against news of a zone that are older than what this node has seen since. */
TEST(LivingHosts, ALongPauseOfAllHostsResetsNoFlow) {
  CHECK_TRUE(rc::check("a long pause resets no flow", [] { pauseAllHosts(500, 1900); }));
}

}  // namespace umberhold
