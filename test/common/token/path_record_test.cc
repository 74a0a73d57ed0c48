/** @file When a node's path to hosts worked, and when it lost packets. */
#include "common/token/path_record.h"

#include <CppUTest/TestHarness.h>

namespace umberhold {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{seconds(1000)};
constexpr uint32_t kSilent = 1;
constexpr uint32_t kOther = 2;

}  // namespace

TEST_GROUP(PathRecord) {
  PathRecord path;
};

TEST(PathRecord, WorkedBetweenAnswersOfOtherHosts) {
  path.onDelivered(kOther, kStart - milliseconds(200));
  CHECK_FALSE(path.workedAt(kSilent, kStart));
  path.onDelivered(kSilent, kStart + milliseconds(100));
  CHECK_FALSE(path.workedAt(kSilent, kStart));
  path.onDelivered(kOther, kStart + milliseconds(200));
  CHECK_TRUE(path.workedAt(kSilent, kStart));
  CHECK_FALSE(path.workedAt(kOther, kStart));
  CHECK_FALSE(path.workedAt(kSilent, kStart + milliseconds(40)));
  CHECK_FALSE(path.workedAt(kSilent, kStart - milliseconds(40)));
}

TEST(PathRecord, OneAnswerOnEachSideIsRequired) {
  path.onDelivered(kOther, kStart);
  CHECK_FALSE(path.workedAt(kSilent, kStart));
}

TEST(PathRecord, CountsAnswersSentWithinAPeriod) {
  for (int step = 0; step < 10; ++step) {
    path.onDelivered(kOther, kStart + milliseconds(100 * step));
  }
  LONGS_EQUAL(6, path.deliveredBetween(kStart + milliseconds(200), kStart + milliseconds(700)));
}

TEST(PathRecord, IsLossyAboveItsMaximumFraction) {
  for (int step = 0; step < 49; ++step) {
    path.onDelivered(kOther, kStart + milliseconds(10 * step));
  }
  path.onLost(kStart + milliseconds(100));
  CHECK_FALSE(path.isLossySince(kStart));
  path.onLost(kStart + milliseconds(110));
  CHECK_TRUE(path.isLossySince(kStart));
  CHECK_FALSE(path.isLossySince(kStart + milliseconds(400)));
}

TEST(PathRecord, ForgetsWhatIsOld) {
  path.onDelivered(kOther, kStart - milliseconds(100));
  path.onDelivered(kOther, kStart + milliseconds(100));
  path.onLost(kStart);
  path.onDelivered(kOther, kStart + seconds(6));
  CHECK_FALSE(path.isLossySince(kStart));
  // An answer to data older than all that is kept is ignored.
  path.onDelivered(kOther, kStart + seconds(6) - PathRecord::kMaxProofDistance * 100);
  CHECK_FALSE(path.isLossySince(kStart));
}

}  // namespace umberhold
