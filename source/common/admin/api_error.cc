#include "common/admin/api_error.h"

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>

#include <sstream>
#include <utility>

namespace umberhold {
namespace {

using Poco::JSON::Array;
using Poco::JSON::Object;

int statusOf(ApiErrorCode code) {
  switch (code) {
    case ApiErrorCode::kBadRequest:
      return 400;
    case ApiErrorCode::kUnauthorized:
      return 401;
    case ApiErrorCode::kNotFound:
      return 404;
    case ApiErrorCode::kMethodNotAllowed:
      return 405;
    case ApiErrorCode::kConflict:
      return 409;
    case ApiErrorCode::kInvalid:
    case ApiErrorCode::kRequestIdRefused:
    case ApiErrorCode::kStoreRefused:
      return 422;
    case ApiErrorCode::kVersionRequired:
      return 428;
    case ApiErrorCode::kUnavailable:
      return 503;
    case ApiErrorCode::kOutcomeUnknown:
      return 504;
  }
  return 500;
}

Array::Ptr detailsToJson(const std::vector<ApiErrorDetail>& details) {
  Array::Ptr array = new Array;
  for (const ApiErrorDetail& detail : details) {
    Object::Ptr object = new Object;
    object->set("code", detail.code);
    object->set("object", detail.object);
    object->set("field", detail.field);
    object->set("detail", detail.detail);
    array->add(object);
  }
  return array;
}

Object::Ptr conflictToJson(const ApiConflict& conflict) {
  Object::Ptr object = new Object;
  object->set("current_version", static_cast<Poco::UInt64>(conflict.currentVersion));
  object->set("author", conflict.author);
  object->set("summary", conflict.summary);
  object->set("request_id", conflict.requestId);
  return object;
}

std::string objectLabel(const RecordKey& key) {
  return (key.kind == ObjectKind::kPolicy ? "policy/" : "service/") + key.name;
}

}  // namespace

std::string_view toString(ApiErrorCode code) {
  switch (code) {
    case ApiErrorCode::kBadRequest:
      return "bad_request";
    case ApiErrorCode::kUnauthorized:
      return "unauthorized";
    case ApiErrorCode::kNotFound:
      return "not_found";
    case ApiErrorCode::kMethodNotAllowed:
      return "method_not_allowed";
    case ApiErrorCode::kConflict:
      return "conflict";
    case ApiErrorCode::kInvalid:
      return "invalid";
    case ApiErrorCode::kVersionRequired:
      return "version_required";
    case ApiErrorCode::kRequestIdRefused:
      return "request_id_refused";
    case ApiErrorCode::kStoreRefused:
      return "store_refused";
    case ApiErrorCode::kUnavailable:
      return "unavailable";
    case ApiErrorCode::kOutcomeUnknown:
      return "outcome_unknown";
  }
  return "unknown";
}

AdminResponse toResponse(const ApiError& error) {
  Object::Ptr inner = new Object;
  inner->set("code", std::string(toString(error.code)));
  inner->set("message", error.message);
  inner->set("details", detailsToJson(error.details));
  if (!error.requestId.empty()) {
    inner->set("request_id", error.requestId);
  }
  if (error.conflict) {
    inner->set("conflict", conflictToJson(*error.conflict));
  }
  if (error.retryAfterSeconds) {
    inner->set("retry_after_seconds", *error.retryAfterSeconds);
  }
  Object outer;
  outer.set("error", inner);
  std::ostringstream body;
  outer.stringify(body);
  AdminResponse response;
  response.status = statusOf(error.code);
  response.body = body.str();
  response.retryAfterSeconds = error.retryAfterSeconds;
  return response;
}

AdminResponse toResponse(const ValidationErrors& errors) {
  ApiError error;
  error.code = ApiErrorCode::kInvalid;
  error.message = "the change was not run: " + std::to_string(errors.size()) + " error(s)";
  for (const ValidationError& each : errors) {
    error.details.push_back(
        {std::string(toString(each.code)), objectLabel(each.object), each.field, each.detail});
  }
  return toResponse(error);
}

AdminResponse jsonAnswer(std::string body) {
  AdminResponse response;
  response.body = std::move(body);
  return response;
}

}  // namespace umberhold
