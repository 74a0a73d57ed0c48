/** @file Typed errors of the admin API; on the wire they are JSON with a stable code. */
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "common/admin/http_handler.h"
#include "common/admin/validation.h"

namespace umberhold {

/** Reason why a request failed. */
enum class ApiErrorCode : uint8_t {
  /** The path, a parameter or the body can't be parsed. */
  kBadRequest,
  /** The bearer token is missing or wrong. */
  kUnauthorized,
  kNotFound,
  kMethodNotAllowed,
  /** The object is not at the version on which the change is based. */
  kConflict,
  /** The proposed configuration is invalid; the details list the errors. */
  kInvalid,
  /** The change does not state the version on which it is based. */
  kVersionRequired,
  /** The request id is malformed or belongs to another change. */
  kRequestIdRefused,
  /** The store rejected the request as invalid. */
  kStoreRefused,
  /** The store or the node is temporarily unavailable; nothing was changed. */
  kUnavailable,
  /** The change may or may not be applied; the client queries the request id later. */
  kOutcomeUnknown,
};

/** @return the snake_case label of a code. */
std::string_view toString(ApiErrorCode code);

/** One error in a request. */
struct ApiErrorDetail {
  std::string code;
  std::string object;
  std::string field;
  std::string detail;
};

/** Latest change of an object that is not at the expected version. */
struct ApiConflict {
  /** 0: the object does not exist. */
  uint64_t currentVersion = 0;
  std::string author;
  std::string summary;
  std::string requestId;
};

/** An error response. */
struct ApiError {
  ApiErrorCode code = ApiErrorCode::kBadRequest;
  std::string message;
  std::vector<ApiErrorDetail> details;
  /** Request id of the failed change; empty if there is none. */
  std::string requestId;
  std::optional<ApiConflict> conflict;
  /** Delay after which the client may retry. */
  std::optional<uint32_t> retryAfterSeconds;
};

/** @return the HTTP response: {"error": {"code", "message", "details": [...], ...}}. */
AdminResponse toResponse(const ApiError& error);
/** @return the response to a change that failed validation. */
AdminResponse toResponse(const ValidationErrors& errors);
/** @return 200 with a JSON body. */
AdminResponse jsonAnswer(std::string body);

}  // namespace umberhold
