/** @file A node's HTTP server: health, readiness, metrics and the admin API. */
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "common/admin/http_handler.h"
#include "common/base/endpoint.h"
#include "common/base/result.h"
#include "common/node/node_core.h"
#include "common/server/udp_port.h"

namespace umberhold {

/** Functions through which the server queries the node; called on HTTP threads. */
struct HttpServerHooks {
  /** @return the readiness, or nothing if the node's loop does not answer. */
  std::function<std::optional<NodeReadiness>()> readiness;
  /** @return the metrics in Prometheus' text format, or nothing if the loop does not answer. */
  std::function<std::optional<std::string>()> metrics;
  /** The admin API; borrowed; nullptr for none. */
  AdminHandler* admin = nullptr;
};

/**
 * Serves GET /healthz, /readyz and /metrics and passes every other path to the admin API. No
 * request waits for the node to become ready; 503 responses carry a Retry-After header.
 */
class HttpServer {
 public:
  /** Listens and serves until the server is destroyed. Port 0 binds a free port. */
  static Result<std::unique_ptr<HttpServer>, PortError> start(const Endpoint& local,
                                                              HttpServerHooks hooks);
  ~HttpServer();
  /** @return the bound endpoint. */
  Endpoint local() const;

 private:
  struct Parts;
  explicit HttpServer(std::unique_ptr<Parts> parts);
  std::unique_ptr<Parts> parts_;
};

}  // namespace umberhold
