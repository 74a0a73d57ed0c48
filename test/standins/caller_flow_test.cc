/** @file Tests of CallerFlow: assembly of answers, retransmission and measurement of silence. */
#include "standins/caller/caller_flow.h"

#include <CppUTest/TestHarness.h>

#include <memory>
#include <vector>

using namespace umberhold;
using namespace umberhold::standins;

namespace {

constexpr UnixMillis kStart = 1'000'000;
constexpr uint16_t kParts = 4;
const Endpoint kService{0x0A010001, 443};
const Endpoint kCaller{0xAC100001, 5000};

}  // namespace

TEST_GROUP(CallerFlow) {
  FlowProfile profile;
  RandomSource random{1};
  RequestIds ids{1};
  CallerReport report;
  std::vector<std::string> out;
  FlowContext context{random, ids, report, out};
  std::unique_ptr<CallerFlow> flow;

  void setup() override {
    profile.service = "dispatch";
    profile.target = kService;
    profile.cancelShare = 0;
    profile.requestPauseMillis = 1'000'000;
    flow = std::make_unique<CallerFlow>(kStart, kCaller, profile, context);
  }
  void receiveFromHost(UnixMillis now, PacketKind kind, std::string payload = "") {
    InnerPacket packet;
    packet.kind = kind;
    packet.source = kService;
    packet.destination = kCaller;
    packet.payload = std::move(payload);
    flow->onPacket(now, packet, context);
  }
  /** Delivers one part of an answer. */
  void receivePart(UnixMillis now, uint64_t id, uint16_t index, uint16_t parts) {
    receiveFromHost(now, PacketKind::kSegment,
                    encodeExchange(Answer{id, AnswerStatus::kDone, index, parts, "dispatch-0", 0}));
  }
  /** Clears `out`. @return the last request in the packets sent since the previous call. */
  Request lastSentRequest() {
    Request last;
    for (const std::string& bytes : out) {
      const auto message = decodeExchange(valueOf(parsePacket(bytes)).payload);
      if (isOk(message) && std::holds_alternative<Request>(valueOf(message))) {
        last = std::get<Request>(valueOf(message));
      }
    }
    out.clear();
    return last;
  }
  /**
   * Opens the flow and sends requests until one requests an answer of kParts parts.
   * @return that request, which is still unanswered.
   */
  Request openWithLargeRequest() {
    profile.largeAnswerParts = kParts;
    receiveFromHost(sentAt, PacketKind::kSynAck);
    flow->onTick(sentAt, context);
    Request request = lastSentRequest();
    while (request.answerParts != kParts) {  // Only every fourth request has a large answer.
      receivePart(sentAt, request.id, 0, 1);
      sentAt += 2 * profile.requestPauseMillis;
      flow->onTick(sentAt, context);
      request = lastSentRequest();
    }
    return request;
  }
  /** Time at which the last request of openWithLargeRequest() was sent. */
  UnixMillis sentAt = kStart;
};

TEST(CallerFlow, AssemblesReorderedAndDuplicatedPartsOnce) {
  const Request request = openWithLargeRequest();
  const uint64_t answersBefore = report.answers;
  for (const uint16_t index : {3, 1, 3, 0}) {
    receivePart(sentAt, request.id, index, kParts);
  }
  CHECK_EQUAL(answersBefore, report.answers);
  CHECK_EQUAL(1U, flow->outstanding());
  receivePart(sentAt, request.id, 2, kParts);
  CHECK_EQUAL(answersBefore + 1, report.answers);
  CHECK_EQUAL(0U, flow->outstanding());
  receivePart(sentAt, request.id, 1, kParts);
  CHECK_EQUAL(answersBefore + 1, report.answers);
  CHECK(report.broken.empty());
}

TEST(CallerFlow, RetransmitsRequestWithSameIdForMissingPart) {
  const Request request = openWithLargeRequest();
  for (const uint16_t index : {0, 1, 3}) {
    receivePart(sentAt, request.id, index, kParts);
  }
  flow->onTick(sentAt + 301, context);
  const Request retransmitted = lastSentRequest();
  CHECK_EQUAL(request.id, retransmitted.id);
  receivePart(sentAt + 310, request.id, 2, kParts);
  CHECK_EQUAL(0U, flow->outstanding());
  CHECK_EQUAL(1U, report.delayedRequests);
  CHECK_EQUAL(1U, report.unansweredAt.size());
  CHECK_EQUAL(310U, report.longestSilenceMillis);
}

TEST(CallerFlow, MeasuresSilenceOnlyWhileRequestIsOutstanding) {
  const Request request = openWithLargeRequest();
  for (uint16_t index = 0; index < kParts; ++index) {
    receivePart(sentAt + 100 * (index + 1), request.id, index, kParts);
  }
  CHECK_EQUAL(100U, report.longestSilenceMillis);
  receivePart(sentAt + 60'000, request.id, 0, kParts);
  CHECK_EQUAL(100U, report.longestSilenceMillis);
}

TEST(CallerFlow, CountsUnansweredOpeningAtEachRetransmission) {
  flow->onTick(kStart + 301, context);
  flow->onTick(kStart + 302, context);
  flow->onTick(kStart + 1000, context);
  CHECK_EQUAL(2U, report.unansweredAt.size());
  CHECK_EQUAL(kStart + 301, report.unansweredAt.front());
}

TEST(CallerFlow, BreaksUnresponsiveFlowAndMeasuresItsSilence) {
  openWithLargeRequest();
  UnixMillis now = sentAt;
  while (report.broken.empty() && now < sentAt + 60'000) {
    flow->onTick(now += 50, context);
  }
  CHECK(report.broken.at(0).reason == BreakReason::kSilence);
  CHECK_EQUAL(static_cast<uint64_t>(now - sentAt), report.longestSilenceMillis);
  CHECK(report.unansweredAt.size() == 9);
}

TEST(CallerFlow, CountsPushOncePerIdAndAcknowledgesEachCopy) {
  const Request request = openWithLargeRequest();
  out.clear();
  for (const uint64_t id : {5, 6, 5}) {
    receiveFromHost(sentAt, PacketKind::kSegment, encodeExchange(Push{id, "dispatch-0"}));
  }
  CHECK_EQUAL(2U, report.pushes);
  CHECK_EQUAL(3U, out.size());
  const auto receipt = decodeExchange(valueOf(parsePacket(out.back())).payload);
  CHECK_EQUAL(5U, std::get<PushReceipt>(valueOf(receipt)).id);
  CHECK_EQUAL(1U, flow->outstanding());
  CHECK(report.broken.empty());
}

TEST(CallerFlow, BreaksFlowOnPushFromAnotherHost) {
  openWithLargeRequest();
  receiveFromHost(sentAt, PacketKind::kSegment, encodeExchange(Push{5, "dispatch-9"}));
  CHECK(report.broken.at(0).reason == BreakReason::kOtherHost);
  CHECK_EQUAL(0U, report.pushes);
}

TEST(CallerFlow, ReportRoundTripsThroughJson) {
  openWithLargeRequest();
  flow->onTick(sentAt + 400, context);
  report.refusedIds = {7, uint64_t{1} << 40};
  report.openFlowsByHost["dispatch-0"] = 3;
  const auto read = reportFromJson(toJson(report));
  CHECK(isOk(read));
  CHECK_EQUAL(report.requests, valueOf(read).requests);
  CHECK(report.unansweredAt == valueOf(read).unansweredAt);
  CHECK(report.refusedIds == valueOf(read).refusedIds);
  CHECK(report.openFlowsByHost == valueOf(read).openFlowsByHost);
  CHECK_EQUAL(report.delayedRequests, valueOf(read).delayedRequests);
  CHECK(!isOk(reportFromJson("{}")));
  CHECK(!isOk(reportFromJson("not JSON")));
}
