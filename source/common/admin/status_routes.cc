#include "common/admin/status_routes.h"

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>

#include "common/admin/api_json.h"

namespace umberhold {
namespace {

using Poco::Dynamic::Var;
using Poco::JSON::Array;
using Poco::JSON::Object;

const char* toLabel(MemberState state) {
  switch (state) {
    case MemberState::kJoining:
      return "joining";
    case MemberState::kAlive:
      return "alive";
    case MemberState::kSuspect:
      return "suspect";
    case MemberState::kLeaving:
      return "leaving";
    case MemberState::kDead:
      return "dead";
  }
  return "unknown";
}

const char* toLabel(FlowKnowledge knowledge) {
  switch (knowledge) {
    case FlowKnowledge::kEstablished:
      return "established";
    case FlowKnowledge::kWouldPlace:
      return "would_place";
    case FlowKnowledge::kWouldRefuse:
      return "would_refuse";
    case FlowKnowledge::kOwnedElsewhere:
      return "owned_elsewhere";
  }
  return "unknown";
}

Var number(uint64_t value) {
  return static_cast<Poco::UInt64>(value);
}

Object::Ptr toJson(const CoverageStatus& coverage) {
  const std::string text = "applied on " + std::to_string(coverage.nodesAtVersion) + " of " +
                           std::to_string(coverage.nodes);
  Object::Ptr object = new Object;
  object->set("version", number(coverage.version));
  object->set("nodes", coverage.nodes);
  object->set("in_force", coverage.nodesAtVersion);
  object->set("complete", coverage.nodes > 0 && coverage.nodesAtVersion >= coverage.nodes);
  object->set("slowest_node", coverage.slowest.value);
  object->set("slowest_version", number(coverage.slowestVersion));
  object->set("text", text);
  return object;
}

Object::Ptr toJson(const MemberCounts& counts) {
  Object::Ptr object = new Object;
  object->set("joining", counts.joining);
  object->set("alive", counts.alive);
  object->set("suspect", counts.suspect);
  object->set("leaving", counts.leaving);
  object->set("dead", counts.dead);
  return object;
}

Object::Ptr toJson(const Member& member) {
  Object::Ptr object = new Object;
  object->set("node_id", member.id.value);
  object->set("state", toLabel(member.state));
  object->set("incarnation", number(member.incarnation));
  object->set("zone_id", member.zone.value);
  object->set("control", toString(member.controlEndpoint()));
  object->set("relay", toString(member.relayEndpoint()));
  return object;
}

Object::Ptr toJson(const HostExplanation& host) {
  Object::Ptr object = new Object;
  object->set("name", host.name);
  object->set("zone", host.zone);
  object->set("static_weight", host.staticWeight);
  object->set("policy_weight", host.policyWeight ? Var(*host.policyWeight) : Var());
  object->set("base_weight", static_cast<unsigned>(host.baseWeight));
  object->set("load", host.load);
  object->set("flows", host.flows);
  object->set("connection_limit", host.connectionLimit);
  object->set("healthy", host.healthy);
  object->set("draining", host.draining);
  object->set("admissible", host.admissible);
  object->set("rank", host.rank);
  return object;
}

Object::Ptr toJson(const FlowExplanation& flow) {
  Array::Ptr hosts = new Array;
  for (const HostExplanation& host : flow.hosts) {
    hosts->add(toJson(host));
  }
  Object::Ptr object = new Object;
  object->set("knowledge", toLabel(flow.knowledge));
  object->set("flow", number(flow.flow.value));
  object->set("shard", static_cast<unsigned>(flow.shard));
  object->set("owner", flow.owner ? Var(flow.owner->value) : Var());
  object->set("epoch", flow.epoch);
  object->set("host", flow.host);
  object->set("exception", flow.exception);
  object->set("load_bound", flow.loadBound);
  object->set("policy", flow.policy);
  object->set("policy_admits", flow.policyAdmits ? Var(*flow.policyAdmits) : Var());
  object->set("hosts", hosts);
  return object;
}

Array::Ptr toJson(const std::vector<PolicyHealth>& policies) {
  Array::Ptr rows = new Array;
  for (const PolicyHealth& health : policies) {
    Object::Ptr row = new Object;
    row->set("policy", health.policy);
    row->set("failures", number(health.failures));
    row->set("last_error",
             health.lastError ? Var(std::string(toString(health.lastError->code))) : Var());
    row->set("line", health.lastError ? Var(health.lastError->line) : Var());
    row->set("detail", health.lastError ? Var(health.lastError->detail) : Var());
    rows->add(row);
  }
  return rows;
}

}  // namespace

AdminResponse getStatus(ApiContext& context) {
  const auto answer = context.node.summary();
  if (!isOk(answer)) {
    return toResponse(errorOf(answer));
  }
  const NodeSummary& summary = valueOf(answer);
  Object object;
  object.set("node_id", summary.node.value);
  object.set("region", summary.region);
  object.set("zone", summary.zone);
  object.set("readiness", std::string(toString(summary.readiness)));
  object.set("members", toJson(summary.members));
  object.set("config_version", number(summary.configVersion));
  object.set("services", summary.services);
  object.set("policies", summary.policies);
  object.set("flows", number(summary.flows));
  object.set("owned_shards", summary.ownedShards);
  object.set("coverage", toJson(summary.coverage));
  object.set("policy_health", toJson(summary.policyHealth));
  return jsonAnswer(toText(object));
}

AdminResponse getMembers(ApiContext& context) {
  const auto answer = context.node.members();
  if (!isOk(answer)) {
    return toResponse(errorOf(answer));
  }
  Array::Ptr members = new Array;
  for (const Member& member : valueOf(answer)) {
    members->add(toJson(member));
  }
  Object object;
  object.set("members", members);
  return jsonAnswer(toText(object));
}

AdminResponse getCoverage(ApiContext& context, const AdminRequest& request) {
  const auto version = parseNumber(request.findQuery("version").value_or(""));
  if (!version) {
    return errorAnswer(ApiErrorCode::kBadRequest, "the query needs version=NUMBER");
  }
  const auto answer = context.node.coverage(*version);
  if (!isOk(answer)) {
    return toResponse(errorOf(answer));
  }
  return jsonAnswer(toText(*toJson(valueOf(answer))));
}

AdminResponse getExplanation(ApiContext& context, const AdminRequest& request) {
  const auto service = request.findQuery("service");
  const auto caller = parseEndpoint(request.findQuery("caller").value_or(""));
  if (!service || !caller) {
    return errorAnswer(ApiErrorCode::kBadRequest,
                       "the query needs service=NAME and caller=IP:PORT");
  }
  const auto answer = context.node.explain({std::string(*service), *caller});
  if (!isOk(answer)) {
    return toResponse(errorOf(answer));
  }
  return jsonAnswer(toText(*toJson(valueOf(answer))));
}

}  // namespace umberhold
