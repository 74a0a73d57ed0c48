/** @file The effective configuration on the node, as validation reads it. */
#pragma once

#include <set>
#include <string>

#include "common/admin/validation.h"
#include "common/node/node_status.h"

namespace umberhold {

/**
 * Reads services and policies page by page from the node; nothing is kept. Unreadable while the
 * node still takes the configuration over: a check against half of it would miss clashes.
 */
class NodeConfiguration : public KnownConfiguration {
 public:
  /**
   * @param node borrowed.
   * @param assumedPolicies policies that count as known, because the same set of changes brings
   * them.
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
