/** @file Reads proposed objects and checks changes of them; nothing here changes anything. */
#pragma once

#include <optional>
#include <string>

#include "common/admin/api_context.h"
#include "common/admin/validation.h"
#include "common/config/service.h"

namespace umberhold {

/** A proposed object: its specification in normal form, and the service where it is one. */
struct Proposal {
  std::string specification;
  std::optional<Service> service;
  std::optional<Policy> policy;
};

/** @return the proposal, or the answer that says what is wrong with the text. */
Result<Proposal, AdminResponse> parseProposal(const ApiKind& kind, const std::string& name,
                                              const std::string& text);

/** Checks a proposal against the current object, if any, and the effective configuration. */
ValidationResult validate(ApiContext& context, const Proposal& proposal,
                          const std::optional<StoredObject>& current, const AdminRequest& request);

/** Checks whether an object may go. */
ValidationResult validateDeletion(ApiContext& context, const ApiKind& kind,
                                  const StoredObject& current, const AdminRequest& request);

}  // namespace umberhold
