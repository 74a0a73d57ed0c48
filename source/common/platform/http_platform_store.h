/** @file Client of the platform's object store over its HTTP+JSON API (docs/PLATFORM_API.md). */
#pragma once

#include <string>
#include <vector>

#include "common/base/endpoint.h"
#include "common/platform/http_call.h"
#include "common/platform/platform_store.h"

namespace umberhold {

/**
 * Client of one store endpoint. Every call has timeouts and is tried once: retries are left to the
 * caller (platform/retry.h), because only the caller can decide whether a call may be repeated.
 * Thread safe.
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
  /** Makes the call and converts every status other than 200 to a StoreError. */
  Result<std::string, StoreError> call(const HttpCall& call) const;

  const Endpoint store_;
  const CallLimits limits_;
};

}  // namespace umberhold
