/** @file Explanations of flows with a remote owner, with the admin API of three nodes. */
#include "common/ctl/owner_explanation.h"

#include <map>
#include <sstream>
#include <string>
#include <vector>

#include "common/admin/admin_api.h"
#include "common/ctl/command_runner.h"
#include "test/support/fake_node_status.h"
#include "test/support/fake_platform_store.h"
#include "test/support/fake_policy_engine.h"
#include "test/support/manual_clock.h"

// clang-format off
#include "test/support/without_leak_detection.h"
// clang-format on

namespace umberhold {
namespace {

/** A node with its own admin API. */
struct Node {
  Node(FakePlatformStore& store, ManualClock& clock, uint32_t number)
      : changes(store, clock, number), api("secret", store, changes, status, policies, clock) {
    status.id = NodeId{number};
  }

  void setRemoteOwner(std::optional<NodeId> owner) {
    status.knowledge = FlowKnowledge::kOwnedElsewhere;
    status.owner = owner;
  }

  FakeNodeStatus status;
  FakePolicyEngine policies;
  ChangeCoordinator changes;
  AdminApi api;
};

/** Routes requests for address N to node N and records them. */
class NodesTransport : public AdminTransport {
 public:
  explicit NodesTransport(ManualClock& clock) : clock_(clock) {}

  std::map<uint32_t, AdminHandler*> nodes;
  std::vector<uint32_t> explainedAt;
  std::vector<uint32_t> statusAt;
  /** Fails every explanation after the first one. */
  bool failSecondExplanation = false;
  /** Node that responds to every explain request with 503; 0 for none. */
  uint32_t busyNode = 0;
  /** Duration of each attempt. */
  Duration delay{};

  Result<AdminResponse, TransportError> send(const Endpoint& server,
                                             const AdminRequest& request) override {
    const bool explains = request.path == "/v1/explain";
    (explains ? explainedAt : statusAt).push_back(server.address);
    clock_.sleepFor(delay);
    const auto node = nodes.find(server.address);
    if (node == nodes.end() || (failSecondExplanation && explainedAt.size() > 1)) {
      return TransportError{TransportErrorCode::kNotSent, "refused"};
    }
    if (explains && server.address == busyNode) {
      return AdminResponse{503, "application/json", "busy", std::nullopt};
    }
    return node->second->handle(request);
  }

 private:
  ManualClock& clock_;
};

}  // namespace

// The library's JSON parser keeps allocated state.
TEST_GROUP_BASE(OwnerExplanation, test::WithoutLeakDetection) {
  FakePlatformStore store;
  ManualClock clock;
  Node first{store, clock, 1};
  Node second{store, clock, 2};
  Node third{store, clock, 3};
  NodesTransport transport{clock};
  RandomSource random{1};
  std::ostringstream out;
  std::ostringstream errors;

  void setup() override {
    transport.nodes = {{1, &first.api}, {2, &second.api}, {3, &third.api}};
  }

  void explainWith(const std::vector<Endpoint>& servers) {
    AdminClient client(servers, "secret", transport, clock, random);
    const CommandContext context{client, clock, out, errors, OutputFormat::kTable, "", {}};
    const ExitStatus status = runCommand(context, ExplainCommand{"dispatch", "10.0.0.1:4000"});
    CHECK_EQUAL(static_cast<int>(ExitStatus::kOk), static_cast<int>(status));
  }
  void checkExplainedAt(const std::vector<uint32_t>& expected) {
    CHECK_TRUE(expected == transport.explainedAt);
  }
  /** Checks that the first node's response is printed, and the reason for it among the errors. */
  void checkFirstAnswerWith(const char* reason) {
    STRCMP_CONTAINS("owned_elsewhere", out.str().c_str());
    STRCMP_CONTAINS(reason, errors.str().c_str());
  }
};

TEST(OwnerExplanation, QueriesOwnerOnceAndPrintsItsResponse) {
  first.setRemoteOwner(NodeId{3});
  third.status.knowledge = FlowKnowledge::kEstablished;
  explainWith({{1, 1}, {2, 1}, {3, 1}});
  STRCMP_CONTAINS("established", out.str().c_str());
  CHECK_TRUE(out.str().find("owned_elsewhere") == std::string::npos);
  STRCMP_EQUAL("", errors.str().c_str());
  checkExplainedAt({1, 3});
}

TEST(OwnerExplanation, LocalFlowCausesNoFurtherQuery) {
  first.status.owner = NodeId{1};
  explainWith({{1, 1}, {3, 1}});
  STRCMP_CONTAINS("would_place", out.str().c_str());
  checkExplainedAt({1});
  CHECK_TRUE(transport.statusAt.empty());
}

TEST(OwnerExplanation, OwnerThatRefersToAnotherNodeIsNotFollowed) {
  first.setRemoteOwner(NodeId{3});
  third.setRemoteOwner(NodeId{1});
  explainWith({{1, 1}, {2, 1}, {3, 1}});
  checkFirstAnswerWith("node 3, gave no explanation: it names another owner (owner_moved)");
  checkExplainedAt({1, 3});
}

TEST(OwnerExplanation, ReportsUnlistedOwnerWithoutQueryingIt) {
  first.setRemoteOwner(NodeId{3});
  explainWith({{1, 1}, {2, 1}, {9, 1}});
  checkFirstAnswerWith("none of 3 servers is this node, 1 gave no answer");
  checkFirstAnswerWith("node 3, gave no explanation");
  checkFirstAnswerWith("(owner_not_listed)");
  checkExplainedAt({1});
  CHECK_EQUAL(3, transport.statusAt.size());
}

TEST(OwnerExplanation, ReportsReasonForMissingOwnerExplanation) {
  first.setRemoteOwner(std::nullopt);
  explainWith({{1, 1}, {3, 1}});
  checkFirstAnswerWith("(owner_unknown)");
  checkExplainedAt({1});

  first.setRemoteOwner(NodeId{3});
  transport.explainedAt.clear();
  transport.failSecondExplanation = true;
  explainWith({{1, 1}, {3, 1}});
  checkFirstAnswerWith("refused (owner_unreachable)");
  checkExplainedAt({1, 3});
}

TEST(OwnerExplanation, OwnerThatRefusesIsNotQueriedAgain) {
  first.setRemoteOwner(NodeId{3});
  transport.busyNode = 3;
  explainWith({{1, 1}, {3, 1}});
  checkFirstAnswerWith("node 3, gave no explanation: busy (owner_refused)");
  checkExplainedAt({1, 3});
}

TEST(OwnerExplanation, SearchEndsAtClientDeadline) {
  first.setRemoteOwner(NodeId{3});
  transport.delay = std::chrono::seconds(15);
  explainWith({{1, 1}, {2, 1}, {9, 1}, {3, 1}});
  checkFirstAnswerWith("(owner_not_listed)");
  CHECK_EQUAL(2, transport.statusAt.size());
}

}  // namespace umberhold
