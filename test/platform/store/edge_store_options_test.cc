/** @file Tests that the options of reading the store keep the bounds of the settings. */
#include "platform/edge_store_options.h"

#include <chrono>
#include <vector>

#include <CppUTest/TestHarness.h>

namespace umberhold::platform {
namespace {

using std::chrono::milliseconds;

/** Time that an answer of the store, and placing a flow, may take. */
constexpr Duration kAnswer = milliseconds(100);

TokenNodeSettings settingsWith(uint32_t bound, uint32_t disturbance) {
  TokenNodeSettings settings;
  settings.changeBoundMilliseconds = bound;
  settings.drainBoundMilliseconds = bound;
  settings.disturbanceGraceMilliseconds = disturbance;
  return settings;
}

/** @return the longest time from the store's return until a probe that it answers has ended. */
Duration longestDetection(const ObjectStoreOptions& options, Duration intervalAfterMiss) {
  return options.probeTimeout +
         std::chrono::duration_cast<Duration>(intervalAfterMiss * (1 + options.liveness.jitter));
}

}  // namespace

TEST_GROUP(EdgeStoreOptions) {
  const std::vector<TokenNodeSettings> deployments{
      settingsWith(3000, 4000), settingsWith(5000, 5000), settingsWith(8000, 8000)};
};

/** Guards against flows on hosts that left while this node was cut off from the store. */
TEST(EdgeStoreOptions, AnOwnOutageEndsEveryGraceBeforeTheBoundsApplyAgain) {
  for (const TokenNodeSettings& settings : deployments) {
    const ObjectStoreOptions options = makeStoreOptions(settings, nullptr);
    const Duration disturbance = milliseconds(settings.disturbanceGraceMilliseconds);
    CHECK_TRUE(options.presence.outageLimit + kAnswer < disturbance);
    for (const Duration interval :
         {options.liveness.maxIntervalAfterMiss, options.liveness.servingIntervalAfterMiss}) {
      CHECK_TRUE(longestDetection(options, interval) + 2 * kAnswer < disturbance);
    }
  }
}

/** Guards against hosts out of use although they are back within 2 s of the store's return. */
TEST(EdgeStoreOptions, HostsThatLapsedInAnOutageKeepTheirWholeGrace) {
  for (const TokenNodeSettings& settings : deployments) {
    const ObjectStoreOptions options = makeStoreOptions(settings, nullptr);
    CHECK_TRUE(options.presence.outageGrace >= milliseconds(2000) + kAnswer);
    CHECK_TRUE(longestDetection(options, options.liveness.maxIntervalAfterMiss) +
                   options.presence.outageGrace <=
               options.presence.outageLimit);
  }
}

/** Guards against flows on hosts that left while this node's reader was lost or cut off. */
TEST(EdgeStoreOptions, GraceOfOtherNodesOutagesStaysWithinTheDrainBound) {
  for (const TokenNodeSettings& settings : deployments) {
    const ObjectStoreOptions options = makeStoreOptions(settings, nullptr);
    const Duration bound = milliseconds(settings.drainBoundMilliseconds);
    CHECK_TRUE(options.presence.absenceLimit + kAnswer < bound);
    CHECK_TRUE(options.source.unconfirmedTimeout + options.peerTimeout + 2 * kAnswer < bound);
  }
}

TEST(EdgeStoreOptions, ProbesStayApartWhereTheBoundsLeaveNoTime) {
  const ObjectStoreOptions options = makeStoreOptions(settingsWith(1000, 0), nullptr);
  CHECK_TRUE(options.liveness.maxIntervalAfterMiss == options.liveness.intervalAfterMiss);
}

}  // namespace umberhold::platform
