/** @file Tests of PollHttpPort: its responses, and slow clients. */
#include "common/server/poll_http_port.h"

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <string>
#include <thread>

#include "common/platform/steady_now.h"
#include "test/support/without_leak_detection.h"

namespace umberhold {
namespace {

constexpr Endpoint kAnyPort{0x7F000001, 0};
constexpr size_t kLargeBody = 4 << 20;

std::optional<TextAnswer> answerOf(const std::string& path) {
  if (path == "/large") {
    return TextAnswer{true, "text/plain", std::string(kLargeBody, 'x')};
  }
  return path == "/small" ? std::optional(TextAnswer{true, "text/plain", "small\n"}) : std::nullopt;
}

int connectTo(const Endpoint& server) {
  const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(server.address);
  address.sin_port = htons(server.port);
  LONGS_EQUAL(0,
              ::connect(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address));
  return descriptor;
}

/** @return all bytes received until the server closes the connection. */
std::string readAll(int descriptor) {
  std::string text;
  std::array<char, 65536> part{};
  ssize_t count = 0;
  while ((count = ::recv(descriptor, part.data(), part.size(), 0)) > 0) {
    text.append(part.data(), static_cast<size_t>(count));
  }
  return text;
}

}  // namespace

TEST_GROUP_BASE(PollHttpPort, test::WithoutLeakDetection) {
  PollLoop loop;
  std::unique_ptr<PollHttpPort> port;
  std::atomic<bool> ended{false};
  std::thread thread;

  void setup() override {
    port = std::move(valueOf(PollHttpPort::open(kAnyPort, loop, answerOf)));
    tick();
    thread = std::thread([this] { loop.run(); });
  }
  void teardown() override {
    ended = true;
    thread.join();
    port.reset();
  }
  void tick() {
    loop.at(steadyNow() + std::chrono::milliseconds(5), [this] {
      if (ended) {
        loop.stop();
      } else {
        tick();
      }
    });
  }
  std::string sendRequest(const std::string& request) const {
    const int descriptor = connectTo(port->local());
    LONGS_EQUAL(request.size(), ::send(descriptor, request.data(), request.size(), 0));
    const std::string answer = readAll(descriptor);
    ::close(descriptor);
    return answer;
  }
};

TEST(PollHttpPort, AnswersKnownPathsIgnoringTheQuery) {
  const std::string answer = sendRequest("GET /small?x=1 HTTP/1.1\r\nConnection: close\r\n\r\n");
  STRCMP_EQUAL(
      "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 6\r\nConnection: "
      "close\r\n\r\nsmall\n",
      answer.c_str());
}

TEST(PollHttpPort, RejectsOtherPathsAndMethods) {
  for (const char* line :
       {"GET /none HTTP/1.1", "POST /small HTTP/1.1", "GET", "", "GET /small2 x"}) {
    const std::string answer = sendRequest(std::string(line) + "\r\nConnection: close\r\n\r\n");
    STRCMP_CONTAINS("404 Not Found", answer.c_str());
  }
}

TEST(PollHttpPort, SendsALargeResponseCompletelyToASlowClient) {
  const int descriptor = connectTo(port->local());
  const std::string request = "GET /large HTTP/1.1\r\nConnection: close\r\n\r\n";
  ::send(descriptor, request.data(), request.size(), 0);
  std::this_thread::sleep_for(std::chrono::milliseconds(100));
  // Another client isn't delayed meanwhile.
  STRCMP_CONTAINS("small", sendRequest("GET /small HTTP/1.1\r\nConnection: close\r\n\r\n").c_str());
  const std::string answer = readAll(descriptor);
  ::close(descriptor);
  CHECK_TRUE(answer.size() > kLargeBody);
}

TEST(PollHttpPort, ReportsNotReadyUntilReady) {
  bool ready = false;
  const TextResponder responder = readinessResponder("/readyz", [&ready] { return ready; });
  STRCMP_CONTAINS("503", renderAnswer("GET /readyz HTTP/1.1\r\n", responder).bytes.c_str());
  ready = true;
  STRCMP_CONTAINS("200 OK", renderAnswer("GET /readyz HTTP/1.1\r\n", responder).bytes.c_str());
  CHECK_TRUE(renderAnswer("GET /readyz HTTP/1.1\r\n", responder).keep);
}

}  // namespace umberhold
