/** @file The bounded memory of removed addresses. */
#include "common/token/removed_listeners.h"

#include <CppUTest/TestHarness.h>

namespace umberhold {

TEST_GROUP(RemovedListeners) {
  RemovedListeners removed;
};

TEST(RemovedListeners, ForgetsAnAddressThatIsBack) {
  removed.add(1);
  removed.add(1);
  CHECK_TRUE(removed.contains(1));
  removed.erase(1);
  CHECK_FALSE(removed.contains(1));
  LONGS_EQUAL(0, removed.size());
}

TEST(RemovedListeners, ForgetsTheOldestFirst) {
  for (uint64_t listener = 0; listener <= RemovedListeners::kCapacity; ++listener) {
    removed.add(listener);
  }
  CHECK_FALSE(removed.contains(0));
  CHECK_TRUE(removed.contains(1));
  LONGS_EQUAL(RemovedListeners::kCapacity, removed.size());
}

}  // namespace umberhold
