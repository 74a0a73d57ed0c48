/** @file Errors of the admin API: typed here, JSON with a stable code on the wire. */
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "common/admin/http_handler.h"
#include "common/admin/validation.h"

namespace umberhold {

/** Why a request was not answered as asked. */
enum class ApiErrorCode : uint8_t {
  /** The path, a parameter or the body can't be understood. */
  kBadRequest,
  /** The bearer token is missing or wrong. */
  kUnauthorized,
  kNotFound,
  kMethodNotAllowed,
  /** The object is not at the version that the change is based on. */
  kConflict,
  /** The proposed configuration is wrong; see the details. */
  kInvalid,
  /** The change does not say which version it is based on. */
  kVersionRequired,
  /** The request id belongs to another change, or is none. */
  kRequestIdRefused,
  /** The store refuses the request as such. */
  kStoreRefused,
  /** The store or the node can't answer now; nothing was changed. */
  kUnavailable,
  /** The change may be in or not: ask for the request id later. */
  kOutcomeUnknown,
};

/** @return the snake_case label of a code. */
std::string_view toString(ApiErrorCode code);

/** One thing that is wrong with the request. */
struct ApiErrorDetail {
  std::string code;
  std::string object;
  std::string field;
  std::string detail;
};

/** The newest change of an object that is not at the expected version. */
struct ApiConflict {
  /** 0: the object does not exist. */
  uint64_t currentVersion = 0;
  std::string author;
  std::string summary;
  std::string requestId;
};

/** An error answer. */
struct ApiError {
  ApiErrorCode code = ApiErrorCode::kBadRequest;
  std::string message;
  std::vector<ApiErrorDetail> details;
  /** Id of the change that failed, where there was one. */
  std::string requestId;
  std::optional<ApiConflict> conflict;
  /** When to come back. */
  std::optional<uint32_t> retryAfterSeconds;
};

/** @return the HTTP answer: {"error": {"code", "message", "details": [...], ...}}. */
AdminResponse toResponse(const ApiError& error);
/** @return the answer to a change that validation refused. */
AdminResponse toResponse(const ValidationErrors& errors);
/** @return 200 with a JSON body. */
AdminResponse jsonAnswer(std::string body);

}  // namespace umberhold
