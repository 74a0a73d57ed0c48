#include "common/admin/node_configuration.h"

#include <utility>

#include "common/wire/codec.h"

namespace umberhold {

Result<Ok, NodeStatusError> forEachRecord(NodeStatus& node,
                                          const std::function<void(const ConfigRecord&)>& visitor) {
  std::optional<uint64_t> cursor = 0;
  while (cursor) {
    const auto page = node.records(*cursor);
    if (!isOk(page)) {
      return errorOf(page);
    }
    for (const ConfigRecord& record : valueOf(page).records) {
      visitor(record);
    }
    cursor = valueOf(page).next;
  }
  return Ok{};
}

NodeConfiguration::NodeConfiguration(NodeStatus& node, std::set<std::string> assumedPolicies)
    : node_(node), assumedPolicies_(std::move(assumedPolicies)) {}

Result<Ok, ConfigurationUnreadable> NodeConfiguration::checkComplete() const {
  const auto summary = node_.summary();
  if (!isOk(summary)) {
    return ConfigurationUnreadable{errorOf(summary).detail};
  }
  const NodeReadiness readiness = valueOf(summary).readiness;
  if (readiness == NodeReadiness::kJoining || readiness == NodeReadiness::kCatchingUp) {
    return ConfigurationUnreadable{"the node still takes it over from its peers"};
  }
  return Ok{};
}

Result<Ok, ConfigurationUnreadable> NodeConfiguration::forEachService(
    const std::function<void(const Service&)>& visitor) const {
  const auto complete = checkComplete();
  if (!isOk(complete)) {
    return errorOf(complete);
  }
  std::optional<ConfigurationUnreadable> unreadable;
  const auto visited = forEachRecord(node_, [&](const ConfigRecord& record) {
    if (record.key.kind != ObjectKind::kService || record.deleted) {
      return;
    }
    const auto service = decodeService(record.payload);
    if (isOk(service)) {
      visitor(valueOf(service));
    } else {
      unreadable = ConfigurationUnreadable{"service '" + record.key.name + "' can't be decoded"};
    }
  });
  if (!isOk(visited)) {
    return ConfigurationUnreadable{errorOf(visited).detail};
  }
  if (unreadable) {
    return *unreadable;
  }
  return Ok{};
}

Result<bool, ConfigurationUnreadable> NodeConfiguration::hasPolicy(const std::string& name) const {
  if (assumedPolicies_.count(name) != 0) {
    return true;
  }
  const auto record = node_.record({ObjectKind::kPolicy, name});
  if (isOk(record)) {
    return !valueOf(record).deleted;
  }
  if (errorOf(record).code == NodeStatusErrorCode::kUnknown) {
    return false;
  }
  return ConfigurationUnreadable{errorOf(record).detail};
}

}  // namespace umberhold
