/** @file Tests of weight quantisation: hysteresis and invalid numbers. */
#include "common/policy/weight_bytes.h"

#include <cmath>

#include <CppUTest/TestHarness.h>

using namespace umberhold;

TEST_GROUP(WeightBytes){};

TEST(WeightBytes, IgnoresSmallChangesAndInvalidNumbers) {
  const auto first = quantizeWeights({1.0, 0.5, 0.0, 1e-9}, {});
  CHECK((first == std::vector<uint8_t>{255, 128, 0, 1}));
  CHECK((quantizeWeights({1.0, 0.54, 0.0, 1e-9}, first) == first));
  CHECK((quantizeWeights({1.0, 0.7, 0.0, 1e-9}, first) == std::vector<uint8_t>{255, 179, 0, 1}));
  CHECK((quantizeWeights({std::nan(""), 1.0, -1.0}, {}) == std::vector<uint8_t>{0, 255, 0}));
}
