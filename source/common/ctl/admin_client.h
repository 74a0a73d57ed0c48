/**
 * @file Client of the admin API of several servers, with failover to the next server.
 *
 * A change keeps its request id over all attempts. Once an attempt may have been executed, later
 * attempts carry the query parameter "repeated". From then on only a definite response ends the
 * change: "unavailable" in response to a later attempt does not prove that an earlier one was not
 * executed.
 */
#pragma once

#include <string>
#include <variant>
#include <vector>

#include "common/admin/call_clock.h"
#include "common/admin/http_handler.h"
#include "common/base/endpoint.h"
#include "common/base/random.h"
#include "common/base/result.h"
#include "common/ctl/admin_transport.h"

namespace umberhold {

/** No server could be reached or was available; nothing was executed. */
struct ServersUnavailable {
  std::string detail;
};

/** The response was lost: the change may or may not be applied. */
struct AnswerLost {
  std::string requestId;
  std::string detail;
};

/** The response of a server, or the reason why there is none. */
using ClientResult = std::variant<AdminResponse, ServersUnavailable, AnswerLost>;

/** Limits on the attempts of the client. */
struct ClientLimits {
  Duration deadline = std::chrono::seconds(30);
};

/** Sends requests with retries and failover. Not thread safe. */
class AdminClient {
 public:
  /** All references are borrowed. @param servers in the order of the attempts. */
  AdminClient(std::vector<Endpoint> servers, std::string token, AdminTransport& transport,
              CallClock& clock, RandomSource& random, ClientLimits limits = {});

  /** Sends a read request to the servers in turn until one gives a definite response. */
  ClientResult read(AdminRequest request);
  /** Sends a change; request.requestId must be set. */
  ClientResult change(AdminRequest request);
  /** Reads from one server in a single attempt. @param server index below serverCount(). */
  Result<AdminResponse, TransportError> readAt(size_t server, AdminRequest request);
  size_t serverCount() const { return servers_.size(); }
  /** @return the maximum duration of all attempts of a request. */
  Duration deadline() const { return limits_.deadline; }

 private:
  ClientResult send(AdminRequest request, bool changes);

  const std::vector<Endpoint> servers_;
  const std::string token_;
  AdminTransport& transport_;
  CallClock& clock_;
  RandomSource& random_;
  const ClientLimits limits_;
  /** Index of the server that gave the last definite response; tried first. */
  size_t preferredServer_ = 0;
};

}  // namespace umberhold
