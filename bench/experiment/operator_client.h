/** @file An operator: changes services through the admin API of the nodes, as umberholdctl does. */
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

/** Why a change is not known to be in. */
enum class ChangeFailure : uint8_t {
  /** No node answered, or all said that nothing was run. */
  kUnavailable,
  /** The node refused it (invalid, not authorised). */
  kRefused,
  /** It may be in or not. */
  kUnknown,
};

/** How operators use the API; a careless one shows what its rules are for. */
enum class OperatorHabit : uint8_t {
  kCareful,
  /** After a conflict writes what it wanted before over what the other wrote. */
  kOverwriting,
};

/** Thread safe: each call uses connections of its own. */
class OperatorClient {
 public:
  /** @param nodes admin endpoints; each call starts with another one. */
  OperatorClient(std::vector<Endpoint> nodes, std::string token,
                 OperatorHabit habit = OperatorHabit::kCareful);

  /** Reads, changes and writes a service under its version; begins again on a conflict. */
  Result<uint64_t, ChangeFailure> changeService(const std::string& service,
                                                const std::string& author,
                                                const std::function<void(Service&)>& change);
  /** @return the version at which the host is definitely draining. */
  Result<uint64_t, ChangeFailure> drain(const std::string& service, const std::string& host);
  /** @return the service as the store holds it, read through a node. */
  std::optional<Service> readService(const std::string& service);

 private:
  struct VersionedService {
    Service service;
    uint64_t version = 0;
  };

  std::optional<VersionedService> read(const std::string& service);
  HttpHeader freshId(const std::string& author);
  std::optional<HttpReply> ask(HttpQuery query, bool isChange);

  std::vector<Endpoint> nodes_;
  std::string token_;
  OperatorHabit habit_;
  std::atomic<uint64_t> calls_{0};
  std::atomic<uint64_t> changes_{0};
};

}  // namespace umberhold::experiment
