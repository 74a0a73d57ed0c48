/**
 * @file Interface to operators' policies: short programs with the functions weigh(host, service)
 * and admit(service).
 *
 * Implemented by lua_policy_engine.h. A policy's only inputs are the views below, and its only
 * output is a number or a boolean. It cannot do I/O, keep state between calls or run indefinitely.
 */
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "common/base/result.h"
#include "common/config/service.h"

namespace umberhold {

/** A policy's view of a host. */
struct HostView {
  std::string name;
  std::string zone;
  /** Operator's static weight. */
  uint32_t weight = 100;
  /** Blended load, 0.0 idle to 1.0 full; above 1.0 when overloaded. */
  double load = 0.0;
  /** Open flows over all owners, as known to this node. */
  uint32_t flows = 0;
  uint32_t connectionLimit = 2000;
  bool healthy = true;
  bool draining = false;
  /** Seconds since the host was first seen healthy; small for a cold host. */
  double ageSeconds = 0.0;
  /** Whether the host is in this node's zone. */
  bool sameZone = false;
};

/** A policy's view of its service. */
struct ServiceView {
  std::string name;
  uint32_t hosts = 0;
  uint32_t healthyHosts = 0;
  uint32_t flows = 0;
  /** Sum of the connection limits of healthy, undrained hosts. */
  uint32_t capacity = 0;
  /** Mean blended load of the healthy hosts. */
  double load = 0.0;

  bool operator==(const ServiceView&) const = default;
};

/** Why a policy could not be compiled or evaluated. */
enum class PolicyErrorCode : uint8_t {
  kSyntax,
  kMissingWeigh,
  kUnknownFunction,
  kRuntime,
  kStepLimit,
  kMemoryLimit,
  /** weigh returned something other than a finite number of at least 0, or admit something other
   * than a boolean. */
  kBadReturn,
  kTooLong,
};

/** @return the snake_case name of the code. */
constexpr std::string_view toString(PolicyErrorCode code) {
  switch (code) {
    case PolicyErrorCode::kSyntax:
      return "syntax";
    case PolicyErrorCode::kMissingWeigh:
      return "missing_weigh";
    case PolicyErrorCode::kUnknownFunction:
      return "unknown_function";
    case PolicyErrorCode::kRuntime:
      return "runtime";
    case PolicyErrorCode::kStepLimit:
      return "step_limit";
    case PolicyErrorCode::kMemoryLimit:
      return "memory_limit";
    case PolicyErrorCode::kBadReturn:
      return "bad_return";
    case PolicyErrorCode::kTooLong:
      return "too_long";
  }
  return "unknown";
}

/** Error of a policy; `line` is 0 if no line is known. */
struct PolicyError {
  PolicyErrorCode code = PolicyErrorCode::kRuntime;
  uint32_t line = 0;
  std::string detail;
};

/** A compiled policy. Not thread safe. */
class CompiledPolicy {
 public:
  virtual ~CompiledPolicy() = default;
  /** @return the host's relative weight for new flows; 0 excludes it. */
  virtual Result<double, PolicyError> weigh(const HostView& host, const ServiceView& service) = 0;
  /** @return whether the service takes a new flow now; true if the policy has no admit(). */
  virtual Result<bool, PolicyError> admit(const ServiceView& service) = 0;
};

/** Compiles policies. */
class PolicyEngine {
 public:
  virtual ~PolicyEngine() = default;
  /** Compiles the source and runs it on sample views. @return the policy or its first error. */
  virtual Result<std::unique_ptr<CompiledPolicy>, PolicyError> compile(const Policy& policy) = 0;
};

}  // namespace umberhold
