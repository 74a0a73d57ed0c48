/**
 * @file One request and its response on an open session; only for inclusion in .cc files (includes
 * POCO).
 */
#pragma once

#include <Poco/Net/HTTPClientSession.h>

#include "common/base/endpoint.h"
#include "common/platform/http_call.h"

namespace umberhold {

/** A response, and whether its connection can be reused. */
struct HttpExchange {
  HttpCallAnswer answer;
  bool reusable = false;
};

/**
 * Sends the request and reads the response. Throws Poco::Exception or std::exception if no complete
 * response is received within the limits.
 */
HttpExchange exchangeOn(Poco::Net::HTTPClientSession& session, const Endpoint& server,
                        const HttpCall& call, const CallLimits& limits, bool keepAlive);

}  // namespace umberhold
