/** @file Parses the responses of the admin API that the commands use. */
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "common/admin/specification_diff.h"
#include "common/base/strong_id.h"
#include "common/ctl/exit_status.h"

namespace umberhold {

/** Response to an applied change. */
struct AcceptedAnswer {
  uint64_t version = 0;
  std::string requestId;
};

/** Response to a dry run. */
struct DryRunAnswer {
  /** 0: the object does not exist. */
  uint64_t currentVersion = 0;
  std::vector<FieldChange> changes;
};

/** Response with the coverage of a version. */
struct CoverageAnswer {
  uint64_t nodes = 0;
  uint64_t nodesAtVersion = 0;
  bool complete = false;
};

/** Value of "knowledge" in an explanation if another node owns the flow. */
constexpr std::string_view kOwnedElsewhereLabel = "owned_elsewhere";

/** The owner of a flow, from an explanation. */
struct FlowOwnerAnswer {
  std::string knowledge;
  std::optional<NodeId> owner;
};

/** All return nothing if the body does not have the expected form. */
std::optional<AcceptedAnswer> parseAccepted(const std::string& body);
std::optional<DryRunAnswer> parseDryRun(const std::string& body);
std::optional<CoverageAnswer> parseCoverage(const std::string& body);
std::optional<FlowOwnerAnswer> parseFlowOwner(const std::string& body);
/** @return the node id in the response with a node's status. */
std::optional<NodeId> parseNodeId(const std::string& body);
/** @return the version in the response to a GET of an object. */
std::optional<uint64_t> parseObjectVersion(const std::string& body);

/** @return the exit status for an HTTP status. */
ExitStatus exitStatusOf(int httpStatus);

}  // namespace umberhold
