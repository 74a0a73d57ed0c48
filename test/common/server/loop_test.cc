/** @file Tests of the event loop, its mailbox and the control port over loopback. */
#include <atomic>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "common/server/control_transport.h"
#include "common/server/event_loop.h"
#include "common/server/loop_mailbox.h"
#include "common/server/udp_port.h"
#include "test/support/without_leak_detection.h"

using namespace umberhold;

namespace {

constexpr Endpoint kAnyPort{0x7F000001, 0};
constexpr Duration kLong = std::chrono::seconds(20);
constexpr Duration kShort = std::chrono::milliseconds(5);

std::unique_ptr<UdpPort> openPort() {
  return std::move(valueOf(UdpPort::open(kAnyPort)));
}

/** Runs a loop until the condition holds or a generous timeout expires. */
void runUntil(EventLoop& loop, const std::function<bool()>& condition) {
  const TimePoint limit = steadyNow() + kLong;
  loop.run([&] { return !condition() && steadyNow() < limit; });
}

}  // namespace

/** Without leak detection: threads, glog and POCO allocate outside the test's thread. */
TEST_GROUP_BASE(Loop, test::WithoutLeakDetection) {
  LoopMailbox mailbox;
  EventLoop loop{mailbox};
};

TEST(Loop, AnswersCallsFromOtherThreads) {
  std::atomic<bool> done{false};
  std::thread::id runner;
  Result<int, MailboxError> answer = MailboxError::kClosed;
  std::thread caller([&] {
    answer = mailbox.call<int>(kLong, [&runner] {
      runner = std::this_thread::get_id();
      return 42;
    });
    done = true;
  });
  runUntil(loop, [&] { return done.load(); });
  caller.join();
  CHECK(isOk(answer));
  CHECK_EQUAL(42, valueOf(answer));
  CHECK(runner == std::this_thread::get_id());
}

TEST(Loop, TimedOutCallNeverRuns) {
  bool ran = false;
  const auto answer = mailbox.call<int>(kShort, [&ran] {
    ran = true;
    return 1;
  });
  CHECK(errorOf(answer) == MailboxError::kTimedOut);
  mailbox.drain();
  CHECK_FALSE(ran);
}

TEST(Loop, ClosedMailboxFailsCallsImmediately) {
  std::thread closer([this] {
    std::this_thread::sleep_for(kShort);
    mailbox.close();
  });
  const auto discarded = mailbox.call<int>(kLong, [] { return 1; });
  closer.join();
  CHECK(errorOf(discarded) == MailboxError::kClosed);
  CHECK(errorOf(mailbox.post([] {})) == MailboxError::kClosed);
}

TEST(Loop, FullMailboxRejectsPosts) {
  for (size_t count = 0; count < kMailboxCapacity; ++count) {
    CHECK(isOk(mailbox.post([] {})));
  }
  CHECK(errorOf(mailbox.post([] {})) == MailboxError::kFull);
}

TEST(Loop, DeliversDatagramsWithTheirSender) {
  const auto receiver = openPort();
  const auto sender = openPort();
  std::vector<std::string> got;
  Endpoint from;
  loop.addPort(*receiver, EventLoop::Purpose::kPackets,
               [&](const Endpoint& source, std::string_view bytes) {
                 from = source;
                 got.emplace_back(bytes);
               });
  sender->send(receiver->local(), "one");
  sender->send(receiver->local(), std::string(kMaxReceivedBytes + 1, 'x'));
  sender->send(receiver->local(), "two");
  runUntil(loop, [&] { return got.size() == 2; });
  CHECK(got == (std::vector<std::string>{"one", "two"}));
  CHECK(from == sender->local());
  CHECK_EQUAL(1U, receiver->counters().tooLong);
}

TEST(Loop, PortInUseReturnsATypedError) {
  const auto taken = openPort();
  const auto again = UdpPort::open(taken->local());
  CHECK_FALSE(isOk(again));
  CHECK(errorOf(again).endpoint == taken->local());
}

TEST(Loop, AuthenticatesAndMetersMessages) {
  const auto left = openPort();
  const auto right = openPort();
  KeyRing keys = valueOf(KeyRing::create({{1, std::string(16, 'k')}}, 1));
  KeyRing foreign = valueOf(KeyRing::create({{1, std::string(16, 'f')}}, 1));
  ControlTransport sender(*left, keys, NodeId{1}, 1000);
  ControlTransport forger(*left, foreign, NodeId{2}, 1000);
  ControlTransport receiver(*right, keys, NodeId{3}, 1000);
  std::vector<ReceivedMessage> got;
  loop.addPort(*right, EventLoop::Purpose::kControl,
               [&](const Endpoint& source, std::string_view bytes) {
                 if (auto message = receiver.receive(source, bytes)) {
                   got.push_back(*message);
                 }
               });
  forger.send(right->local(), Message{Ping{}});
  left->send(right->local(), "noise");
  SnapshotAck ack;
  ack.next = 9;
  sender.send(right->local(), Message{ack});
  runUntil(loop, [&] { return !got.empty(); });
  CHECK_EQUAL(1U, got.size());
  CHECK(got[0].sender == NodeId{1});
  CHECK_EQUAL(9U, std::get<SnapshotAck>(got[0].message.body).next);
  CHECK_EQUAL(1U, receiver.refused(OpenError::kBadTag));
  CHECK_EQUAL(1U, receiver.refused(OpenError::kMalformed));
  CHECK_EQUAL(1U, sender.meter().sent(TrafficClass::kShard).datagrams);
  CHECK(sender.meter().sent(TrafficClass::kShard) ==
        receiver.meter().received(TrafficClass::kShard));
}
