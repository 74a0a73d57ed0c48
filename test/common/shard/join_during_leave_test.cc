/** @file A node joins while another one leaves, so that the views assign different successors. */
#include "region_fuzzer.h"

// Included last because its macros replace operator new.
#include <CppUTest/TestHarness.h>

using namespace umberhold;

TEST_GROUP(JoinDuringLeave){};

/**
 * The shard had been handed over to a joining node, and a member that had not received the join yet
 * took over the former owner's state as well.
 */
TEST(JoinDuringLeave, DoesNotTakeOverStateHandedOverToUnknownNode) {
  constexpr uint64_t kSeed = 25687;
  constexpr uint32_t kConnectionLimit = 60;
  RegionFuzzer fuzzer(kSeed, TransportProtocol::kTcp, kConnectionLimit);
  fuzzer.run({{Disturbance::kDrainHost, 0, 1290},
              {Disturbance::kLeave, 76, 41},
              {Disturbance::kJoin, 0, 203}});
  CHECK(fuzzer.region().oracle().established() > 500);
  CHECK(fuzzer.region().oracle().violations().empty());
  CHECK_EQUAL(3U, fuzzer.region().shardsWithOneOwner());
}

/** The owner had joined but was in no view yet, and its replica's copy was taken over. */
TEST(JoinDuringLeave, DoesNotTakeOverReplicaOfLiveOwnerMissingFromView) {
  constexpr uint32_t kConnectionLimit = 60;
  for (const uint32_t seed : {160U, 166U, 178U, 196U, 238U}) {
    RegionFuzzer fuzzer(seed, TransportProtocol::kTcp, kConnectionLimit);
    fuzzer.run({{Disturbance::kDrainHost, 0, 1290},
                {Disturbance::kLeave, seed, 41},
                {Disturbance::kJoin, 0, 203}});
    CHECK(fuzzer.region().oracle().violations().empty());
    CHECK_EQUAL(3U, fuzzer.region().shardsWithOneOwner());
  }
}
