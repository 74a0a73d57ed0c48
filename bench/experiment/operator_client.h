/** @file Client for the admin API of the nodes; changes services as umberholdctl does. */
#pragma once

#include <atomic>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "bench/support/http_client.h"
#include "common/base/result.h"
#include "common/config/service.h"

namespace umberhold::experiment {

/** Why a change was not confirmed. */
enum class ChangeFailure : uint8_t {
  /** The service could not be read, nodes reported that they had not executed the change, or every
   * attempt conflicted with another change. */
  kUnavailable,
  /** A node refused it as invalid or unauthorised. */
  kRefused,
  /** It may have been executed: a node reported an unknown outcome or didn't respond. */
  kUnknown,
};

/** Reaction of an operator to a conflict: another one changed the service between its read and its
 * write. */
enum class ConflictPolicy : uint8_t {
  /** Applies its change to the current service. */
  kReapply,
  /** Overwrites the current service with its earlier result and thereby discards the other change;
   * shows the effect of ignoring versions. */
  kOverwrite,
};

/** Thread safe: each call uses its own connections. */
class OperatorClient {
 public:
  /** @param nodes admin endpoints; consecutive requests use different ones. */
  OperatorClient(std::vector<Endpoint> nodes, std::string token,
                 ConflictPolicy conflictPolicy = ConflictPolicy::kReapply);

  /** Reads a service, changes it and writes it if its version is unchanged; repeats this after a
   * conflict. @return the version of the configuration with the change. */
  Result<uint64_t, ChangeFailure> changeService(const std::string& service,
                                                const std::string& author,
                                                const std::function<void(Service&)>& change);
  /** Drains a host. @return the version of the configuration with the drain. */
  Result<uint64_t, ChangeFailure> drain(const std::string& service, const std::string& host);
  /** @return the stored service, read through a node; nullopt if that fails. */
  std::optional<Service> readService(const std::string& service);

 private:
  struct VersionedService {
    Service service;
    uint64_t version = 0;
  };

  std::optional<VersionedService> readVersioned(const std::string& service);
  HttpHeader newRequestId(const std::string& author);
  std::optional<HttpResponse> send(HttpRequest request, bool isChange);

  std::vector<Endpoint> nodes_;
  std::string token_;
  ConflictPolicy conflictPolicy_;
  std::atomic<uint64_t> requests_{0};
  std::atomic<uint64_t> requestIds_{0};
};

}  // namespace umberhold::experiment
