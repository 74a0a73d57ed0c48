#include "common/policy/weight_bytes.h"

#include <algorithm>
#include <cmath>

namespace umberhold {
namespace {

constexpr double kMaxWeight = 255.0;
/** Minimum relative change of a weight that takes effect. */
constexpr double kHysteresis = 1.0 / 8.0;

double sanitized(double raw) {
  return std::isfinite(raw) && raw > 0.0 ? raw : 0.0;
}

uint8_t quantize(double raw, double largest) {
  if (raw <= 0.0) {
    return 0;
  }
  return static_cast<uint8_t>(std::max(1.0, std::round(raw / largest * kMaxWeight)));
}

bool withinHysteresis(uint8_t current, uint8_t wanted) {
  if (current == 0 || wanted == 0) {
    return current == wanted;
  }
  return std::abs(int{wanted} - int{current}) < kHysteresis * current;
}

}  // namespace

std::vector<uint8_t> quantizeWeights(const std::vector<double>& raw,
                                     const std::vector<uint8_t>& current) {
  double largest = 0.0;
  for (const double weight : raw) {
    largest = std::max(largest, sanitized(weight));
  }
  std::vector<uint8_t> weights;
  weights.reserve(raw.size());
  for (size_t index = 0; index < raw.size(); ++index) {
    const uint8_t wanted = quantize(sanitized(raw[index]), largest);
    const bool keep = current.size() == raw.size() && withinHysteresis(current[index], wanted);
    weights.push_back(keep ? current[index] : wanted);
  }
  return weights;
}

}  // namespace umberhold
