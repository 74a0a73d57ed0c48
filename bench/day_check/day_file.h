/**
 * @file Validation of the files under deploy/days/. Each describes a day: a scenario of planned
 * changes and faults that is run against a test deployment.
 */
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "common/base/result.h"

namespace umberhold::day_check {

/** Reason for which a file of a day is invalid. */
struct DayError {
  /** Line number, from 1; 0: the error does not belong to a line. */
  uint32_t line = 0;
  std::string reason;
};

/**
 * Validates the text of a day's file. The first line must be a comment that describes the day.
 * Required keys: `name` (the file name), `slot` (non-empty string), `seed` (integer), and the
 * arrays `plan` and `faults`, whose entries need `at` (seconds from the start) and `kind`.
 * `closing` is optional and needs `kind`.
 * @param name the file name without its suffix.
 */
Result<Ok, DayError> checkDay(std::string_view text, std::string_view name);

}  // namespace umberhold::day_check
