#include "common/platform/http_call.h"

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>

#include "test/support/without_leak_detection.h"

namespace umberhold {

TEST_GROUP_BASE(HttpCall, test::WithoutLeakDetection){};

TEST(HttpCall, UnansweredRequestIsALostAnswer) {
  // The kernel accepts the connection, as it does for a stopped process.
  const Poco::Net::ServerSocket unresponsive(Poco::Net::SocketAddress("127.0.0.1", 0));
  CallLimits limits;
  limits.answer = std::chrono::milliseconds(200);
  const Endpoint server{0x7F000001, unresponsive.address().port()};
  const auto answer = callHttp(server, {"GET", "/", "", {}, {}}, limits);
  CHECK_FALSE(isOk(answer));
  CHECK_TRUE(errorOf(answer).code == StoreErrorCode::kAnswerLost);
}

}  // namespace umberhold
