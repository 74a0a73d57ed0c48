/**
 * @file Interface between a node's HTTP server and the admin API mounted in it.
 *
 * server/http_server.h owns the sockets and hands every request that is not its own (/metrics,
 * /healthz, /readyz) to the AdminHandler. The interface exposes no HTTP library.
 */
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace umberhold {

/** One parameter of a query string, decoded. */
struct QueryParameter {
  std::string name;
  std::string value;

  bool operator==(const QueryParameter&) const = default;
};

/** An HTTP request to the admin API. */
struct AdminRequest {
  /** "GET", "PUT", "POST", "DELETE". */
  std::string method;
  /** Decoded path without the query, for example "/v1/services/dispatch". */
  std::string path;
  /** In the order of the query string; a name may repeat. */
  std::vector<QueryParameter> query;
  /** Value of the Authorization header; empty if absent. */
  std::string authorization;
  /** Value of the X-Request-Id header; empty if absent. */
  std::string requestId;
  /** Value of the If-Match header; empty if absent. */
  std::string ifMatch;
  /** At most kAdminBodyLimit bytes; the server responds to larger bodies with 413. */
  std::string body;

  /** @return the first value of the query parameter, or nothing. */
  std::optional<std::string_view> findQuery(std::string_view name) const {
    for (const QueryParameter& parameter : query) {
      if (parameter.name == name) {
        return parameter.value;
      }
    }
    return std::nullopt;
  }
};

/** Maximum size of a request body, bytes. */
constexpr size_t kAdminBodyLimit = 4U << 20U;

/** The response to an AdminRequest. */
struct AdminResponse {
  /** HTTP status. */
  int status = 200;
  std::string contentType = "application/json";
  std::string body;
  /** Value of the Retry-After header, if the client may retry. */
  std::optional<uint32_t> retryAfterSeconds;
};

/** Handles requests; called concurrently from several HTTP threads, so it must be thread safe. */
class AdminHandler {
 public:
  virtual ~AdminHandler() = default;
  /** @return the complete response, which is sent immediately. */
  virtual AdminResponse handle(const AdminRequest& request) = 0;
};

}  // namespace umberhold
