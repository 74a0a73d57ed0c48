/** @file Tests the path of a request to a reader, including a report of observations of hosts. */
#include "platform/store/peer_request.h"

#include "common/health/host_observations.h"
#include "common/health/zone_silence.h"
#include "common/messages/peer_messages.h"
#include "common/server/poll_http_port.h"
#include "common/wire/codec.h"

#include <CppUTest/TestHarness.h>

namespace umberhold::platform {

TEST_GROUP(PeerRequest){};

TEST(PeerRequest, RoundTripsThroughItsPath) {
  for (const std::string& report :
       {std::string(), std::string("\0\xFF\xFE/+", 5), std::string(997, '\xFB')}) {
    const auto parsed = parsePeerRequest(pathOf({57, report}));
    CHECK_TRUE(parsed.has_value());
    LONGS_EQUAL(57, parsed->since);
    CHECK_TRUE(parsed->report == report);
  }
}

TEST(PeerRequest, EncodesEveryReportInAPath) {
  HostReport report{UINT64_MAX, UINT64_MAX, {}, {}};
  report.hosts.assign(kMaxReportedHosts, {UINT32_MAX, 1000, 500});
  const std::vector<uint32_t> callers(kMaxReportedCallers, UINT32_MAX);
  report.livenessReports.assign(kMaxLivenessReports,
                                {UINT32_MAX, kNeverAnswered, 1000, callers, 60000});
  const std::string path = pathOf({UINT64_MAX, valueOf(encodeHostReport(report))});
  CHECK_TRUE(path.size() + 200 < kPollHttpHeadBytes);
  CHECK_EQUAL(std::string::npos, path.find_first_of(" ?#%\r\n+="));
}

TEST(PeerRequest, IsNotParsedFromOtherPaths) {
  for (const char* path : {"/peers/changes/", "/peers/changes/x", "/peers/changes/5x/AAAA",
                           "/peers/configuration", "/peers/changes/99999999999999999999"}) {
    CHECK_FALSE(parsePeerRequest(path).has_value());
  }
}

TEST(PeerRequest, PassesOnAReportThatIsNotBase64) {
  const auto parsed = parsePeerRequest("/peers/changes/5/!*!");
  CHECK_TRUE(parsed.has_value());
  LONGS_EQUAL(5, parsed->since);
  CHECK_FALSE(isOk(decodeHostReport(parsed->report)));
}

}  // namespace umberhold::platform
