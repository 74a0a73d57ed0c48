/** @file Tests of SoakCaller and SoakHost, connected directly by a lossy network. */
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "test/soak/world/soak_caller.h"
#include "test/soak/world/soak_host.h"
#include "test/support/without_leak_detection.h"

namespace umberhold::soak {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr uint32_t kCaller = 0x64400007;
constexpr Endpoint kNode{0x7F010101, 8172};
const std::string kAnyHost(8, '\0');

CallerProfile profile(bool repeatable) {
  CallerProfile result;
  result.service = {0xC6120001, 8443};
  result.repeatable = repeatable;
  return result;
}

}  // namespace

TEST_GROUP_BASE(CallerAndHost, test::WithoutLeakDetection) {
  RandomSource random{7};
  TimePoint now{seconds(100)};
  double lossShare = 0.0;
  std::unique_ptr<SoakHost> host;
  std::unique_ptr<SoakCaller> caller;
  std::deque<std::string> toHost;
  std::deque<std::string> toCaller;
  std::map<uint64_t, int> runs;
  int wrong = 0;
  int forged = 0;
  int resets = 0;
  int full = 0;
  std::set<uint64_t> rejected;
  std::set<uint64_t> notRun;

  void start(bool repeatable, HostPlan plan = {}) {
    HostHooks hooks;
    hooks.send = [this](const Endpoint&, const std::string& packet) {
      if (random.unit() >= lossShare) {
        toCaller.push_back(packet);
      }
    };
    hooks.opening = [](const FlowName&, const Endpoint&) {};
    hooks.run = [this](const FlowName&, const Request& request) { ++runs[request.id]; };
    hooks.rejected = [this](const Request& request) { rejected.insert(request.id); };
    hooks.full = [this] { ++full; };
    hooks.forged = [this](const EchoPacket&) { ++forged; };
    plan.id = "i-1";
    plan.incarnation = 1;
    plan.service = "dispatch";
    host = std::make_unique<SoakHost>(plan, hooks, random);
    CallerHooks callerHooks;
    callerHooks.send = [this](const std::string& packet) {
      if (random.unit() >= lossShare) {
        toHost.push_back(kAnyHost + packet);
      }
    };
    callerHooks.openFlowReset = [this](const FlowName&, TimePoint) { ++resets; };
    callerHooks.wrongAnswer = [this](const std::string&) { ++wrong; };
    callerHooks.notRun = [this](uint64_t request) { notRun.insert(request); };
    callerHooks.ended = [](TimePoint, bool) {};
    caller = std::make_unique<SoakCaller>(kCaller, 1, profile(repeatable), callerHooks, random);
  }
  void runFor(Duration length) {
    for (const TimePoint end = now + length; now < end; now += milliseconds(2)) {
      while (!toHost.empty()) {
        host->onDatagram(now, kNode, toHost.front());
        toHost.pop_front();
      }
      while (!toCaller.empty()) {
        caller->onDatagram(now, toCaller.front());
        toCaller.pop_front();
      }
      host->tick(now);
      caller->tick(now);
    }
  }
};

TEST(CallerAndHost, EveryRequestIsServedWithoutLoss) {
  start(true);
  runFor(seconds(10));
  CHECK_TRUE(caller->counts().asked > 20);
  LONGS_EQUAL(0, caller->counts().failed);
  CHECK_TRUE(caller->counts().served + 1 >= caller->counts().asked);
  LONGS_EQUAL(0, wrong + forged + resets);
}

TEST(CallerAndHost, LossDelaysRequestsAndRunsNoneTwice) {
  lossShare = 0.05;
  start(false);
  runFor(seconds(60));
  CHECK_TRUE(caller->counts().served > 50);
  for (const auto& [request, count] : runs) {
    LONGS_EQUAL(1, count);
  }
  LONGS_EQUAL(0, wrong + forged);
}

TEST(CallerAndHost, DrainingHostClosesItsFlowsAndAcceptsOpenings) {
  start(true);
  runFor(seconds(2));
  host->drain();
  runFor(seconds(3));
  LONGS_EQUAL(0, caller->counts().failed);
  CHECK_TRUE(caller->counts().served > 8);
}

TEST(CallerAndHost, FullHostRejectsRequestsWithoutRunningThem) {
  HostPlan plan;
  plan.slots = 1;
  plan.workTime = seconds(10);  // Far beyond the caller's deadline for its first request.
  start(false, plan);
  runFor(seconds(5));
  LONGS_EQUAL(1, runs.size());
  // The second and the following requests were tried three times each.
  CHECK_TRUE(rejected.size() >= 3);
  CHECK_TRUE(rejected == notRun);
  LONGS_EQUAL(rejected.size(), caller->counts().rejected);
  LONGS_EQUAL(0, rejected.count(runs.begin()->first));
  LONGS_EQUAL(0, wrong + forged + resets);
}

TEST(CallerAndHost, RequestsAreQueuedForASlotUpToTheQueueLimit) {
  HostPlan plan;
  plan.slots = 1;
  plan.maxQueued = 1;
  plan.workTime = milliseconds(3500);
  start(false, plan);
  runFor(seconds(6));
  LONGS_EQUAL(2, runs.size());
  LONGS_EQUAL(0, rejected.size());
}

TEST(CallerAndHost, SystemResetEndsOpenFlowOnlyWithinTheAcknowledgementWindow) {
  start(true);
  EchoPacket last;
  for (int step = 0; caller->counts().served < 2 && step < 2000; ++step) {
    runFor(milliseconds(2));
    if (!toHost.empty()) {
      last = *decode(toHost.back().substr(kAnyHost.size()));
    }
  }
  EchoPacket reset;
  reset.flags = kRst;
  reset.source = last.target;
  reset.sourcePort = last.targetPort;
  reset.target = last.source;
  reset.targetPort = last.sourcePort;
  for (const int64_t offset : {int64_t{1} << 20, -(int64_t{1} << 20), int64_t{76801}}) {
    reset.sequence = static_cast<uint32_t>(last.acknowledged + offset);
    caller->onDatagram(now, encode(reset));
  }
  LONGS_EQUAL(0, resets);
  LONGS_EQUAL(3, caller->counts().strayResets);
  reset.sequence = last.acknowledged - 1000;
  caller->onDatagram(now, encode(reset));
  LONGS_EQUAL(1, resets);
}

TEST(CallerAndHost, FullHostIgnoresOpenings) {
  HostPlan plan;
  plan.maxFlows = 1;
  start(true, plan);
  runFor(seconds(1));
  LONGS_EQUAL(1, host->openFlowCount());
  EchoPacket opening;
  opening.flags = kSyn;
  opening.source = kCaller + 1;
  host->onDatagram(now, kNode, kAnyHost + encodeSealed(opening));
  LONGS_EQUAL(1, full);
  LONGS_EQUAL(0, toCaller.size());
  LONGS_EQUAL(1, host->flowCount());
}

TEST(CallerAndHost, EndedHostSendsNothing) {
  start(true);
  runFor(seconds(1));
  host->end();
  runFor(seconds(8));
  CHECK_TRUE(caller->counts().failed > 0);
  LONGS_EQUAL(0, host->flowCount());
}

TEST(CallerAndHost, DetectsForgedPackets) {
  start(true);
  EchoPacket packet;
  packet.sum = 1;
  caller->onDatagram(now, encode(packet));
  LONGS_EQUAL(1, wrong);
  host->onDatagram(now, kNode, kAnyHost + encode(packet));
  LONGS_EQUAL(1, forged);
}

TEST(CallerAndHost, DetectsAnswerWithWrongBody) {
  start(true);
  for (int step = 0; wrong == 0 && step < 1000; ++step) {
    runFor(milliseconds(2));
    for (std::string& bytes : toCaller) {
      EchoPacket packet = *decode(bytes);
      if (!packet.data.empty()) {
        packet.data.back() = '#';
        bytes = encodeSealed(packet);
      }
    }
  }
  CHECK_TRUE(wrong > 0);
}

}  // namespace umberhold::soak
