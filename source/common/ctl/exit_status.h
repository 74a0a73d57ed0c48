/** @file Exit statuses of umberholdctl; scripts rely on them (docs/ADMIN_API.md). */
#pragma once

namespace umberhold {

/** How a command ended. */
enum class ExitStatus : int {
  kOk = 0,
  /** The command line or the token file is wrong. */
  kUsage = 1,
  /** A document or a change is invalid; nothing of it was run. */
  kInvalid = 2,
  /** The object is not at the version that the change was based on; nothing of it was run. */
  kConflict = 3,
  /** No server could answer; nothing was run. */
  kUnavailable = 4,
  /** An answer was lost: the change may be in or not. The request id is printed. */
  kUnknownOutcome = 5,
  kNotFound = 6,
  kNotAuthorized = 7,
  /** The change is accepted, but was not effective everywhere within the time to wait. */
  kWaitTimedOut = 8,
};

}  // namespace umberhold
