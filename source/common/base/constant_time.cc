#include "common/base/constant_time.h"

#include <cstddef>

namespace umberhold {

bool equalInConstantTime(std::string_view expected, std::string_view presented) {
  if (expected.empty()) {
    return false;
  }
  auto difference = static_cast<unsigned>(expected.size() != presented.size());
  for (size_t index = 0; index < presented.size(); ++index) {
    const auto left = static_cast<unsigned char>(expected[index % expected.size()]);
    const auto right = static_cast<unsigned char>(presented[index]);
    difference |= static_cast<unsigned>(left ^ right);
  }
  return difference == 0;
}

}  // namespace umberhold
