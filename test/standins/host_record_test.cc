/** @file Tests of the JSON round trip of host records. */
#include "standins/backend/host_record.h"

#include <CppUTest/TestHarness.h>

using namespace umberhold;
using namespace umberhold::standins;

TEST_GROUP(HostRecord){static HostRecord record(){HostRecord record;
record.service = "dispatch";
record.host = "dispatch-3";
record.connections = 60;
record.counters.openedFlows = 70;
record.counters.misroutedPackets = 1;
record.counters.overLimit = 2;
record.counters.lastOpenedAt = 1'700'000'000'123;
record.counters.pushes = {9, 8, 1};
record.runs = {{(uint64_t{1} << 40) + 5, {0xAC100001, 5000}, 100, 107}};
record.lostFlows = {{{0xAC100002, 5001}, 200}};
return record;
}
}
;

TEST(HostRecord, RoundTripsThroughJson) {
  const auto read = recordsFromJson(toJson({record(), HostRecord{}}));
  CHECK(isOk(read));
  CHECK_EQUAL(2U, valueOf(read).size());
  const HostRecord& first = valueOf(read).front();
  CHECK_EQUAL(std::string("dispatch-3"), first.host);
  CHECK_EQUAL(60U, first.connections);
  CHECK_EQUAL(70U, first.counters.openedFlows);
  CHECK_EQUAL(1U, first.counters.misroutedPackets);
  CHECK_EQUAL(2U, first.counters.overLimit);
  CHECK_EQUAL(1'700'000'000'123, first.counters.lastOpenedAt);
  CHECK_EQUAL(8U, first.counters.pushes.received);
  CHECK_EQUAL(1U, first.counters.pushes.lost);
  CHECK_EQUAL((uint64_t{1} << 40) + 5, first.runs.at(0).requestId);
  CHECK(first.runs[0].caller == record().runs[0].caller);
  CHECK_EQUAL(107, first.runs[0].endedAt);
  CHECK(first.lostFlows.at(0).caller == record().lostFlows[0].caller);
  CHECK_EQUAL(200, first.lostFlows[0].at);
}

TEST(HostRecord, RejectsMalformedRecords) {
  CHECK(!isOk(recordsFromJson("")));
  CHECK(!isOk(recordsFromJson("{}")));
  CHECK(!isOk(recordsFromJson("[{}]")));
  CHECK(!isOk(recordsFromJson("[1]")));
}
