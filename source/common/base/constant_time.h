/** @file Constant-time comparison of secrets. */
#pragma once

#include <string_view>

namespace umberhold {

/** @return whether both are equal. The running time depends on the length of `presented` only. An
 * empty `expected` equals nothing. */
bool equalInConstantTime(std::string_view expected, std::string_view presented);

}  // namespace umberhold
