/** @file The platform's object store over its HTTP+JSON API (docs/PLATFORM_API.md). */
#pragma once

#include <string>
#include <vector>

#include "common/base/endpoint.h"
#include "common/platform/http_call.h"
#include "common/platform/platform_store.h"

namespace umberhold {

/**
 * Speaks to one store endpoint. Every call has a time limit and is tried once: retries belong to
 * the caller (platform/retry.h), because only it knows whether to repeat. Thread safe.
 */
class HttpPlatformStore : public PlatformStore {
 public:
  explicit HttpPlatformStore(const Endpoint& store, CallLimits limits = {});

  Result<ObjectList, StoreError> list(Collection collection) override;
  Result<ObjectPage, StoreError> listPage(Collection collection, const std::string& after,
                                          size_t limit) override;
  Result<StoredObject, StoreError> get(Collection collection, const std::string& name) override;
  Result<uint64_t, StoreError> put(const StoredObject& object) override;
  Result<uint64_t, StoreError> remove(const StoredObject& object) override;
  Result<WatchBatch, StoreError> watch(uint64_t since, Duration longPollTimeout) override;
  Result<std::vector<Machine>, StoreError> machines() override;

 private:
  /** Calls and turns every status but 200 into its error. */
  Result<std::string, StoreError> call(const HttpCall& call) const;

  const Endpoint store_;
  const CallLimits limits_;
};

}  // namespace umberhold
