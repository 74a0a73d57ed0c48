/** @file Exit statuses of umberholdctl; scripts rely on them (docs/ADMIN_API.md). */
#pragma once

namespace umberhold {

/** Result of a command. */
enum class ExitStatus : int {
  kOk = 0,
  /** The command line or the token file is invalid. */
  kUsage = 1,
  /** A document or a change is invalid; nothing of it was applied. */
  kInvalid = 2,
  /** The object is not at the version on which the change is based; nothing of it was applied. */
  kConflict = 3,
  /** No server could be reached or was available; nothing of the change was applied. */
  kUnavailable = 4,
  /** A response was lost: the change may or may not be applied. The request id is printed. */
  kUnknownOutcome = 5,
  kNotFound = 6,
  kNotAuthorized = 7,
  /** The change is accepted, but was not effective on all nodes within the wait time. */
  kWaitTimedOut = 8,
};

}  // namespace umberhold
