/** @file Quantisation of host weights to bytes, with hysteresis. */
#pragma once

#include <cstdint>
#include <vector>

namespace umberhold {

/**
 * Quantises raw policy weights to bytes, relative to the largest (255). A byte changes only if the
 * new value differs from the current one by at least 1/8 of it, so that small fluctuations don't
 * cause a new base table.
 *
 * @param raw one weight per host; values that are negative or not finite count as 0.
 * @param current the bytes in effect, or empty; ignored if the sizes differ.
 */
std::vector<uint8_t> quantizeWeights(const std::vector<double>& raw,
                                     const std::vector<uint8_t>& current);

}  // namespace umberhold
