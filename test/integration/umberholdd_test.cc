/** @file Tests the program umberholdd: exit statuses for flags and settings, and one node from
 * start to shutdown. */
#include <Poco/Net/DatagramSocket.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Pipe.h>
#include <Poco/PipeStream.h>
#include <Poco/Process.h>
#include <Poco/StreamCopier.h>
#include <Poco/TemporaryFile.h>

#include <chrono>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <functional>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "common/wire/envelope.h"

#include "test/support/without_leak_detection.h"

namespace {

constexpr int kExitUsage = 1;
constexpr int kExitSettings = 2;
constexpr int kExitPorts = 3;

std::string program() {
  const char* folder = std::getenv("UMBERHOLD_BIN");
  return std::string(folder == nullptr ? "source" : folder) + "/umberholdd";
}

/** Result of a finished process. */
struct ProcessResult {
  /** Exit status. */
  int status = 0;
  /** Standard error. */
  std::string errors;
};

ProcessResult runToEnd(const std::vector<std::string>& arguments) {
  Poco::Pipe outputPipe;
  Poco::Pipe errorPipe;
  Poco::ProcessHandle process =
      Poco::Process::launch(program(), arguments, nullptr, &outputPipe, &errorPipe);
  ProcessResult result;
  Poco::PipeInputStream errorStream(errorPipe);
  Poco::StreamCopier::copyToString(errorStream, result.errors);
  result.status = process.wait();
  return result;
}

/** @return ports that were free during the call; another process may take them afterwards. */
std::vector<int> freePorts(size_t count) {
  std::vector<Poco::Net::ServerSocket> sockets;
  std::vector<int> ports;
  for (size_t index = 0; index < count; ++index) {
    sockets.emplace_back(Poco::Net::SocketAddress("127.0.0.1", 0));
    ports.push_back(sockets.back().address().port());
  }
  return ports;
}

/** Response to a GET; status 0 if there was none. */
struct HttpResult {
  int status = 0;
  std::string body;
};

HttpResult get(int port, const std::string& path) {
  try {
    Poco::Net::HTTPClientSession session("127.0.0.1", static_cast<Poco::UInt16>(port));
    Poco::Net::HTTPRequest request("GET", path, "HTTP/1.1");
    session.sendRequest(request);
    Poco::Net::HTTPResponse response;
    HttpResult result;
    Poco::StreamCopier::copyToString(session.receiveResponse(response), result.body);
    result.status = response.getStatus();
    return result;
  } catch (const Poco::Exception&) {
    return {};
  }
}

int statusOf(int port, const std::string& path) {
  return get(port, path).status;
}

/** Waits up to 30 s, far longer than the tested conditions take. @return whether the condition
 * became true. */
bool waitUntil(const std::function<bool()>& condition) {
  for (int attempt = 0; attempt < 600; ++attempt) {
    if (condition()) {
      return true;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
  }
  return false;
}

bool waitForStatus(int port, const std::string& path, int status) {
  return waitUntil([&] { return statusOf(port, path) == status; });
}

/** Waits until /metrics contains the line. @return whether it did in time. */
bool waitForMetric(int port, const std::string& line) {
  return waitUntil(
      [&] { return get(port, "/metrics").body.find("\n" + line + "\n") != std::string::npos; });
}

constexpr uint32_t kOldKey = 1;
constexpr uint32_t kNewKey = 2;

/** @return the secret of a key, in hexadecimal digits. */
std::string hexSecretOf(uint32_t key) {
  return std::string(31, '0') + std::to_string(key);
}

/**
 * Seals a body that no decoder accepts. The node refuses it in the envelope if it does not accept
 * the key, otherwise in the codec; its metrics show which.
 */
std::string sealInvalidBody(uint32_t key) {
  std::string secret(15, '\0');
  secret.push_back(static_cast<char>(key));
  auto keyRing = umberhold::KeyRing::create({{key, secret}}, key);
  CHECK_TRUE(umberhold::isOk(keyRing));
  umberhold::EnvelopeSealer sealer(umberhold::valueOf(keyRing), umberhold::NodeId{key}, key);
  return sealer.seal("nothing");
}

void sendTo(int port, const std::string& datagram) {
  Poco::Net::DatagramSocket socket;
  const Poco::Net::SocketAddress node("127.0.0.1", static_cast<Poco::UInt16>(port));
  socket.sendTo(datagram.data(), static_cast<int>(datagram.size()), node);
}

}  // namespace

/** Leak detection is off because POCO's pipes and threads allocate outside the test's thread. */
TEST_GROUP_BASE(Umberholdd, umberhold::test::WithoutLeakDetection) {
  Poco::TemporaryFile file;
  std::vector<int> ports = freePorts(4);
  /** Killed in teardown() if a failed check left it running. */
  std::optional<Poco::ProcessHandle> running;

  void teardown() override {
    if (running && Poco::Process::isRunning(*running)) {
      Poco::Process::kill(*running);
    }
  }

  /** Writes the settings with these keys for messages between nodes. */
  void writeKeys(const std::vector<uint32_t>& accepted, uint32_t signing) {
    writeSettings("signing_key = " + std::to_string(signing) + "\n", accepted);
  }
  std::string refusedMetric(const std::string& reason, const std::string& layer, int count) {
    return "umberhold_control_refused_total{reason=\"" + reason + "\",layer=\"" + layer + "\"} " +
           std::to_string(count);
  }

  void writeSettings(const std::string& extraLines = "",
                     const std::vector<uint32_t>& keys = {kOldKey}) {
    std::ofstream stream(file.path());
    stream << "node_id = 7\nregion = \"hobart\"\nzone = \"north\"\n"
           << "address = \"127.0.0.1\"\n"
           << "data_port = " << ports[0] << "\nrelay_port = " << ports[1]
           << "\ncontrol_port = " << ports[2] << "\nadmin_port = " << ports[3]
           << "\nlinger_seconds = 0\n"
           << extraLines;
    for (const uint32_t key : keys) {
      stream << "[[keys]]\nid = " << key << "\nsecret = \"" << hexSecretOf(key) << "\"\n";
    }
  }
};

TEST(Umberholdd, ValidSettingsPassTheCheck) {
  writeSettings();
  CHECK_EQUAL(0, runToEnd({"--settings", file.path(), "--check-settings"}).status);
}

TEST(Umberholdd, InvalidSettingsExitWithStatusAndLine) {
  writeSettings("flow_capacity = \"many\"\n");
  for (const std::vector<std::string>& arguments :
       {std::vector<std::string>{"--settings", file.path(), "--check-settings"},
        std::vector<std::string>{"--settings", file.path()}}) {
    const ProcessResult result = runToEnd(arguments);
    CHECK_EQUAL(kExitSettings, result.status);
    CHECK(result.errors.find("wrong_type key=flow_capacity line=10") != std::string::npos);
  }
  CHECK_EQUAL(kExitSettings, runToEnd({"--settings", "/nonexistent"}).status);
}

TEST(Umberholdd, FlagsOverrideSettingsAndAreValidated) {
  writeSettings();
  const std::vector<std::string> checkArguments = {"--settings", file.path(), "--check-settings"};
  const auto statusWith = [&checkArguments](std::vector<std::string> arguments) {
    arguments.insert(arguments.begin(), checkArguments.begin(), checkArguments.end());
    return runToEnd(arguments).status;
  };
  CHECK_EQUAL(0, statusWith({"--zone", "south", "--node-id", "8", "--set", "owner_relay=false"}));
  CHECK_EQUAL(kExitSettings, statusWith({"--node-id", "zero"}));
  CHECK_EQUAL(kExitSettings, statusWith({"--set", "no_such_option=1"}));
  CHECK_EQUAL(kExitUsage, statusWith({"--set", "nothing"}));
  CHECK_EQUAL(kExitUsage, statusWith({"--no-such-flag"}));
  CHECK_EQUAL(0, runToEnd({"--version"}).status);
  CHECK_EQUAL(0, runToEnd({"--help"}).status);
}

TEST(Umberholdd, ServesAdminApiUntilTerminated) {
  writeSettings();
  Poco::ProcessHandle node = Poco::Process::launch(program(), {"--settings", file.path()});
  CHECK(waitForStatus(ports[3], "/healthz", 200));
  CHECK_EQUAL(200, statusOf(ports[3], "/metrics"));
  CHECK_EQUAL(401, statusOf(ports[3], "/v1/status"));
  const ProcessResult second = runToEnd({"--settings", file.path()});
  CHECK_EQUAL(kExitPorts, second.status);
  Poco::Process::requestTermination(node.id());
  CHECK_EQUAL(0, node.wait());
}

TEST(Umberholdd, AppliesRotatedKeysOnSighupAndRefusesOldKey) {
  writeKeys({kOldKey}, kOldKey);
  running = Poco::Process::launch(program(), {"--settings", file.path()});
  Poco::ProcessHandle& node = *running;
  CHECK(waitForMetric(ports[3], "umberhold_signing_key 1"));
  sendTo(ports[2], sealInvalidBody(kNewKey));
  CHECK(waitForMetric(ports[3], refusedMetric("unknown_key", "envelope", 1)));

  writeKeys({kOldKey, kNewKey}, kOldKey);
  ::kill(node.id(), SIGHUP);
  CHECK(waitForMetric(ports[3], "umberhold_accepted_key{id=\"2\"} 1"));
  sendTo(ports[2], sealInvalidBody(kNewKey));
  CHECK(waitForMetric(ports[3], refusedMetric("trailing_bytes", "codec", 1)));

  // Refused: it switches signing to the new key and removes the old key in one step.
  writeKeys({kNewKey}, kNewKey);
  ::kill(node.id(), SIGHUP);
  CHECK(waitForMetric(ports[3], "umberhold_settings_reloads_total{result=\"refused\"} 1"));
  CHECK(waitForMetric(ports[3], "umberhold_signing_key 1"));

  writeKeys({kOldKey, kNewKey}, kNewKey);
  ::kill(node.id(), SIGHUP);
  CHECK(waitForMetric(ports[3], "umberhold_signing_key 2"));
  writeKeys({kNewKey}, kNewKey);
  ::kill(node.id(), SIGHUP);
  CHECK(waitForMetric(ports[3], "umberhold_settings_reloads_total{result=\"taken\"} 3"));

  sendTo(ports[2], sealInvalidBody(kOldKey));
  CHECK(waitForMetric(ports[3], refusedMetric("unknown_key", "envelope", 2)));
  std::string tampered = sealInvalidBody(kNewKey);
  tampered.back() = static_cast<char>(tampered.back() ^ 1);
  sendTo(ports[2], tampered);
  CHECK(waitForMetric(ports[3], refusedMetric("bad_tag", "envelope", 1)));
  Poco::Process::requestTermination(node.id());
  CHECK_EQUAL(0, node.wait());
}
