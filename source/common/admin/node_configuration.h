/** @file Gives validation access to the effective configuration of the node. */
#pragma once

#include <set>
#include <string>

#include "common/admin/validation.h"
#include "common/node/node_status.h"

namespace umberhold {

/**
 * Reads services and policies page by page from the node, without caching. Unreadable until the
 * node has synchronized the configuration: a check against a part of it would miss conflicts.
 */
class NodeConfiguration : public KnownConfiguration {
 public:
  /**
   * @param node borrowed.
   * @param assumedPolicies policies regarded as known, because the same set of changes adds them.
   */
  NodeConfiguration(NodeStatus& node, std::set<std::string> assumedPolicies);

  Result<Ok, ConfigurationUnreadable> forEachService(
      const std::function<void(const Service&)>& visitor) const override;
  Result<bool, ConfigurationUnreadable> hasPolicy(const std::string& name) const override;

 private:
  Result<Ok, ConfigurationUnreadable> checkComplete() const;

  NodeStatus& node_;
  const std::set<std::string> assumedPolicies_;
};

/** Calls the visitor for every effective record of the node. */
Result<Ok, NodeStatusError> forEachRecord(NodeStatus& node,
                                          const std::function<void(const ConfigRecord&)>& visitor);

}  // namespace umberhold
