/** @file Openings that their callers do not continue. */
#include "common/token/opening_watch.h"

#include <CppUTest/TestHarness.h>

using namespace umberhold;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP(OpeningWatch) {
  OpeningWatch watch;
  TimePoint now{seconds(1000)};

  size_t unanswered() {
    return watch.onCaughtUp(now).size();
  }
};

TEST(OpeningWatch, ReportsAnAbandonedOpeningOnce) {
  watch.onPlaced(now, FlowHash{7}, 70);
  now += milliseconds(149);
  LONGS_EQUAL(0, unanswered());
  now += milliseconds(1);
  const auto tokens = watch.onCaughtUp(now);
  LONGS_EQUAL(1, tokens.size());
  LONGS_EQUAL(70, tokens.front());
  now += seconds(1);
  LONGS_EQUAL(0, unanswered());
  // The retransmission that follows returns the host, which must not be counted again.
  const EarlierOpening earlier = watch.earlierOf(now, FlowHash{7});
  LONGS_EQUAL(70, earlier.token);
  CHECK_TRUE(earlier.counted);
}

TEST(OpeningWatch, DoesNotReportAContinuedFlow) {
  watch.onPlaced(now, FlowHash{7}, 70);
  CHECK_FALSE(watch.onFollowed(FlowHash{7}, 71));
  CHECK_TRUE(watch.onFollowed(FlowHash{7}, 70));
  CHECK_FALSE(watch.onFollowed(FlowHash{7}, 70));
  now += seconds(1);
  LONGS_EQUAL(0, unanswered());
  LONGS_EQUAL(0, watch.earlierOf(now, FlowHash{7}).token);
}

TEST(OpeningWatch, RetransmissionRestartsTheTimeout) {
  watch.onPlaced(now, FlowHash{7}, 70);
  now += milliseconds(100);
  LONGS_EQUAL(70, watch.earlierOf(now, FlowHash{7}).token);
  watch.onPlaced(now, FlowHash{7}, 71);
  now += milliseconds(100);
  LONGS_EQUAL(0, unanswered());
  now += milliseconds(50);
  LONGS_EQUAL(1, unanswered());
}

TEST(OpeningWatch, DropsAnEvictedOpening) {
  watch.onPlaced(now, FlowHash{7}, 70);
  watch.onPlaced(now, FlowHash{7 + 1024}, 71);
  LONGS_EQUAL(0, watch.earlierOf(now, FlowHash{7}).token);
  now += milliseconds(150);
  LONGS_EQUAL(1, unanswered());
}
