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

constexpr size_t kSubjectPart = 1;
constexpr size_t kIdPart = 2;

std::string encodeCounters(const RequestCounters& counters) {
  Poco::JSON::Object object;
  const auto set = [&object](const char* key, const std::atomic<uint64_t>& value) {
    object.set(key, static_cast<Poco::UInt64>(value.load()));
  };
  set("list", counters.list);
  set("get", counters.get);
  set("put", counters.put);
  set("delete", counters.remove);
  set("watch", counters.watch);
  set("machines", counters.machines);
  set("conflicts", counters.conflicts);
  set("open_watches", counters.openWatches);
  set("most_open_watches", counters.maximumOpenWatches);
  std::ostringstream text;
  object.stringify(text);
  return text.str();
}

void sendDone(HTTPServerResponse& response) {
  sendJson(response, HTTPResponse::HTTP_OK, "{}");
}

void sendBadRequest(HTTPServerResponse& response, const std::string& detail) {
  sendError(response, HTTPResponse::HTTP_BAD_REQUEST, "bad_request", detail);
}

}  // namespace

void ControlHandler::handleRequest(HTTPServerRequest& request, HTTPServerResponse& response) {
  const std::string subject = path_.size() > kSubjectPart ? path_[kSubjectPart] : "";
  if (subject == "faults") {
    faults(request, response);
  } else if (subject == "machines" && path_.size() == kIdPart + 1) {
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
  FaultSettings wanted = state_.faults.settings();
  if (request.getMethod() == "PUT") {
    const auto merged = mergeFaults(wanted, readBody(request));
    if (!isOk(merged)) {
      sendBadRequest(response, errorOf(merged).detail);
      return;
    }
    wanted = valueOf(merged);
  } else if (request.getMethod() == "DELETE") {
    wanted = FaultSettings{};
  }
  if (request.getMethod() != "GET" && !applyFaults_(wanted)) {
    sendBadRequest(response, "outage 'refused' can be set through the control port only");
    return;
  }
  sendJson(response, HTTPResponse::HTTP_OK, encodeFaults(wanted));
}

void ControlHandler::machine(HTTPServerRequest& request, HTTPServerResponse& response) {
  unsigned nodeId = 0;
  if (!Poco::NumberParser::tryParseUnsigned(path_[kIdPart], nodeId)) {
    sendBadRequest(response, "the node id is no number");
    return;
  }
  if (request.getMethod() == "DELETE") {
    state_.machines.remove(nodeId);
    sendDone(response);
    return;
  }
  const auto machine = decodeMachine(readBody(request));
  if (request.getMethod() != "PUT" || !isOk(machine) || valueOf(machine).nodeId != nodeId) {
    sendBadRequest(response, isOk(machine) ? "wrong method or node id" : errorOf(machine).detail);
    return;
  }
  state_.machines.put(valueOf(machine));
  sendDone(response);
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
    sendDone(response);
  } catch (const Poco::Exception& error) {
    sendBadRequest(response, error.displayText());
  }
}

}  // namespace umberhold::standins
