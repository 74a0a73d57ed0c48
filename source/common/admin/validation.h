/**
 * @file Checks a proposed change of the configuration against everything that is known.
 *
 * The known configuration is what is effective on the node that checks; two changes that were
 * accepted within the same seconds on different nodes are not seen by each other's check.
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

/** What is wrong with a proposed change. */
enum class ValidationCode : uint8_t {
  /** Not 1 to 63 characters of a-z, 0-9, '-' and '.', or beginning or ending with '-' or '.'. */
  kInvalidName,
  /** Another name has the same hash; choose another one. */
  kNameHashCollision,
  /** The address is 0.0.0.0, broadcast or multicast, or the port is 0. */
  kInvalidEndpoint,
  /** Another service has the same address, port and protocol. */
  kAddressInUse,
  /** Two hosts of the service have one name. */
  kDuplicateHostName,
  /** Two hosts of the service have one endpoint. */
  kDuplicateHostEndpoint,
  /** A host of another service has the same endpoint: packets could reach the wrong service. */
  kHostEndpointInUse,
  kTooManyHosts,
  /** A number outside its range. */
  kOutOfRange,
  kUnknownPolicy,
  kPolicyTooLong,
  /** The policy's source does not compile, or fails on sample values. */
  kPolicyInvalid,
  /** A service still names the policy that is to be deleted. */
  kPolicyInUse,
  /** A host that is not drained would go, and its established flows with it. */
  kHostNotDrained,
  /** A change of this field would cut established flows. */
  kImmutableField,
  /** A service has hosts of its own beside groups, or two groups of one pool. */
  kInvalidGroups,
};

/** @return the snake_case label of a code. */
std::string_view toString(ValidationCode code);

/** One thing that is wrong. */
struct ValidationError {
  ValidationCode code = ValidationCode::kInvalidName;
  /** The object that was proposed. */
  RecordKey object;
  /** Where in its specification, such as "hosts[2].endpoint"; empty for the whole. */
  std::string field;
  /** For people. */
  std::string detail;
};

using ValidationErrors = std::vector<ValidationError>;

/** The known configuration could not be read as a whole: nothing was decided. */
struct ConfigurationUnreadable {
  std::string detail;
};

/** Everything wrong with a change (empty: nothing), or why that can't be known. */
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

/** How strictly a change is checked. */
struct ValidationOptions {
  UnixSeconds now = 0;
  /** The operator accepts that established flows are cut. */
  bool mayCutFlows = false;
};

/** Checks the service for itself, without the rest of the configuration. */
ValidationErrors validateServiceAlone(const Service& proposed);
/** Checks a pool's name and hosts, without the rest of the configuration. */
ValidationErrors validateHostPool(const HostPool& proposed);
/** @param current the service as it is now; nullptr for a new one. */
ValidationResult validateService(const Service& proposed, const Service* current,
                                 const KnownConfiguration& known, const ValidationOptions& options);
ValidationErrors validateServiceDeletion(const Service& current, const ValidationOptions& options);
ValidationErrors validatePolicy(const Policy& proposed, PolicyEngine& engine);
ValidationResult validatePolicyDeletion(const std::string& name, const KnownConfiguration& known);

}  // namespace umberhold
