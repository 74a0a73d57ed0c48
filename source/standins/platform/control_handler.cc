#include <Poco/Exception.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <Poco/NumberParser.h>

#include <sstream>

#include "standins/platform/http_answers.h"
#include "standins/platform/platform_handlers.h"

namespace umberhold::standins {
namespace {

using Poco::Net::HTTPResponse;
using Poco::Net::HTTPServerRequest;
using Poco::Net::HTTPServerResponse;

/** Positions in the path of the segments after /control. */
constexpr size_t kSubjectIndex = 1;
constexpr size_t kIdIndex = 2;

std::string encodeCounters(const RequestCounters& counters) {
  Poco::JSON::Object object;
  const auto setCounter = [&object](const char* key, const std::atomic<uint64_t>& value) {
    object.set(key, static_cast<Poco::UInt64>(value.load()));
  };
  setCounter("list", counters.list);
  setCounter("get", counters.get);
  setCounter("put", counters.put);
  setCounter("delete", counters.remove);
  setCounter("watch", counters.watch);
  setCounter("machines", counters.machines);
  setCounter("conflicts", counters.conflicts);
  setCounter("open_watches", counters.openWatches);
  setCounter("most_open_watches", counters.maxOpenWatches);
  std::ostringstream text;
  object.stringify(text);
  return text.str();
}

void sendEmptyOk(HTTPServerResponse& response) {
  sendJson(response, HTTPResponse::HTTP_OK, "{}");
}

void sendBadRequest(HTTPServerResponse& response, const std::string& detail) {
  sendError(response, HTTPResponse::HTTP_BAD_REQUEST, "bad_request", detail);
}

}  // namespace

void ControlHandler::handleRequest(HTTPServerRequest& request, HTTPServerResponse& response) {
  const std::string subject = path_.size() > kSubjectIndex ? path_[kSubjectIndex] : "";
  if (subject == "faults") {
    faults(request, response);
  } else if (subject == "machines" && path_.size() == kIdIndex + 1) {
    machine(request, response);
  } else if (subject == "settings" && request.getMethod() == "PUT") {
    settings(request, response);
  } else if (subject == "stats" && request.getMethod() == "GET") {
    sendJson(response, HTTPResponse::HTTP_OK, encodeCounters(state_.counters));
  } else {
    sendBadRequest(response, "no such method or path");
  }
}

void ControlHandler::faults(HTTPServerRequest& request, HTTPServerResponse& response) {
  FaultSettings requested = state_.faults.settings();
  if (request.getMethod() == "PUT") {
    const auto merged = mergeFaults(requested, readBody(request));
    if (!isOk(merged)) {
      sendBadRequest(response, errorOf(merged).detail);
      return;
    }
    requested = valueOf(merged);
  } else if (request.getMethod() == "DELETE") {
    requested = FaultSettings{};
  }
  if (request.getMethod() != "GET" && !applyFaults_(requested)) {
    sendBadRequest(response, "outage 'refused' can be set through the control port only");
    return;
  }
  sendJson(response, HTTPResponse::HTTP_OK, encodeFaults(requested));
}

void ControlHandler::machine(HTTPServerRequest& request, HTTPServerResponse& response) {
  unsigned nodeId = 0;
  if (!Poco::NumberParser::tryParseUnsigned(path_[kIdIndex], nodeId)) {
    sendBadRequest(response, "the node id is not a number");
    return;
  }
  if (request.getMethod() == "DELETE") {
    state_.machines.remove(nodeId);
    sendEmptyOk(response);
    return;
  }
  const auto machine = decodeMachine(readBody(request));
  if (request.getMethod() != "PUT" || !isOk(machine) || valueOf(machine).nodeId != nodeId) {
    sendBadRequest(response, isOk(machine) ? "wrong method or node id" : errorOf(machine).detail);
    return;
  }
  state_.machines.put(valueOf(machine));
  sendEmptyOk(response);
}

void ControlHandler::settings(HTTPServerRequest& request, HTTPServerResponse& response) {
  try {
    const auto object =
        Poco::JSON::Parser().parse(readBody(request)).extract<Poco::JSON::Object::Ptr>();
    if (object->has("history_limit")) {
      state_.objects.setHistoryLimit(object->getValue<Poco::UInt32>("history_limit"));
    }
    if (object->has("machines_lag_ms")) {
      state_.machines.setLag(
          std::chrono::milliseconds(object->getValue<Poco::UInt32>("machines_lag_ms")));
    }
    sendEmptyOk(response);
  } catch (const Poco::Exception& error) {
    sendBadRequest(response, error.displayText());
  }
}

}  // namespace umberhold::standins
