/** @file Parses and validates proposed objects, without side effects. */
#pragma once

#include <optional>
#include <string>

#include "common/admin/api_context.h"
#include "common/admin/validation.h"
#include "common/config/service.h"

namespace umberhold {

/** A proposed object: its specification in canonical form, and the parsed service or policy. */
struct Proposal {
  std::string specification;
  std::optional<Service> service;
  std::optional<Policy> policy;
};

/** @return the proposal, or the error response for an invalid text. */
Result<Proposal, AdminResponse> parseProposal(const ApiKind& kind, const std::string& name,
                                              const std::string& text);

/** Checks a proposal against the current object, if any, and the effective configuration. */
ValidationResult validate(ApiContext& context, const Proposal& proposal,
                          const std::optional<StoredObject>& current, const AdminRequest& request);

/** Checks whether an object may be deleted. */
ValidationResult validateDeletion(ApiContext& context, const ApiKind& kind,
                                  const StoredObject& current, const AdminRequest& request);

}  // namespace umberhold
