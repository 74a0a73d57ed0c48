/** @file Request handlers of the stand-in platform: the object API and the control paths. */
#pragma once

#include <Poco/Net/HTTPRequestHandler.h>

#include <functional>
#include <string>
#include <vector>

#include "standins/platform/platform_state.h"

namespace umberhold::standins {

/** Unescaped segments of a request path. */
using PathSegments = std::vector<std::string>;

/** Handles /api/v1/... */
class ObjectApiHandler : public Poco::Net::HTTPRequestHandler {
 public:
  ObjectApiHandler(PlatformState& state, PathSegments path)
      : state_(state), path_(std::move(path)) {}
  void handleRequest(Poco::Net::HTTPServerRequest& request,
                     Poco::Net::HTTPServerResponse& response) override;

 private:
  void route(Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response);
  void watch(Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response);
  void list(Collection collection, Poco::Net::HTTPServerRequest& request,
            Poco::Net::HTTPServerResponse& response);
  void get(Collection collection, Poco::Net::HTTPServerResponse& response);
  void change(Collection collection, Poco::Net::HTTPServerRequest& request,
              Poco::Net::HTTPServerResponse& response);

  PlatformState& state_;
  const PathSegments path_;
};

/** Handles /control/... */
class ControlHandler : public Poco::Net::HTTPRequestHandler {
 public:
  /** Applies new fault settings; @return false if they can't be set through this port. */
  using ApplyFaults = std::function<bool(const FaultSettings&)>;

  ControlHandler(PlatformState& state, PathSegments path, ApplyFaults applyFaults)
      : state_(state), path_(std::move(path)), applyFaults_(std::move(applyFaults)) {}
  void handleRequest(Poco::Net::HTTPServerRequest& request,
                     Poco::Net::HTTPServerResponse& response) override;

 private:
  void faults(Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response);
  void machine(Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response);
  void settings(Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response);

  PlatformState& state_;
  const PathSegments path_;
  const ApplyFaults applyFaults_;
};

}  // namespace umberhold::standins
