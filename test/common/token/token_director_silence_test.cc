/** @file Flows of hosts that acknowledge nothing, and of hosts that only seem so. */
#include "common/token/token_director.h"

#include "test/common/token/token_director_fixture.h"

#include <CppUTest/TestHarness.h>

namespace umberhold {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

}  // namespace

TEST_GROUP_BASE(TokenDirectorSilence, TokenDirectorFixture){};

TEST(TokenDirectorSilence, RefusesAFlowOfASilentHost) {
  serveRepeatable();
  const auto opened = open(1);
  const uint32_t token = std::get<ForwardToHost>(opened).token;
  CHECK_TRUE(std::holds_alternative<ForwardToHost>(sendCopies(1, token, 3)));
  passWithout(token, milliseconds(800));
  const FlowDecision fourth = data(1, token, 7);
  CHECK_TRUE(std::holds_alternative<RefuseFlow>(fourth));
  CHECK_TRUE(std::get<RefuseFlow>(fourth).reason == RefusalReason::kHostSilent);
  // New flows go to the other host in the meantime.
  for (uint64_t flow = 10; flow < 20; ++flow) {
    CHECK_TRUE(hostOf(open(flow)) != hostOf(opened));
  }
}

TEST(TokenDirectorSilence, CountsRetransmissionsOfOtherFlows) {
  serveRepeatable();
  const uint32_t token = flowTokenOf(1);
  passWithout(token, milliseconds(200));
  data(1, token, 7);
  passWithout(token, milliseconds(200));
  data(1, token, 7);
  passWithout(token, milliseconds(150));
  data(2, token, 7);
  passWithout(token, milliseconds(200));
  data(2, token, 7);
  passWithout(token, milliseconds(50));
  data(1, token, 7);
  passWithout(token, milliseconds(350));
  // The third copy of this flow; without the other flow, its fourth would be refused.
  CHECK_TRUE(std::holds_alternative<RefuseFlow>(data(2, token, 7)));
}

TEST(TokenDirectorSilence, AnyAnswerEndsSilence) {
  serveRepeatable();
  const uint32_t token = std::get<ForwardToHost>(open(1)).token;
  acknowledge(2, token, 10);
  CHECK_TRUE(std::holds_alternative<ForwardToHost>(sendCopies(1, token, 3)));
  acknowledge(2, token, 600);
  passWithout(token, milliseconds(800));
  CHECK_TRUE(std::holds_alternative<ForwardToHost>(data(1, token, 7)));
}

TEST(TokenDirectorSilence, ANodeThatLosesItsPacketsRefusesNoFlow) {
  serveRepeatable();
  const uint32_t token = flowTokenOf(1);
  passWithout(token, milliseconds(500));
  // Nothing sent within 1.2 s is answered by any host; host 2 answers what is sent afterwards.
  data(1, token, 7);
  for (const int wait : {200, 400}) {
    now += milliseconds(wait);
    CHECK_TRUE(std::holds_alternative<ForwardToHost>(data(1, token, 7)));
  }
  now += milliseconds(600);
  passWithout(token, milliseconds(200));
  CHECK_TRUE(std::holds_alternative<ForwardToHost>(data(1, token, 7)));
}

TEST(TokenDirectorSilence, ANodeAloneSilencesNobodyWhileItsZoneShares) {
  serveRepeatable();
  const uint32_t token = flowTokenOf(1);
  for (uint32_t copies = 1; copies <= 5; ++copies) {
    director.applySilentHosts(now, {});
    passWithout(token, milliseconds(400));
    CHECK_TRUE(std::holds_alternative<ForwardToHost>(data(1, token, 7)));
    CHECK_TRUE(std::holds_alternative<ForwardToHost>(data(2, token, 7)));
    CHECK_TRUE(std::holds_alternative<ForwardToHost>(data(3, token, 7)));
  }
  CHECK_FALSE(director.hasResets());
  passWithout(token, seconds(3));
  CHECK_TRUE(std::holds_alternative<RefuseFlow>(data(1, token, 7)));
}

TEST(TokenDirectorSilence, LeavesNonRepeatableRequestsToTheirHost) {
  const uint32_t token = std::get<ForwardToHost>(open(1)).token;
  CHECK_TRUE(std::holds_alternative<ForwardToHost>(sendCopies(1, token, 6)));
}

TEST(TokenDirectorSilence, HostSilentToThreeCallersIsDead) {
  serveRepeatable();
  const uint32_t token = flowTokenOf(1);
  acknowledge(9, token, 10);
  acknowledge(9, token, 600);
  passWithout(token, milliseconds(100));
  for (uint64_t flow = 1; flow <= 3; ++flow) {
    data(flow, token, 7);
  }
  passWithout(token, milliseconds(200));
  // All three callers retransmit during one pause of the host.
  for (uint64_t flow = 1; flow <= 3; ++flow) {
    CHECK_TRUE(std::holds_alternative<ForwardToHost>(data(flow, token, 7)));
  }
  CHECK_FALSE(director.hasResets());
  passWithout(token, milliseconds(300));
  CHECK_TRUE(std::holds_alternative<ForwardToHost>(data(3, token, 7)));
  passWithout(token, milliseconds(500));
  // The host has missed what was sent over 500 ms.
  CHECK_TRUE(std::holds_alternative<RefuseFlow>(data(3, token, 7)));
  // Requests in flight are safe to retry, and flow 9 is idle.
  LONGS_EQUAL(4, director.takeResets().size());
  CHECK_TRUE(std::holds_alternative<RefuseFlow>(data(4, token, 7)));
  LONGS_EQUAL(0, openMany(20)[1]);
}

TEST(TokenDirectorSilence, HostSilentToTheZoneIsDeadUnlessItAnsweredHere) {
  const uint32_t token = flowTokenOf(1);
  acknowledge(9, token, 10);
  acknowledge(9, token, 600);
  now += milliseconds(500);
  director.applySilentHosts(now, {{token, 600}});
  CHECK_FALSE(director.hasResets());
  director.applySilentHosts(now, {{token, 400}});
  LONGS_EQUAL(1, director.takeResets().size());
  CHECK_EQUAL(1, hostOf(next(10, token)));
  LONGS_EQUAL(0, openMany(20)[1]);
  acknowledge(10, token, 10);
  acknowledge(10, token, 600);
  CHECK_TRUE(openMany(20)[1] > 0);
}

TEST(TokenDirectorSilence, NeverMarksMoreThanHalfOfAPoolDead) {
  director.setPool(now, {"dispatch", {makeHost(1), makeHost(2), makeHost(3)}});
  acknowledge(9, flowTokenOf(1), 10);
  acknowledge(9, flowTokenOf(1), 600);
  now += milliseconds(500);
  director.applySilentHosts(now, {{flowTokenOf(1), 400}, {flowTokenOf(2), 400}});
  CHECK_FALSE(director.hasResets());
  director.applySilentHosts(now, {{flowTokenOf(1), 400}});
  CHECK_TRUE(director.hasResets());
}

TEST(TokenDirectorSilence, ReportsEachAcknowledgementStateOnce) {
  passWithout(flowTokenOf(1), milliseconds(200));
  data(1, flowTokenOf(1), 7);
  passWithout(flowTokenOf(1), milliseconds(200));
  data(1, flowTokenOf(1), 7);
  const auto states = director.takeAckStates();
  LONGS_EQUAL(2, states.size());
  CHECK_TRUE(states[0].answeredAt == now);
  LONGS_EQUAL(1, states[1].copies);
  CHECK_TRUE(director.takeAckStates().empty());
}

}  // namespace umberhold
