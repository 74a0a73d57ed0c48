/** @file Transport between umberholdctl and one node's admin API. */
#pragma once

#include <cstdint>
#include <string>

#include "common/admin/http_handler.h"
#include "common/base/endpoint.h"
#include "common/base/result.h"
#include "common/base/time.h"

namespace umberhold {

/** Reason why a request has no response. */
enum class TransportErrorCode : uint8_t {
  /** The request was not sent. */
  kNotSent,
  /** The request was sent, but no complete response arrived: it may have been executed. */
  kAnswerLost,
};

/** A request without a response. */
struct TransportError {
  TransportErrorCode code = TransportErrorCode::kNotSent;
  std::string detail;
};

/** Sends a single request to a node, without retries. */
class AdminTransport {
 public:
  virtual ~AdminTransport() = default;
  virtual Result<AdminResponse, TransportError> send(const Endpoint& server,
                                                     const AdminRequest& request) = 0;
};

/** Response timeout; longer than a node's own deadline for a change (ChangeLimits). */
constexpr Duration kAnswerTimeout = std::chrono::seconds(15);

/** HTTP transport with a new connection for each request. */
class HttpAdminTransport : public AdminTransport {
 public:
  Result<AdminResponse, TransportError> send(const Endpoint& server,
                                             const AdminRequest& request) override;
};

}  // namespace umberhold
