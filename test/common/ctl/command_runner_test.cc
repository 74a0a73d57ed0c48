/** @file Runs commands against an in-process admin API, over a transport that injects faults. */
#include "common/ctl/command_runner.h"

#include <Poco/TemporaryFile.h>

#include <cstdio>
#include <deque>
#include <fstream>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

#include "common/admin/admin_api.h"
#include "common/platform/object_json.h"
#include "test/support/fake_node_status.h"
#include "test/support/fake_platform_store.h"
#include "test/support/fake_policy_engine.h"
#include "test/support/manual_clock.h"
#include "test/support/service_builder.h"

// clang-format off
#include "test/support/without_leak_detection.h"
// clang-format on

namespace umberhold {
namespace {

enum class TransportFault : uint8_t { kNone, kNotSent, kRequestLost, kAnswerLost };

class InProcessTransport : public AdminTransport {
 public:
  explicit InProcessTransport(AdminHandler& handler) : handler_(handler) {}

  /** Faults of the next changes; dry runs and reads never fail. */
  std::deque<TransportFault> changeFaults;
  std::vector<AdminRequest> changesSent;

  Result<AdminResponse, TransportError> send(const Endpoint& /*server*/,
                                             const AdminRequest& request) override {
    if (request.method == "GET" || request.findQuery("dry_run")) {
      return handler_.handle(request);
    }
    changesSent.push_back(request);
    switch (takeFault()) {
      case TransportFault::kNone:
        return handler_.handle(request);
      case TransportFault::kNotSent:
        return TransportError{TransportErrorCode::kNotSent, "refused"};
      case TransportFault::kRequestLost:
        break;
      case TransportFault::kAnswerLost:
        handler_.handle(request);
        break;
    }
    return TransportError{TransportErrorCode::kAnswerLost, "timeout"};
  }

 private:
  TransportFault takeFault() {
    if (changeFaults.empty()) {
      return TransportFault::kNone;
    }
    const TransportFault fault = changeFaults.front();
    changeFaults.pop_front();
    return fault;
  }

  AdminHandler& handler_;
};

}  // namespace

// The library's generator of request ids and JSON parser keep allocated state.
TEST_GROUP_BASE(CommandRunner, test::WithoutLeakDetection) {
  FakePlatformStore store;
  ManualClock clock;
  FakeNodeStatus node;
  FakePolicyEngine policies;
  ChangeCoordinator changes{store, clock, 1};
  AdminApi api{"secret", store, changes, node, policies, clock};
  InProcessTransport transport{api};
  RandomSource random{1};
  AdminClient client{{{1, 1}, {2, 2}}, "secret", transport, clock, random};
  std::ostringstream out;
  std::ostringstream errors;
  int requests = 0;
  CommandContext context{client, clock, out, errors, OutputFormat::kTable, "tester", [this] {
                           return "request-" + std::to_string(++requests);
                         }};
  const std::string file = Poco::TemporaryFile::tempName() + ".json";

  void teardown() override {
    std::remove(file.c_str());
  }

  void write(const Service& service, std::optional<uint64_t> version = std::nullopt) {
    std::string text = formatService(service);
    text.insert(1, "\"kind\":\"service\",\"name\":\"" + service.name + "\",");
    if (version) {
      text.insert(1, "\"version\":" + std::to_string(*version) + ",");
    }
    std::ofstream(file) << text;
  }
  /** @return the service's version in the store. */
  uint64_t storedVersion() {
    const auto object = store.get(Collection::kServices, "dispatch");
    CHECK_TRUE(isOk(object));
    return valueOf(object).version;
  }
  ApplyCommand applyFile() {
    ApplyCommand command;
    command.files = {file};
    return command;
  }
  void expect(ExitStatus expected, const Command& command) {
    CHECK_EQUAL(static_cast<int>(expected), static_cast<int>(runCommand(context, command)));
  }
};

TEST(CommandRunner, AppliesOnceThenReportsUnchanged) {
  write(makeService("dispatch", 1, 2));
  expect(ExitStatus::kOk, applyFile());
  expect(ExitStatus::kOk, applyFile());
  const std::string version = std::to_string(storedVersion());
  STRCMP_CONTAINS(("accepted, version " + version).c_str(), out.str().c_str());
  STRCMP_CONTAINS(("unchanged at version " + version).c_str(), out.str().c_str());
  CHECK_EQUAL(1, store.events().size());
}

TEST(CommandRunner, DoesNotOverwriteUnreadChanges) {
  Service service = makeService("dispatch", 1, 2);
  write(service);
  expect(ExitStatus::kOk, applyFile());
  service.hosts[0].weight = 5;
  write(service);
  expect(ExitStatus::kConflict, applyFile());
  STRCMP_CONTAINS("last changed by tester", errors.str().c_str());
  const uint64_t base = storedVersion();
  write(service, base);
  expect(ExitStatus::kOk, applyFile());
  service.hosts[0].weight = 6;
  write(service, base);
  expect(ExitStatus::kConflict, applyFile());
  ApplyCommand overwrite = applyFile();
  overwrite.overwrite = true;
  expect(ExitStatus::kOk, overwrite);
  CHECK_EQUAL(3, store.events().size());
}

TEST(CommandRunner, InvalidServiceChangesNothing) {
  Service service = makeService("dispatch", 1, 2);
  service.hosts[1].name = service.hosts[0].name;
  write(service);
  expect(ExitStatus::kInvalid, applyFile());
  STRCMP_CONTAINS("duplicate_host_name", errors.str().c_str());
  CHECK_EQUAL(0, transport.changesSent.size());
}

TEST(CommandRunner, DryRunOnlyPrintsChanges) {
  Service service = makeService("dispatch", 1, 2);
  write(service);
  expect(ExitStatus::kOk, applyFile());
  service.hosts[0].weight = 5;
  write(service);
  ApplyCommand dryRunCommand = applyFile();
  dryRunCommand.dryRun = true;
  expect(ExitStatus::kOk, dryRunCommand);
  STRCMP_CONTAINS("hosts[dispatch-0].weight: 100 -> 5", out.str().c_str());
  CHECK_EQUAL(1, store.events().size());
}

TEST(CommandRunner, RetryAfterLostAnswerHasSameIdAndIsMarkedRepeated) {
  write(makeService("dispatch", 1, 2));
  transport.changeFaults = {TransportFault::kAnswerLost};
  expect(ExitStatus::kOk, applyFile());
  CHECK_EQUAL(2, transport.changesSent.size());
  STRCMP_EQUAL(transport.changesSent[0].requestId.c_str(),
               transport.changesSent[1].requestId.c_str());
  CHECK_TRUE(transport.changesSent[1].findQuery("repeated").has_value());
  CHECK_EQUAL(1, store.events().size());
}

TEST(CommandRunner, RequestThatWasNotSentIsNotMarkedRepeated) {
  write(makeService("dispatch", 1, 2));
  transport.changeFaults = {TransportFault::kNotSent};
  expect(ExitStatus::kOk, applyFile());
  CHECK_FALSE(transport.changesSent[1].findQuery("repeated").has_value());
}

TEST(CommandRunner, ReportsUnavailableIfNoServerIsReached) {
  write(makeService("dispatch", 1, 2));
  transport.changeFaults.assign(200, TransportFault::kNotSent);
  expect(ExitStatus::kUnavailable, applyFile());
  CHECK_EQUAL(0, store.events().size());
}

TEST(CommandRunner, LostAnswerIsUnknownAndCanBeQueriedLater) {
  write(makeService("dispatch", 1, 2));
  transport.changeFaults = {TransportFault::kAnswerLost};
  transport.changeFaults.resize(200, TransportFault::kNotSent);
  expect(ExitStatus::kUnknownOutcome, applyFile());
  STRCMP_CONTAINS("umberholdctl request request-2", errors.str().c_str());
  expect(ExitStatus::kOk, RequestCommand{"request-2", kServiceKind, "dispatch"});
  STRCMP_CONTAINS("accepted", out.str().c_str());
  expect(ExitStatus::kNotFound, RequestCommand{"never", std::nullopt, ""});
}

TEST(CommandRunner, WaitsUntilEffectiveOrTimeout) {
  write(makeService("dispatch", 1, 2));
  node.coverageNow.nodes = 6;
  node.coverageNow.nodesAtVersion = 6;
  ApplyCommand waiting = applyFile();
  waiting.wait = true;
  waiting.waitSeconds = 5;
  expect(ExitStatus::kOk, waiting);
  STRCMP_CONTAINS("applied on 6 of 6", out.str().c_str());

  node.coverageNow.nodesAtVersion = 4;
  expect(ExitStatus::kWaitTimedOut, waiting);
  STRCMP_CONTAINS("applied on 4 of 6", errors.str().c_str());
}

TEST(CommandRunner, DrainsHostAndShowsState) {
  write(makeService("dispatch", 1, 2));
  expect(ExitStatus::kOk, applyFile());
  DrainCommand drain{"dispatch", "dispatch-1", true, 60, std::nullopt, false, 0};
  expect(ExitStatus::kOk, drain);
  expect(ExitStatus::kOk, DescribeCommand{"dispatch"});
  STRCMP_CONTAINS("draining", out.str().c_str());
  drain.host = "none";
  expect(ExitStatus::kNotFound, drain);
  expect(ExitStatus::kOk, HistoryCommand{std::nullopt, "", 10});
  STRCMP_CONTAINS("drain dispatch-1 within 60 s", out.str().c_str());
}

TEST(CommandRunner, WrongTokenIsNotAuthorized) {
  AdminClient unauthorizedClient({{1, 1}}, "guess", transport, clock, random);
  const CommandContext unauthorizedContext{unauthorizedClient,   clock, out, errors,
                                           OutputFormat::kTable, "",    {}};
  CHECK_EQUAL(static_cast<int>(ExitStatus::kNotAuthorized),
              static_cast<int>(runCommand(unauthorizedContext, StatusCommand{})));
}

}  // namespace umberhold
