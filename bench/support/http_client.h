/** @file HTTP client for stand-ins and nodes. */
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "common/base/endpoint.h"

namespace umberhold::experiment {

struct HttpHeader {
  std::string name;
  std::string value;
};

struct HttpRequest {
  std::string method = "GET";
  std::string path;
  std::string body;
  std::vector<HttpHeader> headers;
  int timeoutSeconds = 2;
};

struct HttpResponse {
  int status = 0;
  std::string body;
};

constexpr int kHttpOk = 200;

/** Sends a request on a new connection. @return the response; nullopt after a timeout or an error.
 */
std::optional<HttpResponse> httpCall(const Endpoint& server, const HttpRequest& request);

/** As above without headers and with the default timeout. */
std::optional<HttpResponse> httpCall(const Endpoint& server, const std::string& method,
                                     const std::string& path, const std::string& body = "");

/** @return whether a GET request returned 200. */
bool httpOk(const Endpoint& server, const std::string& path);

}  // namespace umberhold::experiment
