/**
 * @file Validates a proposed configuration change against the known configuration.
 *
 * The known configuration is the effective one on the validating node: changes that different
 * nodes accept within a few seconds are not validated against each other.
 */
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "common/base/result.h"
#include "common/base/time.h"
#include "common/config/record.h"
#include "common/config/service.h"
#include "common/policy/policy_engine.h"

namespace umberhold {

/** Kinds of validation errors. */
enum class ValidationCode : uint8_t {
  /** Not 1 to 63 characters of a-z, 0-9, '-' and '.', or starts or ends with '-' or '.'. */
  kInvalidName,
  /** Another name has the same hash; a different name is required. */
  kNameHashCollision,
  /** The address is 0.0.0.0, broadcast or multicast, or the port is 0. */
  kInvalidEndpoint,
  /** Another service has the same address, port and protocol. */
  kAddressInUse,
  /** Two hosts of the service have the same name. */
  kDuplicateHostName,
  /** Two hosts of the service have the same endpoint. */
  kDuplicateHostEndpoint,
  /** A host of another service has the same endpoint: packets could reach the wrong service. */
  kHostEndpointInUse,
  kTooManyHosts,
  /** A number outside its range. */
  kOutOfRange,
  kUnknownPolicy,
  kPolicyTooLong,
  /** The policy's source does not compile, or fails on sample inputs. */
  kPolicyInvalid,
  /** A service still refers to the policy to be deleted. */
  kPolicyInUse,
  /** The change would remove a host that is not drained, and cut its established flows. */
  kHostNotDrained,
  /** A change of this field would cut established flows. */
  kImmutableField,
  /** A service has both hosts and groups, or two groups with the same pool. */
  kInvalidGroups,
};

/** @return the snake_case label of a code. */
std::string_view toString(ValidationCode code);

/** One validation error. */
struct ValidationError {
  ValidationCode code = ValidationCode::kInvalidName;
  /** The proposed object. */
  RecordKey object;
  /** Path in its specification, such as "hosts[2].address"; empty for the whole object. */
  std::string field;
  /** Human-readable description. */
  std::string detail;
};

using ValidationErrors = std::vector<ValidationError>;

/** The known configuration could not be read completely, so there is no validation result. */
struct ConfigurationUnreadable {
  std::string detail;
};

/** All errors of a change (empty if it is valid), or the reason why it can't be validated. */
using ValidationResult = Result<ValidationErrors, ConfigurationUnreadable>;

/** Read access to the whole known configuration. */
class KnownConfiguration {
 public:
  virtual ~KnownConfiguration() = default;
  /** Calls the visitor for every service of every region. */
  virtual Result<Ok, ConfigurationUnreadable> forEachService(
      const std::function<void(const Service&)>& visitor) const = 0;
  virtual Result<bool, ConfigurationUnreadable> hasPolicy(const std::string& name) const = 0;
};

constexpr size_t kMaxNameLength = 63;
constexpr size_t kMaxHosts = 256;
constexpr size_t kMaxGroups = 64;
constexpr uint32_t kMaxGroupShare = 1'000'000;
constexpr uint16_t kMaxShards = 64;
constexpr size_t kMaxPolicyBytes = 16U << 10U;
constexpr uint32_t kMinIdleTimeoutSeconds = 10;
constexpr uint32_t kMaxIdleTimeoutSeconds = 30U * 86400U;
constexpr uint32_t kMaxConnectionLimit = 1'000'000;
constexpr uint32_t kMaxHostWeight = 1000;

/** Options of the validation. */
struct ValidationOptions {
  UnixSeconds now = 0;
  /** Whether the change may cut established flows. */
  bool mayCutFlows = false;
};

/** Validates the service without the rest of the configuration. */
ValidationErrors validateServiceAlone(const Service& proposed);
/** Validates a pool's name and hosts, without the rest of the configuration. */
ValidationErrors validateHostPool(const HostPool& proposed);
/** @param current the current state of the service; nullptr for a new one. */
ValidationResult validateService(const Service& proposed, const Service* current,
                                 const KnownConfiguration& known, const ValidationOptions& options);
ValidationErrors validateServiceDeletion(const Service& current, const ValidationOptions& options);
ValidationErrors validatePolicy(const Policy& proposed, PolicyEngine& engine);
ValidationResult validatePolicyDeletion(const std::string& name, const KnownConfiguration& known);

}  // namespace umberhold
