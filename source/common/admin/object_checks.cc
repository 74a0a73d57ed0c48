#include "common/admin/object_checks.h"

#include <set>
#include <utility>

#include "common/admin/node_configuration.h"
#include "common/platform/object_json.h"

namespace umberhold {
namespace {

std::set<std::string> assumedPolicies(ApiContext& context, const AdminRequest& request,
                                      const Service& service) {
  std::set<std::string> assumed;
  for (const QueryParameter& parameter : request.query) {
    if (parameter.name == "assume_policy" && isSet(request, "dry_run")) {
      assumed.insert(parameter.value);
    }
  }
  // A recently accepted policy is in the store before it becomes effective on this node.
  const bool stored =
      !service.policy.empty() && isOk(context.changes.read(Collection::kPolicies, service.policy));
  if (stored) {
    assumed.insert(service.policy);
  }
  return assumed;
}

ValidationOptions optionsOf(ApiContext& context, const AdminRequest& request) {
  return ValidationOptions{context.clock.unixNow(), isSet(request, "force")};
}

std::optional<Service> serviceIn(const std::optional<StoredObject>& current) {
  if (!current) {
    return std::nullopt;
  }
  auto service = parseService(current->name, current->specification);
  return isOk(service) ? std::optional<Service>(valueOf(service)) : std::nullopt;
}

}  // namespace

Result<Proposal, AdminResponse> parseProposal(const ApiKind& kind, const std::string& name,
                                              const std::string& text) {
  Proposal proposal;
  std::optional<ObjectError> error;
  if (kind.kind == ObjectKind::kService) {
    auto service = parseService(name, text);
    if (isOk(service)) {
      proposal.specification = formatService(valueOf(service));
      proposal.service = std::move(valueOf(service));
      return proposal;
    }
    error = errorOf(service);
  } else {
    auto policy = parsePolicy(name, text);
    if (isOk(policy)) {
      proposal.specification = formatPolicy(valueOf(policy));
      proposal.policy = std::move(valueOf(policy));
      return proposal;
    }
    error = errorOf(policy);
  }
  ApiError answer;
  answer.code = ApiErrorCode::kInvalid;
  answer.message = "the specification can't be read; the change was not run";
  answer.details.push_back({std::string(toString(error->code)),
                            std::string(kind.singular) + "/" + name, error->path, error->detail});
  return toResponse(answer);
}

ValidationResult validate(ApiContext& context, const Proposal& proposal,
                          const std::optional<StoredObject>& current, const AdminRequest& request) {
  if (proposal.policy) {
    const std::lock_guard<std::mutex> lock(context.policiesMutex);
    return validatePolicy(*proposal.policy, context.policies);
  }
  const std::optional<Service> before = serviceIn(current);
  const NodeConfiguration known(context.node, assumedPolicies(context, request, *proposal.service));
  return validateService(*proposal.service, before ? &*before : nullptr, known,
                         optionsOf(context, request));
}

ValidationResult validateDeletion(ApiContext& context, const ApiKind& kind,
                                  const StoredObject& current, const AdminRequest& request) {
  if (kind.kind == ObjectKind::kPolicy) {
    return validatePolicyDeletion(current.name, NodeConfiguration(context.node, {}));
  }
  const std::optional<Service> service = serviceIn(current);
  if (!service) {
    return ValidationErrors{};
  }
  return validateServiceDeletion(*service, optionsOf(context, request));
}

}  // namespace umberhold
