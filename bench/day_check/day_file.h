/** @file What a file with a day of faults under deploy/days/ must hold to be played. */
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "common/base/result.h"

namespace umberhold::day_check {

/** Why a day can't be played. */
struct DayError {
  /** Counts from 1; 0: no line of the file is to blame. */
  uint32_t line = 0;
  std::string reason;
};

/**
 * Checks the text of a day: a comment on its first line says what the day is for; `name` is the
 * file's name, `slot` a text, `seed` a whole number; `plan` and `faults` are lists, and each
 * of their entries has `at`, in seconds from the start, and `kind`; so has `closing`, where it is
 * there, `kind`.
 * @param name the file's name without its suffix.
 */
Result<Ok, DayError> checkDay(std::string_view text, std::string_view name);

}  // namespace umberhold::day_check
