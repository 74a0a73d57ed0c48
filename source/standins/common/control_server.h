/** @file HTTP server for probes and control requests to a stand-in. */
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "common/base/endpoint.h"

namespace umberhold::standins {

/** An HTTP request to a stand-in. */
struct ControlRequest {
  std::string method;
  std::string path;
  /** Parameters of the query, by name. */
  std::map<std::string, std::string> parameters;
  std::string body;

  /** @return the parameter as a number, or the fallback if it is absent or not a number. */
  int64_t number(const std::string& name, int64_t fallback) const;
  /** @return the parameter's text, or "". */
  std::string text(const std::string& name) const;
};

/** Response of the stand-in. */
struct ControlResponse {
  int status = 200;
  std::string body;
};

/** Serves requests on its own threads until destruction. */
class ControlServer {
 public:
  using Handler = std::function<ControlResponse(const ControlRequest&)>;

  /** @param local port 0 selects a free port. Throws Poco::Exception if the port is in use. */
  ControlServer(const Endpoint& local, Handler handler);
  ~ControlServer();
  ControlServer(const ControlServer&) = delete;
  ControlServer& operator=(const ControlServer&) = delete;

  Endpoint endpoint() const;

 private:
  struct Parts;
  std::unique_ptr<Parts> parts_;
};

}  // namespace umberhold::standins
