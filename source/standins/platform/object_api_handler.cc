#include <algorithm>
#include <thread>

#include "standins/platform/http_answers.h"
#include "standins/platform/platform_handlers.h"

namespace umberhold::standins {
namespace {

using Poco::Net::HTTPResponse;
using Poco::Net::HTTPServerRequest;
using Poco::Net::HTTPServerResponse;

/** Positions in the path of the segments after /api/v1. */
constexpr size_t kCollectionIndex = 2;
constexpr size_t kNameIndex = 3;
constexpr uint64_t kDefaultPageSize = 500;
constexpr uint64_t kMaxWaitMilliseconds = 60000;

void sendChangeAnswer(HTTPServerResponse& response, const ObjectStore::ChangeAnswer& answer,
                      bool isRemoval) {
  if (const auto* version = std::get_if<uint64_t>(&answer)) {
    sendJson(response, HTTPResponse::HTTP_OK, encodeVersion(*version));
    return;
  }
  const uint64_t current = std::get<VersionConflict>(answer).currentVersion;
  if (isRemoval && current == 0) {
    sendError(response, HTTPResponse::HTTP_NOT_FOUND, "not_found", "no such object");
    return;
  }
  sendError(response, HTTPResponse::HTTP_CONFLICT, "conflict",
            "current version is " + std::to_string(current));
}

}  // namespace

void ObjectApiHandler::handleRequest(HTTPServerRequest& request, HTTPServerResponse& response) {
  const FaultSettings faults = state_.faults.settings();
  std::this_thread::sleep_for(faults.slow);
  if (faults.outage != Outage::kNone) {
    response.set("Retry-After", std::to_string(faults.retryAfterSeconds));
    sendError(response, HTTPResponse::HTTP_SERVICE_UNAVAILABLE, "unavailable", "switched off");
    return;
  }
  route(request, response);
}

void ObjectApiHandler::route(HTTPServerRequest& request, HTTPServerResponse& response) {
  const std::string& method = request.getMethod();
  const std::string segment = path_.size() > kCollectionIndex ? path_[kCollectionIndex] : "";
  const bool isCollectionPath = path_.size() == kCollectionIndex + 1;
  const auto collection = parseCollection(segment);
  if (isCollectionPath && method == "GET" && segment == "watch") {
    watch(request, response);
  } else if (isCollectionPath && method == "GET" && segment == "machines") {
    ++state_.counters.machines;
    sendJson(response, HTTPResponse::HTTP_OK, encodeMachines(state_.machines.visible()));
  } else if (isCollectionPath && method == "GET" && collection) {
    list(*collection, request, response);
  } else if (collection && path_.size() == kNameIndex + 1 && method == "GET") {
    get(*collection, response);
  } else if (collection && path_.size() == kNameIndex + 1 &&
             (method == "PUT" || method == "DELETE")) {
    change(*collection, request, response);
  } else {
    sendError(response, HTTPResponse::HTTP_BAD_REQUEST, "bad_request", "no such method or path");
  }
}

void ObjectApiHandler::watch(HTTPServerRequest& request, HTTPServerResponse& response) {
  ++state_.counters.watch;
  const auto since = queryNumber(request, "since");
  const uint64_t wait = queryNumber(request, "wait_ms").value_or(0);
  if (!since) {
    sendError(response, HTTPResponse::HTTP_BAD_REQUEST, "bad_request", "since is missing");
    return;
  }
  const OpenWatch openWatch(state_.counters);
  const auto answer =
      state_.objects.watch(*since, std::chrono::milliseconds(std::min(wait, kMaxWaitMilliseconds)));
  if (const auto* batch = std::get_if<WatchBatch>(&answer)) {
    sendJson(response, HTTPResponse::HTTP_OK, encodeWatchBatch(*batch));
    return;
  }
  const uint64_t oldest = std::get<HistoryTruncated>(answer).oldestVersion;
  sendError(response, HTTPResponse::HTTP_GONE, "too_old",
            "history starts after version " + std::to_string(oldest));
}

void ObjectApiHandler::list(Collection collection, HTTPServerRequest& request,
                            HTTPServerResponse& response) {
  ++state_.counters.list;
  const uint64_t limit =
      std::max<uint64_t>(1, queryNumber(request, "limit").value_or(kDefaultPageSize));
  const std::string after = queryText(request, "after").value_or("");
  sendJson(response, HTTPResponse::HTTP_OK,
           encodeObjectPage(state_.objects.list(collection, after, limit)));
}

void ObjectApiHandler::get(Collection collection, HTTPServerResponse& response) {
  ++state_.counters.get;
  const auto object = state_.objects.get(collection, path_[kNameIndex]);
  if (!object) {
    sendError(response, HTTPResponse::HTTP_NOT_FOUND, "not_found", "no such object");
    return;
  }
  sendJson(response, HTTPResponse::HTTP_OK, encodeStoredObject(*object));
}

void ObjectApiHandler::change(Collection collection, HTTPServerRequest& request,
                              HTTPServerResponse& response) {
  const bool isRemoval = request.getMethod() == "DELETE";
  ++(isRemoval ? state_.counters.remove : state_.counters.put);
  const auto body = isRemoval ? PutBody{} : decodePutBody(readBody(request));
  const auto expected = queryNumber(request, "expected_version");
  if (!isOk(body) || (isRemoval && !expected)) {
    sendError(response, HTTPResponse::HTTP_BAD_REQUEST, "bad_request",
              isOk(body) ? "expected_version is missing" : errorOf(body).detail);
    return;
  }
  const ChangeFault fault = state_.faults.nextChangeFault();
  if (fault == ChangeFault::kRequestLost || fault == ChangeFault::kLate) {
    dropConnection(request);
  }
  if (fault == ChangeFault::kRequestLost) {
    return;
  }
  if (fault == ChangeFault::kLate) {
    std::this_thread::sleep_for(state_.faults.settings().lateBy);
  }
  const auto answer = isRemoval ? state_.objects.remove(collection, path_[kNameIndex], *expected)
                                : state_.objects.put(collection, path_[kNameIndex], valueOf(body));
  if (std::holds_alternative<VersionConflict>(answer)) {
    ++state_.counters.conflicts;
  }
  if (fault == ChangeFault::kNormal) {
    sendChangeAnswer(response, answer, isRemoval);
  } else if (fault == ChangeFault::kAnswerLost) {
    dropConnection(request);
  }
}

}  // namespace umberhold::standins
