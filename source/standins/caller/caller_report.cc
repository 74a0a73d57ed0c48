#include "standins/caller/caller_report.h"

#include <Poco/Exception.h>
#include <Poco/JSON/Parser.h>

#include <array>

#include "standins/common/report_json.h"

namespace umberhold::standins {
namespace {

using Poco::JSON::Array;
using Poco::JSON::Object;

constexpr std::array<CounterField<CallerReport>, 17> kCounters = {{
    {"opened_flows", &CallerReport::openedFlows},
    {"established_flows", &CallerReport::establishedFlows},
    {"open_flows", &CallerReport::openFlows},
    {"ended_flows", &CallerReport::endedFlows},
    {"refused_openings", &CallerReport::refusedOpenings},
    {"unanswered_openings", &CallerReport::unansweredOpenings},
    {"requests", &CallerReport::requests},
    {"answers", &CallerReport::answers},
    {"shed_requests", &CallerReport::shedRequests},
    {"expired_requests", &CallerReport::expiredRequests},
    {"cancelled_requests", &CallerReport::cancelledRequests},
    {"repeated_packets", &CallerReport::repeatedPackets},
    {"pushes", &CallerReport::pushes},
    {"delayed_requests", &CallerReport::delayedRequests},
    {"longest_silence_ms", &CallerReport::longestSilenceMillis},
    {"unexpected_packets", &CallerReport::unexpectedPackets},
    {"outstanding_requests", &CallerReport::outstandingRequests},
}};

Object objectOf(const BrokenFlow& flow) {
  Object object;
  object.set("at", flow.at);
  object.set("reason", static_cast<int>(flow.reason));
  object.set("service", flow.service);
  object.set("host", flow.host);
  object.set("caller", toString(flow.caller));
  object.set("opened_at", flow.openedAt);
  return object;
}

Object objectOf(const CutRequest& request) {
  Object object;
  object.set("at", request.at);
  object.set("id", request.requestId);
  object.set("service", request.service);
  object.set("host", request.host);
  object.set("partial", request.partial);
  object.set("caller", toString(request.caller));
  object.set("opened_at", request.openedAt);
  return object;
}

BrokenFlow brokenFlowOf(const Array& flows, unsigned index) {
  const Object& object = *flows.getObject(index);
  BrokenFlow flow;
  flow.at = object.getValue<Poco::Int64>("at");
  flow.reason = static_cast<BreakReason>(object.getValue<int>("reason"));
  flow.service = object.getValue<std::string>("service");
  flow.host = object.getValue<std::string>("host");
  flow.caller = endpointOf(object.getValue<std::string>("caller"));
  flow.openedAt = object.getValue<Poco::Int64>("opened_at");
  return flow;
}

CutRequest cutRequestOf(const Array& requests, unsigned index) {
  const Object& object = *requests.getObject(index);
  CutRequest request;
  request.at = object.getValue<Poco::Int64>("at");
  request.requestId = object.getValue<Poco::UInt64>("id");
  request.service = object.getValue<std::string>("service");
  request.host = object.getValue<std::string>("host");
  request.partial = object.getValue<bool>("partial");
  request.caller = endpointOf(object.getValue<std::string>("caller"));
  request.openedAt = object.getValue<Poco::Int64>("opened_at");
  return request;
}

}  // namespace

std::string toJson(const CallerReport& report) {
  Object object;
  writeCounters(object, report, kCounters);
  Object byHost;
  for (const auto& [host, flows] : report.openFlowsByHost) {
    byHost.set(host, flows);
  }
  object.set("open_flows_by_host", byHost);
  object.set("broken",
             arrayOf(report.broken, [](const BrokenFlow& flow) { return objectOf(flow); }));
  object.set("cut",
             arrayOf(report.cut, [](const CutRequest& request) { return objectOf(request); }));
  object.set("refused_ids", arrayOf(report.refusedIds));
  object.set("single_run_ids", arrayOf(report.singleRunIds));
  object.set("unanswered_at", arrayOf(report.unansweredAt));
  return textOf(object);
}

Result<CallerReport, ReportError> reportFromJson(const std::string& text) {
  try {
    const auto object = Poco::JSON::Parser().parse(text).extract<Object::Ptr>();
    CallerReport report;
    readCounters(*object, report, kCounters);
    for (const auto& [host, flows] : *object->getObject("open_flows_by_host")) {
      report.openFlowsByHost[host] = flows.convert<Poco::UInt64>();
    }
    report.broken = itemsOf<BrokenFlow>(*object->getArray("broken"), brokenFlowOf);
    report.cut = itemsOf<CutRequest>(*object->getArray("cut"), cutRequestOf);
    report.refusedIds = numbersOf<uint64_t>(*object->getArray("refused_ids"));
    report.singleRunIds = numbersOf<uint64_t>(*object->getArray("single_run_ids"));
    report.unansweredAt = numbersOf<UnixMillis>(*object->getArray("unanswered_at"));
    return report;
  } catch (const Poco::Exception&) {
    return ReportError::kMalformed;
  }
}

}  // namespace umberhold::standins
