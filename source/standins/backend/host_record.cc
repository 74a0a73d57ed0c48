#include "standins/backend/host_record.h"

#include <Poco/Exception.h>
#include <Poco/JSON/Parser.h>

#include <array>

#include "standins/common/report_json.h"

namespace umberhold::standins {
namespace {

using Poco::JSON::Array;
using Poco::JSON::Object;

constexpr std::array<CounterField<HostCounters>, 6> kCounters = {{
    {"opened_flows", &HostCounters::openedFlows},
    {"resets", &HostCounters::resets},
    {"misrouted_packets", &HostCounters::misroutedPackets},
    {"malformed_packets", &HostCounters::malformedPackets},
    {"shed_requests", &HostCounters::shedRequests},
    {"over_limit", &HostCounters::overLimit},
}};

constexpr std::array<CounterField<PushCounters>, 3> kPushCounters = {{
    {"pushes_sent", &PushCounters::sent},
    {"pushes_received", &PushCounters::received},
    {"pushes_lost", &PushCounters::lost},
}};

/** Encoded as an array instead of an object because the number of runs is large. */
Array fieldsOf(const RunRecord& run) {
  Array fields;
  fields.add(run.requestId);
  fields.add(toString(run.caller));
  fields.add(run.startedAt);
  fields.add(run.endedAt);
  return fields;
}

RunRecord runOf(const Array& runs, unsigned index) {
  const Array& fields = *runs.getArray(index);
  RunRecord run;
  run.requestId = fields.getElement<Poco::UInt64>(0);
  run.caller = endpointOf(fields.getElement<std::string>(1));
  run.startedAt = fields.getElement<Poco::Int64>(2);
  run.endedAt = fields.getElement<Poco::Int64>(3);
  return run;
}

Array fieldsOf(const LostFlow& flow) {
  Array fields;
  fields.add(toString(flow.caller));
  fields.add(flow.at);
  return fields;
}

LostFlow lostFlowOf(const Array& flows, unsigned index) {
  const Array& fields = *flows.getArray(index);
  return LostFlow{endpointOf(fields.getElement<std::string>(0)), fields.getElement<Poco::Int64>(1)};
}

Object objectOf(const HostRecord& record) {
  Object object;
  object.set("service", record.service);
  object.set("host", record.host);
  object.set("connections", record.connections);
  object.set("last_opened_at", record.counters.lastOpenedAt);
  writeCounters(object, record.counters, kCounters);
  writeCounters(object, record.counters.pushes, kPushCounters);
  object.set("runs", arrayOf(record.runs, [](const RunRecord& run) { return fieldsOf(run); }));
  object.set("lost_flows",
             arrayOf(record.lostFlows, [](const LostFlow& flow) { return fieldsOf(flow); }));
  return object;
}

HostRecord recordOf(const Array& records, unsigned index) {
  const Object& object = *records.getObject(index);
  HostRecord record;
  record.service = object.getValue<std::string>("service");
  record.host = object.getValue<std::string>("host");
  record.connections = object.getValue<Poco::UInt64>("connections");
  record.counters.lastOpenedAt = object.getValue<Poco::Int64>("last_opened_at");
  readCounters(object, record.counters, kCounters);
  readCounters(object, record.counters.pushes, kPushCounters);
  record.runs = itemsOf<RunRecord>(*object.getArray("runs"), runOf);
  record.lostFlows = itemsOf<LostFlow>(*object.getArray("lost_flows"), lostFlowOf);
  return record;
}

}  // namespace

HostRecord recordOf(const VirtualHost& host) {
  return HostRecord{host.profile().service, host.profile().name, host.connectionCount(),
                    host.counters(),        host.runs(),         host.lostFlows()};
}

std::string toJson(const std::vector<HostRecord>& records) {
  return textOf(arrayOf(records, [](const HostRecord& record) { return objectOf(record); }));
}

Result<std::vector<HostRecord>, RecordError> recordsFromJson(const std::string& text) {
  try {
    const auto array = Poco::JSON::Parser().parse(text).extract<Array::Ptr>();
    return itemsOf<HostRecord>(
        *array, [](const Array& records, unsigned index) { return recordOf(records, index); });
  } catch (const Poco::Exception&) {
    return RecordError::kMalformed;
  }
}

}  // namespace umberhold::standins
