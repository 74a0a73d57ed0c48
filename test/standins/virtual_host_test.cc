/** @file Tests of an emulated host: slots, queue, connections, deadlines, cancellation. */
#include "standins/backend/virtual_host.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <vector>

using namespace umberhold;
using namespace umberhold::standins;

namespace {

constexpr UnixMillis kStart = 1'000'000;
const Endpoint kService{0x0A010001, 443};

HostProfile profile() {
  HostProfile host;
  host.name = "dispatch-0";
  host.virtualAddress = kService;
  host.protocol = TransportProtocol::kUdp;
  host.lateShare = 0;
  host.queueLimit = 3;
  host.connectionLimit = 2;
  host.serviceMillis = 10;
  return host;
}

std::string datagram(const ExchangeMessage& message, uint16_t port = 5000,
                     const Endpoint& destination = kService) {
  InnerPacket packet;
  packet.kind = PacketKind::kDatagram;
  packet.source = Endpoint{0xAC100001, port};
  packet.destination = destination;
  packet.payload = encodeExchange(message);
  return buildPacket(packet);
}

Request requestOf(uint64_t id) {
  Request request;
  request.id = id;
  return request;
}

std::vector<Answer> answersAt(VirtualHost& host, UnixMillis now) {
  host.onTick(now);
  std::vector<Answer> answers;
  for (const std::string& bytes : host.takeDue(now)) {
    const auto packet = parsePacket(bytes);
    const auto message = decodeExchange(valueOf(packet).payload);
    answers.push_back(std::get<Answer>(valueOf(message)));
  }
  return answers;
}

bool contains(const std::vector<Answer>& answers, uint64_t id, AnswerStatus status) {
  return std::any_of(answers.begin(), answers.end(), [&](const Answer& answer) {
    return answer.id == id && answer.status == status;
  });
}

}  // namespace

TEST_GROUP(VirtualHost) {
  VirtualHost host{profile(), kStart, 1};

  void request(uint64_t id) {
    host.onPacket(kStart, datagram(requestOf(id)));
  }
};

TEST(VirtualHost, RunsTwoRequestsConcurrentlyAndShedsBeyondQueueLimit) {
  for (uint64_t id = 1; id <= 6; ++id) {
    request(id);
  }
  LONGS_EQUAL(2, host.busySlots());
  LONGS_EQUAL(3, host.queueLength());
  CHECK(contains(answersAt(host, kStart), 6, AnswerStatus::kShed));
  answersAt(host, kStart + 100);
  answersAt(host, kStart + 200);
  CHECK(contains(answersAt(host, kStart + 300), 5, AnswerStatus::kDone));
  LONGS_EQUAL(5, host.runs().size());
}

TEST(VirtualHost, RunsRetransmittedRequestOnceAndAnswersItAgain) {
  request(1);
  request(1);
  CHECK(contains(answersAt(host, kStart + 100), 1, AnswerStatus::kDone));
  request(1);
  CHECK(contains(answersAt(host, kStart + 100), 1, AnswerStatus::kDone));
  LONGS_EQUAL(1, host.runs().size());
}

TEST(VirtualHost, DoesNotRunCancelledAndExpiredRequests) {
  request(1);
  request(2);
  request(3);
  Request expiring = requestOf(4);
  expiring.deadline = kStart + 1;
  host.onPacket(kStart, datagram(expiring));
  host.onPacket(kStart, datagram(Cancellation{3}));
  const std::vector<Answer> answers = answersAt(host, kStart + 100);
  CHECK(contains(answers, 3, AnswerStatus::kCancelled));
  CHECK(contains(answers, 4, AnswerStatus::kExpired));
  LONGS_EQUAL(2, host.runs().size());
}

TEST(VirtualHost, RefusesFlowsBeyondConnectionLimit) {
  for (uint16_t port = 1; port <= 3; ++port) {
    host.onPacket(kStart, datagram(requestOf(port), port));
  }
  LONGS_EQUAL(2, host.connectionCount());
  CHECK(contains(answersAt(host, kStart), 3, AnswerStatus::kShed));
}

TEST(VirtualHost, DoesNotRunRequestsOfUnknownFlows) {
  Request requestOfUnknownFlow = requestOf(1);
  requestOfUnknownFlow.expectedHost = "dispatch-9";
  host.onPacket(kStart, datagram(requestOfUnknownFlow));
  CHECK(contains(answersAt(host, kStart), 1, AnswerStatus::kUnknownFlow));
  LONGS_EQUAL(0, host.runs().size());
}

TEST(VirtualHost, CountsPacketsForAnotherService) {
  host.onPacket(kStart, datagram(requestOf(1), 5000, Endpoint{0x0A010002, 443}));
  LONGS_EQUAL(1, host.counters().misroutedPackets);
  LONGS_EQUAL(0, host.runs().size());
}

TEST(VirtualHost, RecordsFlowsLostByRestart) {
  request(1);
  host.restart(kStart + 10);
  LONGS_EQUAL(1, host.lostFlows().size());
  LONGS_EQUAL(5000, host.lostFlows()[0].caller.port);
  LONGS_EQUAL(kStart + 10, host.lostFlows()[0].at);
  host.restart(kStart + 20);
  LONGS_EQUAL(1, host.lostFlows().size());
}

TEST(VirtualHost, TakesLongerWhileCold) {
  host.setCold(1000);
  host.restart(kStart);
  request(1);
  CHECK(answersAt(host, kStart + 30).empty());
  CHECK(contains(answersAt(host, kStart + 500), 1, AnswerStatus::kDone));
}

TEST(VirtualHost, ReportsDelayedOrOverriddenLoad) {
  host.onTick(kStart);
  request(1);
  host.onTick(kStart + 200);
  request(2);
  host.onTick(kStart + 300);
  LONGS_EQUAL(0, host.reportedLoad());
  host.setReportedLoad(77);
  LONGS_EQUAL(77, host.reportedLoad());
}
