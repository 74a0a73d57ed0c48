#include "common/platform/http_platform_store.h"

#include <Poco/URI.h>

#include "common/platform/store_json.h"

namespace umberhold {
namespace {

constexpr const char* kBasePath = "/api/v1/";
constexpr size_t kListPageSize = 500;

std::string escape(const std::string& part) {
  std::string escaped;
  Poco::URI::encode(part, "/?#&=+%", escaped);
  return escaped;
}

std::string objectPath(Collection collection, const std::string& name) {
  return kBasePath + toString(collection) + "/" + escape(name);
}

/** A change whose 200 response cannot be parsed was applied: only the response is lost. */
Result<uint64_t, StoreError> decodeChangeAnswer(const std::string& body) {
  auto version = decodeVersion(body);
  if (!isOk(version)) {
    return StoreError{StoreErrorCode::kAnswerLost, errorOf(version).detail, std::nullopt};
  }
  return version;
}

}  // namespace

HttpPlatformStore::HttpPlatformStore(const Endpoint& store, CallLimits limits)
    : store_(store), limits_(limits) {}

Result<std::string, StoreError> HttpPlatformStore::call(const HttpCall& call) const {
  auto answer = callHttp(store_, call, limits_);
  if (!isOk(answer)) {
    return errorOf(answer);
  }
  HttpCallAnswer& response = valueOf(answer);
  if (response.status != kHttpOk) {
    return StoreError{storeErrorOfStatus(response.status),
                      "status " + std::to_string(response.status) + ": " + response.body,
                      response.retryAfter};
  }
  return std::move(response.body);
}

Result<ObjectList, StoreError> HttpPlatformStore::list(Collection collection) {
  ObjectList fullList;
  std::string after;
  do {
    auto page = listPage(collection, after, kListPageSize);
    if (!isOk(page)) {
      return errorOf(page);
    }
    ObjectPage& part = valueOf(page);
    if (after.empty()) {
      fullList.version = part.version;
    }
    for (StoredObject& object : part.objects) {
      fullList.objects.push_back(std::move(object));
    }
    after = part.next;
  } while (!after.empty());
  return fullList;
}

Result<ObjectPage, StoreError> HttpPlatformStore::listPage(Collection collection,
                                                           const std::string& after, size_t limit) {
  const std::string target = kBasePath + toString(collection) + "?limit=" + std::to_string(limit) +
                             (after.empty() ? "" : "&after=" + escape(after));
  auto body = call({"GET", target, "", {}});
  if (!isOk(body)) {
    return errorOf(body);
  }
  return decodeObjectPage(valueOf(body));
}

Result<StoredObject, StoreError> HttpPlatformStore::get(Collection collection,
                                                        const std::string& name) {
  auto body = call({"GET", objectPath(collection, name), "", {}});
  if (!isOk(body)) {
    return errorOf(body);
  }
  return decodeStoredObject(valueOf(body));
}

Result<uint64_t, StoreError> HttpPlatformStore::put(const StoredObject& object) {
  auto request = encodePutBody({object.version, object.history, object.specification});
  if (!isOk(request)) {
    return errorOf(request);
  }
  auto body = call({"PUT", objectPath(object.collection, object.name), valueOf(request), {}});
  if (!isOk(body)) {
    return errorOf(body);
  }
  return decodeChangeAnswer(valueOf(body));
}

Result<uint64_t, StoreError> HttpPlatformStore::remove(const StoredObject& object) {
  const std::string target = objectPath(object.collection, object.name) +
                             "?expected_version=" + std::to_string(object.version);
  auto body = call({"DELETE", target, "", {}});
  if (!isOk(body)) {
    return errorOf(body);
  }
  return decodeChangeAnswer(valueOf(body));
}

Result<WatchBatch, StoreError> HttpPlatformStore::watch(uint64_t since, Duration longPollTimeout) {
  const auto milliseconds =
      std::chrono::duration_cast<std::chrono::milliseconds>(longPollTimeout).count();
  const std::string target = std::string(kBasePath) + "watch?since=" + std::to_string(since) +
                             "&wait_ms=" + std::to_string(milliseconds);
  auto body = call({"GET", target, "", longPollTimeout});
  if (!isOk(body)) {
    return errorOf(body);
  }
  return decodeWatchBatch(valueOf(body));
}

Result<std::vector<Machine>, StoreError> HttpPlatformStore::machines() {
  auto body = call({"GET", std::string(kBasePath) + "machines", "", {}});
  if (!isOk(body)) {
    return errorOf(body);
  }
  return decodeMachines(valueOf(body));
}

}  // namespace umberhold
