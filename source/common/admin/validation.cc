#include "common/admin/validation.h"

#include <algorithm>
#include <set>
#include <unordered_map>
#include <utility>

#include "common/base/hash.h"

namespace umberhold {
namespace {

/** 224.0.0.0; the reserved addresses and the broadcast address follow the multicast addresses. */
constexpr uint32_t kFirstMulticast = 0xE0000000;

/** Collects the errors of one object. */
class ErrorList {
 public:
  explicit ErrorList(RecordKey object) : object_(std::move(object)) {}

  void add(ValidationCode code, std::string field, std::string detail) {
    errors_.push_back({code, object_, std::move(field), std::move(detail)});
  }
  void addAll(ValidationErrors errors) {
    std::move(errors.begin(), errors.end(), std::back_inserter(errors_));
  }
  ValidationErrors take() { return std::move(errors_); }

 private:
  RecordKey object_;
  ValidationErrors errors_;
};

ErrorList errorsOfService(const std::string& name) {
  return ErrorList(RecordKey{ObjectKind::kService, name});
}

ErrorList errorsOfPolicy(const std::string& name) {
  return ErrorList(RecordKey{ObjectKind::kPolicy, name});
}

bool isAlphanumeric(char character) {
  return (character >= 'a' && character <= 'z') || (character >= '0' && character <= '9');
}

bool isValidName(const std::string& name) {
  if (name.empty() || name.size() > kMaxNameLength) {
    return false;
  }
  const bool charactersFit = std::all_of(name.begin(), name.end(), [](char character) {
    return isAlphanumeric(character) || character == '-' || character == '.';
  });
  return charactersFit && isAlphanumeric(name.front()) && isAlphanumeric(name.back());
}

void checkName(ErrorList& errors, const std::string& field, const std::string& name) {
  if (!isValidName(name)) {
    errors.add(ValidationCode::kInvalidName, field,
               "'" + name + "' is not 1 to 63 characters of a-z, 0-9, '-' and '.'");
  }
}

void checkEndpoint(ErrorList& errors, const std::string& field, const Endpoint& endpoint) {
  if (endpoint.address == 0 || endpoint.address >= kFirstMulticast || endpoint.port == 0) {
    errors.add(ValidationCode::kInvalidEndpoint, field, toString(endpoint) + " takes no packets");
  }
}

void checkRange(ErrorList& errors, const std::string& field, uint64_t value, uint64_t minimum,
                uint64_t maximum) {
  if (value < minimum || value > maximum) {
    errors.add(ValidationCode::kOutOfRange, field,
               std::to_string(value) + " is not " + std::to_string(minimum) + " to " +
                   std::to_string(maximum));
  }
}

std::string hostField(size_t index, const std::string& key) {
  return "hosts[" + std::to_string(index) + "]" + (key.empty() ? "" : "." + key);
}

void checkHost(ErrorList& errors, size_t index, const HostSpec& host) {
  checkName(errors, hostField(index, "name"), host.name);
  checkName(errors, hostField(index, "zone"), host.zone);
  checkEndpoint(errors, hostField(index, "address"), host.endpoint);
  if (host.probe.port != 0) {
    checkEndpoint(errors, hostField(index, "probe"), host.probe);
  }
  checkRange(errors, hostField(index, "connection_limit"), host.connectionLimit, 1,
             kMaxConnectionLimit);
  checkRange(errors, hostField(index, "weight"), host.weight, 0, kMaxHostWeight);
}

/** Checks that names, their hashes and endpoints are unique within the service. */
void checkHostsDiffer(ErrorList& errors, const std::string& owner,
                      const std::vector<HostSpec>& hosts) {
  std::unordered_map<HostId, std::string> names;
  std::unordered_map<Endpoint, std::string> endpoints;
  const ServiceId id = serviceIdOf(owner);
  for (size_t index = 0; index < hosts.size(); ++index) {
    const HostSpec& host = hosts[index];
    const auto [sameId, newName] = names.emplace(hostIdOf(id, host.name), host.name);
    if (!newName) {
      const bool sameName = sameId->second == host.name;
      errors.add(sameName ? ValidationCode::kDuplicateHostName : ValidationCode::kNameHashCollision,
                 hostField(index, "name"), "clashes with host '" + sameId->second + "'");
    }
    const auto [sameEndpoint, newEndpoint] = endpoints.emplace(host.endpoint, host.name);
    if (!newEndpoint) {
      errors.add(ValidationCode::kDuplicateHostEndpoint, hostField(index, "address"),
                 toString(host.endpoint) + " is host '" + sameEndpoint->second + "' already");
    }
  }
}

void checkHosts(ErrorList& errors, const std::string& owner, const std::vector<HostSpec>& hosts) {
  if (hosts.size() > kMaxHosts) {
    errors.add(ValidationCode::kTooManyHosts, "hosts",
               std::to_string(hosts.size()) + " hosts, at most 256 fit");
    return;
  }
  for (size_t index = 0; index < hosts.size(); ++index) {
    checkHost(errors, index, hosts[index]);
  }
  checkHostsDiffer(errors, owner, hosts);
}

void checkGroups(ErrorList& errors, const Service& service) {
  if (!service.groups.empty() && !service.hosts.empty()) {
    errors.add(ValidationCode::kInvalidGroups, "groups", "a service has hosts or groups, not both");
  }
  checkRange(errors, "groups", service.groups.size(), 0, kMaxGroups);
  std::set<std::string> pools;
  for (size_t index = 0; index < service.groups.size(); ++index) {
    const HostGroup& group = service.groups[index];
    const std::string field = "groups[" + std::to_string(index) + "]";
    checkName(errors, field + ".pool", group.pool);
    checkRange(errors, field + ".share", group.share, 0, kMaxGroupShare);
    if (!pools.insert(group.pool).second) {
      errors.add(ValidationCode::kInvalidGroups, field + ".pool",
                 "is pool '" + group.pool + "' of another group already");
    }
  }
}

/** Checks a proposed service for conflicts with other services. */
class ServiceConflictChecker {
 public:
  ServiceConflictChecker(const Service& proposed, ErrorList& errors)
      : proposed_(proposed), id_(serviceIdOf(proposed.name)), errors_(errors) {
    for (size_t index = 0; index < proposed.hosts.size(); ++index) {
      hostIndex_.emplace(proposed.hosts[index].endpoint, index);
    }
  }

  void compareWith(const Service& other) {
    if (other.name == proposed_.name) {
      return;
    }
    if (serviceIdOf(other.name) == id_) {
      errors_.add(ValidationCode::kNameHashCollision, "name", "clashes with '" + other.name + "'");
    }
    const bool sameAddress = other.address == proposed_.address && other.port == proposed_.port &&
                             other.protocol == proposed_.protocol;
    if (sameAddress) {
      errors_.add(ValidationCode::kAddressInUse, "address",
                  "is service '" + other.name + "' already");
    }
    for (const HostSpec& host : other.hosts) {
      const auto same = hostIndex_.find(host.endpoint);
      if (same != hostIndex_.end()) {
        errors_.add(ValidationCode::kHostEndpointInUse, hostField(same->second, "address"),
                    "is host '" + host.name + "' of service '" + other.name + "'");
      }
    }
  }

 private:
  const Service& proposed_;
  const ServiceId id_;
  ErrorList& errors_;
  std::unordered_map<Endpoint, size_t> hostIndex_;
};

bool isDrained(const HostSpec& host, UnixSeconds now) {
  return host.state == HostState::kDraining && host.drainDeadline <= now;
}

bool hasHost(const Service& service, const HostSpec& wanted) {
  return std::any_of(service.hosts.begin(), service.hosts.end(), [&](const HostSpec& host) {
    return host.name == wanted.name && host.endpoint == wanted.endpoint;
  });
}

void checkHostRemoval(ErrorList& errors, const HostSpec& host, const ValidationOptions& options) {
  if (!isDrained(host, options.now)) {
    errors.add(ValidationCode::kHostNotDrained, "hosts",
               "host '" + host.name +
                   "' still has flows: drain it, wait for its deadline, then "
                   "remove it");
  }
}

void checkUnchanged(ErrorList& errors, const std::string& field, bool unchanged) {
  if (!unchanged) {
    errors.add(ValidationCode::kImmutableField, field, "a change would cut established flows");
  }
}

/**
 * Checks that the fields on which established flows depend are unchanged, and that removed hosts
 * are drained.
 */
void checkFlowsPreserved(ErrorList& errors, const Service& proposed, const Service& current,
                         const ValidationOptions& options) {
  checkUnchanged(errors, "region", proposed.region == current.region);
  checkUnchanged(errors, "address", proposed.address == current.address);
  checkUnchanged(errors, "port", proposed.port == current.port);
  checkUnchanged(errors, "protocol", proposed.protocol == current.protocol);
  checkUnchanged(errors, "shards", proposed.shardCount == current.shardCount);
  for (const HostSpec& host : current.hosts) {
    if (!hasHost(proposed, host)) {
      checkHostRemoval(errors, host, options);
    }
  }
}

}  // namespace

std::string_view toString(ValidationCode code) {
  switch (code) {
    case ValidationCode::kInvalidName:
      return "invalid_name";
    case ValidationCode::kNameHashCollision:
      return "name_hash_collision";
    case ValidationCode::kInvalidEndpoint:
      return "invalid_endpoint";
    case ValidationCode::kAddressInUse:
      return "address_in_use";
    case ValidationCode::kDuplicateHostName:
      return "duplicate_host_name";
    case ValidationCode::kDuplicateHostEndpoint:
      return "duplicate_host_endpoint";
    case ValidationCode::kHostEndpointInUse:
      return "host_endpoint_in_use";
    case ValidationCode::kTooManyHosts:
      return "too_many_hosts";
    case ValidationCode::kOutOfRange:
      return "out_of_range";
    case ValidationCode::kUnknownPolicy:
      return "unknown_policy";
    case ValidationCode::kPolicyTooLong:
      return "policy_too_long";
    case ValidationCode::kPolicyInvalid:
      return "policy_invalid";
    case ValidationCode::kPolicyInUse:
      return "policy_in_use";
    case ValidationCode::kHostNotDrained:
      return "host_not_drained";
    case ValidationCode::kImmutableField:
      return "immutable_field";
    case ValidationCode::kInvalidGroups:
      return "invalid_groups";
  }
  return "unknown";
}

ValidationErrors validateServiceAlone(const Service& proposed) {
  ErrorList errors = errorsOfService(proposed.name);
  checkName(errors, "name", proposed.name);
  checkName(errors, "region", proposed.region);
  checkEndpoint(errors, "address", Endpoint{proposed.address, proposed.port});
  checkRange(errors, "shards", proposed.shardCount, 1, kMaxShards);
  checkRange(errors, "idle_timeout_seconds", proposed.idleTimeoutSeconds, kMinIdleTimeoutSeconds,
             kMaxIdleTimeoutSeconds);
  checkHosts(errors, proposed.name, proposed.hosts);
  checkGroups(errors, proposed);
  return errors.take();
}

ValidationErrors validateHostPool(const HostPool& proposed) {
  ErrorList errors(RecordKey{ObjectKind::kHostPool, proposed.name});
  checkName(errors, "name", proposed.name);
  checkHosts(errors, proposed.name, proposed.hosts);
  return errors.take();
}

ValidationResult validateService(const Service& proposed, const Service* current,
                                 const KnownConfiguration& known,
                                 const ValidationOptions& options) {
  ErrorList errors = errorsOfService(proposed.name);
  errors.addAll(validateServiceAlone(proposed));
  ServiceConflictChecker conflictChecker(proposed, errors);
  const auto visited =
      known.forEachService([&](const Service& other) { conflictChecker.compareWith(other); });
  if (!isOk(visited)) {
    return errorOf(visited);
  }
  if (!proposed.policy.empty()) {
    const auto policyKnown = known.hasPolicy(proposed.policy);
    if (!isOk(policyKnown)) {
      return errorOf(policyKnown);
    }
    if (!valueOf(policyKnown)) {
      errors.add(ValidationCode::kUnknownPolicy, "policy", "no policy '" + proposed.policy + "'");
    }
  }
  if (current != nullptr && !options.mayCutFlows) {
    checkFlowsPreserved(errors, proposed, *current, options);
  }
  return errors.take();
}

ValidationErrors validateServiceDeletion(const Service& current, const ValidationOptions& options) {
  ErrorList errors = errorsOfService(current.name);
  if (!options.mayCutFlows) {
    for (const HostSpec& host : current.hosts) {
      checkHostRemoval(errors, host, options);
    }
  }
  return errors.take();
}

ValidationErrors validatePolicy(const Policy& proposed, PolicyEngine& engine) {
  ErrorList errors = errorsOfPolicy(proposed.name);
  checkName(errors, "name", proposed.name);
  if (proposed.source.size() > kMaxPolicyBytes) {
    errors.add(ValidationCode::kPolicyTooLong, "source",
               std::to_string(proposed.source.size()) + " bytes, at most 16384 fit");
    return errors.take();
  }
  const auto compiled = engine.compile(proposed);
  if (!isOk(compiled)) {
    const PolicyError& error = errorOf(compiled);
    errors.add(ValidationCode::kPolicyInvalid, "source",
               "line " + std::to_string(error.line) + ": " + error.detail);
  }
  return errors.take();
}

ValidationResult validatePolicyDeletion(const std::string& name, const KnownConfiguration& known) {
  ErrorList errors = errorsOfPolicy(name);
  const auto visited = known.forEachService([&](const Service& service) {
    if (service.policy == name) {
      errors.add(ValidationCode::kPolicyInUse, "", "service '" + service.name + "' names it");
    }
  });
  if (!isOk(visited)) {
    return errorOf(visited);
  }
  return errors.take();
}

}  // namespace umberhold
