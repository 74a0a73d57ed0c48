/**
 * @file Tests the program umberholdctl against the admin API over HTTP, backed by the stand-in
 * store. The node status is a fake; all other parts are production code.
 */
#include <Poco/Pipe.h>
#include <Poco/PipeStream.h>
#include <Poco/Process.h>
#include <Poco/StreamCopier.h>

#include <cstdlib>
#include <fstream>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "common/admin/admin_api.h"
#include "common/ctl/exit_status.h"
#include "common/platform/http_platform_store.h"
#include "common/policy/lua_policy_engine.h"
#include "common/server/http_server.h"
#include "standins/platform/fault_switches.h"
#include "standins/platform/platform_server.h"
#include "test/support/fake_node_status.h"

// clang-format off
#include "test/support/without_leak_detection.h"
// clang-format on

namespace umberhold {
namespace {

constexpr uint32_t kLoopback = 0x7F000001;

std::string binaryFolder() {
  const char* folder = std::getenv("UMBERHOLD_BIN");
  return folder != nullptr ? folder : "source";
}

/** Result of a finished run of the program. */
struct ProgramResult {
  ExitStatus status = ExitStatus::kOk;
  /** Standard output and standard error. */
  std::string output;
};

}  // namespace

TEST_GROUP_BASE(UmberholdCtl, test::WithoutLeakDetection) {
  standins::PlatformServer platform{standins::PlatformServerOptions{}};
  HttpPlatformStore store{platform.api(), callLimits()};
  SystemCallClock clock;
  ChangeCoordinator changes{store, clock, 1, changeLimits()};
  FakeNodeStatus node;
  LuaPolicyEngine policies;
  AdminApi api{"secret", store, changes, node, policies, clock};
  std::unique_ptr<HttpServer> server;
  std::string exampleFile = binaryFolder() + "/../../examples/services/dispatch.toml";

  static CallLimits callLimits() {
    CallLimits limits;
    limits.answer = std::chrono::seconds(1);
    return limits;
  }
  static ChangeLimits changeLimits() {
    ChangeLimits limits;
    limits.deadline = std::chrono::seconds(1);
    return limits;
  }

  void setup() override {
    std::ofstream("umberholdctl_test.token") << "secret\n";
    HttpServerHooks hooks;
    hooks.admin = &api;
    auto started = HttpServer::start({kLoopback, 0}, hooks);
    CHECK_TRUE(isOk(started));
    server = std::move(valueOf(started));
  }

  ProgramResult run(std::vector<std::string> arguments,
                    const std::string& tokenFile = "umberholdctl_test.token") {
    const std::vector<std::string> commonArguments = {"--server",     toString(server->local()),
                                                      "--timeout",    "3",
                                                      "--author",     "tester",
                                                      "--token-file", tokenFile};
    arguments.insert(arguments.end(), commonArguments.begin(), commonArguments.end());
    Poco::Pipe outputPipe;
    const Poco::ProcessHandle handle = Poco::Process::launch(
        binaryFolder() + "/umberholdctl", arguments, nullptr, &outputPipe, &outputPipe);
    Poco::PipeInputStream stream(outputPipe);
    ProgramResult result;
    Poco::StreamCopier::copyToString(stream, result.output);
    result.status = static_cast<ExitStatus>(handle.wait());
    return result;
  }
  /** Writes the document to umberholdctl_test.json with its idle timeout replaced. */
  void writeWithIdleTimeout(std::string document, const std::string& seconds) {
    const std::string oldEntry = "\"idle_timeout_seconds\": 86400";
    const size_t position = document.find(oldEntry);
    CHECK_TRUE(position != std::string::npos);
    document.replace(position, oldEntry.size(), "\"idle_timeout_seconds\": " + seconds);
    std::ofstream("umberholdctl_test.json") << document;
  }
  void expect(ExitStatus status, const std::string& outputPart, const ProgramResult& result) {
    CHECK_EQUAL(static_cast<int>(status), static_cast<int>(result.status));
    STRCMP_CONTAINS(outputPart.c_str(), result.output.c_str());
  }
};

TEST(UmberholdCtl, AppliesExampleAndShowsItWithHistory) {
  expect(ExitStatus::kOk, "service/dispatch: new", run({"apply", "-f", exampleFile, "--dry-run"}));
  const ProgramResult applied = run({"apply", "-f", exampleFile});
  expect(ExitStatus::kOk, "policy/spread-by-load: accepted", applied);
  expect(ExitStatus::kOk, "service/dispatch: accepted", applied);
  expect(ExitStatus::kOk, "service/dispatch: unchanged", run({"apply", "-f", exampleFile}));
  expect(ExitStatus::kOk, "10.1.2.10:6080", run({"describe", "service", "dispatch"}));
  expect(ExitStatus::kOk, "tester", run({"history", "service", "dispatch"}));
}

TEST(UmberholdCtl, GetOutputCanBeEditedAndAppliedOnlyOnce) {
  run({"apply", "-f", exampleFile});
  const std::string printed = run({"get", "service", "dispatch"}).output;
  writeWithIdleTimeout(printed, "3600");
  expect(ExitStatus::kOk, "idle_timeout_seconds: 86400 -> 3600",
         run({"apply", "--diff", "-f", "umberholdctl_test.json"}));
  writeWithIdleTimeout(printed, "60");
  expect(ExitStatus::kConflict, "last changed by tester",
         run({"apply", "-f", "umberholdctl_test.json"}));
}

TEST(UmberholdCtl, ExitStatusDistinguishesFailures) {
  expect(ExitStatus::kUsage, "unknown command", run({"frobnicate"}));
  expect(ExitStatus::kUsage, "token", run({"status"}, "no-such-file"));
  expect(ExitStatus::kNotFound, "not_found", run({"get", "service", "nobody"}));
  std::ofstream("umberholdctl_test.toml") << "[[policy]]\nname = \"broken\"\nsource = \"weigh(\"\n";
  expect(ExitStatus::kInvalid, "policy_invalid", run({"apply", "-f", "umberholdctl_test.toml"}));
  std::ofstream("umberholdctl_test.other") << "guess\n";
  expect(ExitStatus::kNotAuthorized, "unauthorized", run({"status"}, "umberholdctl_test.other"));
}

TEST(UmberholdCtl, ApplySucceedsAfterLostStoreResponses) {
  standins::FaultSettings faults;
  faults.loseAnswersNext = 2;
  platform.setFaults(faults);
  expect(ExitStatus::kOk, "service/dispatch: accepted", run({"apply", "-f", exampleFile}));
}

TEST(UmberholdCtl, ApplyToUnavailableStoreChangesNothing) {
  standins::FaultSettings faults;
  faults.outage = standins::Outage::kRefused;
  platform.setFaults(faults);
  expect(ExitStatus::kUnavailable, "unavailable", run({"apply", "-f", exampleFile}));
  platform.setFaults({});
  expect(ExitStatus::kOk, "accepted", run({"apply", "-f", exampleFile}));
}

TEST(UmberholdCtl, RejectsDeleteWhileHostDrainsUnlessForced) {
  run({"apply", "-f", exampleFile});
  expect(ExitStatus::kOk, "accepted",
         run({"drain", "dispatch", "dispatch-1", "--deadline", "3600"}));
  expect(ExitStatus::kOk, "draining", run({"describe", "service", "dispatch"}));
  expect(ExitStatus::kInvalid, "host_not_drained", run({"delete", "service", "dispatch"}));
  expect(ExitStatus::kOk, "accepted", run({"delete", "service", "dispatch", "--force"}));
  expect(ExitStatus::kNotFound, "not_found", run({"describe", "service", "dispatch"}));
}

}  // namespace umberhold
