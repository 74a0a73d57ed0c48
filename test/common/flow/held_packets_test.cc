/** @file Tests of packets held until a node is ready. */
#include "common/flow/held_packets.h"

#include <string>

#include <CppUTest/TestHarness.h>

namespace umberhold {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

}  // namespace

TEST_GROUP(HeldPackets) {
  HeldPackets held;
  TimePoint now{seconds(1000)};

  FlowPacket packet(uint32_t caller, PacketPhase phase, uint32_t sequence) {
    FlowPacket made;
    made.key.caller = {caller, 40000};
    made.hash = hashOf(made.key);
    made.token = caller;
    made.phase = phase;
    made.sequence = sequence;
    return made;
  }
  size_t hold(uint32_t caller, PacketPhase phase, uint32_t sequence, const std::string& bytes) {
    return held.hold(now, packet(caller, phase, sequence), bytes);
  }
};

TEST(HeldPackets, ReturnsPacketsOnceInOrder) {
  hold(1, PacketPhase::kOpening, 1, "a");
  hold(2, PacketPhase::kContinuing, 1, "b");
  hold(1, PacketPhase::kContinuing, 1, "c");
  const auto taken = held.take(now);
  LONGS_EQUAL(3, taken.size());
  CHECK_TRUE(taken[0] == "a" && taken[1] == "b" && taken[2] == "c");
  LONGS_EQUAL(0, held.take(now).size());
}

/** Two copies of an opening placed at the same time would open the flow on two hosts. */
TEST(HeldPackets, RetransmissionReplacesTheEarlierCopy) {
  hold(1, PacketPhase::kOpening, 1, "first");
  now += milliseconds(200);
  hold(1, PacketPhase::kOpening, 1, "second");
  const auto taken = held.take(now);
  LONGS_EQUAL(1, taken.size());
  CHECK_TRUE(taken[0] == "second");
}

TEST(HeldPackets, OmitsPacketsHeldTooLong) {
  hold(1, PacketPhase::kOpening, 1, "old");
  now += HeldPackets::kMaxHoldTime;
  hold(2, PacketPhase::kOpening, 1, "new");
  now += milliseconds(1);
  const auto taken = held.take(now);
  LONGS_EQUAL(1, taken.size());
  CHECK_TRUE(taken[0] == "new");
}

TEST(HeldPackets, ReturnsPacketsByToken) {
  hold(1, PacketPhase::kContinuing, 1, "a");
  hold(2, PacketPhase::kContinuing, 1, "b");
  hold(1, PacketPhase::kContinuing, 2, "c");
  const auto taken = held.takeByToken(now, {1, 3});
  LONGS_EQUAL(2, taken.size());
  CHECK_TRUE(taken[0] == "a" && taken[1] == "c");
  LONGS_EQUAL(1, held.size());
  now += HeldPackets::kMaxHoldTime + milliseconds(1);
  LONGS_EQUAL(0, held.takeByToken(now, {2}).size());
  LONGS_EQUAL(0, held.size());
}

TEST(HeldPackets, EvictsTheOldestWhenFull) {
  size_t pushedOut = 0;
  for (uint32_t caller = 1; caller <= 100000; ++caller) {
    pushedOut += hold(caller, PacketPhase::kOpening, 1, std::to_string(caller));
  }
  LONGS_EQUAL(100000 - HeldPackets::kCapacity, pushedOut);
  const auto taken = held.take(now);
  LONGS_EQUAL(HeldPackets::kCapacity, taken.size());
  CHECK_TRUE(taken.back() == "100000");
}

}  // namespace umberhold
