/** @file Weights of hosts as bytes, which change only where a weight has clearly moved. */
#pragma once

#include <cstdint>
#include <vector>

namespace umberhold {

/**
 * Quantises raw policy weights to bytes, relative to the largest (255). A byte changes only where
 * its weight moved by at least 1/8 of what is effective, so that small swings don't make a new base
 * table.
 *
 * @param raw a weight for each host, at least 0 and finite; others count as 0.
 * @param current the effective bytes, or empty; used where the sizes agree.
 */
std::vector<uint8_t> quantizeWeights(const std::vector<double>& raw,
                                     const std::vector<uint8_t>& current);

}  // namespace umberhold
