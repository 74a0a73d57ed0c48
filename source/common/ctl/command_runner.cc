#include "common/ctl/command_runner.h"

#include "common/ctl/answers.h"
#include "common/ctl/owner_explanation.h"
#include "common/ctl/printer.h"

namespace umberhold {
namespace {

constexpr int kHttpOk = 200;
using Printer = void (*)(std::ostream&, const std::string&);

AdminRequest get(const std::string& path) {
  AdminRequest request;
  request.method = "GET";
  request.path = path;
  return request;
}

void printBody(const CommandContext& context, const std::string& body, Printer printer) {
  if (context.output == OutputFormat::kJson) {
    context.out << body << '\n';
  } else {
    printer(context.out, body);
  }
}

/** Sends a read request and prints the response. */
ExitStatus show(const CommandContext& context, AdminRequest request, Printer printer) {
  const ClientResult result = context.client.read(std::move(request));
  const AdminResponse* answer = successfulResponse(result);
  if (answer == nullptr) {
    return reportFailure(context, result);
  }
  printBody(context, answer->body, printer);
  return ExitStatus::kOk;
}

/** Explains a flow; if its owner can't be queried, prints the first response and the reason. */
ExitStatus explain(const CommandContext& context, const AdminRequest& request) {
  const ClientResult result = context.client.read(request);
  const AdminResponse* answer = successfulResponse(result);
  if (answer == nullptr) {
    return reportFailure(context, result);
  }
  const auto remoteFlow = parseRemoteFlow(answer->body);
  if (!remoteFlow) {
    printBody(context, answer->body, printExplanation);
    return ExitStatus::kOk;
  }
  const auto ownerExplanation = explainByOwner(context.client, context.clock, request, *remoteFlow);
  printBody(context, isOk(ownerExplanation) ? valueOf(ownerExplanation) : answer->body,
            printExplanation);
  if (!isOk(ownerExplanation)) {
    context.errors << "warning: " << toString(errorOf(ownerExplanation)) << '\n';
  }
  return ExitStatus::kOk;
}

/** Runs each command. */
class Runner {
 public:
  explicit Runner(const CommandContext& context) : context_(context) {}

  ExitStatus operator()(const ApplyCommand& command) const { return runApply(context_, command); }
  ExitStatus operator()(const DeleteCommand& command) const { return runDelete(context_, command); }
  ExitStatus operator()(const DrainCommand& command) const { return runDrain(context_, command); }
  ExitStatus operator()(const GetCommand& command) const {
    const std::string path = std::string("/v1/") + command.kind.plural;
    return command.name ? show(context_, get(path + "/" + *command.name), printDocument)
                        : show(context_, get(path), printList);
  }
  ExitStatus operator()(const DescribeCommand& command) const {
    return show(context_, get("/v1/services/" + command.service), printService);
  }
  ExitStatus operator()(const StatusCommand&) const {
    return show(context_, get("/v1/status"), printStatus);
  }
  ExitStatus operator()(const MembersCommand&) const {
    return show(context_, get("/v1/members"), printMembers);
  }
  ExitStatus operator()(const ExplainCommand& command) const {
    AdminRequest request = get("/v1/explain");
    request.query = {{"service", command.service}, {"caller", command.caller}};
    return explain(context_, request);
  }
  ExitStatus operator()(const HistoryCommand& command) const {
    AdminRequest request = get("/v1/history");
    request.query = {{"limit", std::to_string(command.limit)}};
    addObject(request, command.kind, command.name);
    return show(context_, std::move(request), printHistory);
  }
  ExitStatus operator()(const RequestCommand& command) const {
    AdminRequest request = get("/v1/requests/" + command.requestId);
    addObject(request, command.kind, command.name);
    return show(context_, std::move(request), printRequest);
  }
  ExitStatus operator()(const NoCommand&) const { return ExitStatus::kOk; }

 private:
  static void addObject(AdminRequest& request, const std::optional<ApiKind>& kind,
                        const std::string& name) {
    if (kind) {
      request.query.push_back({"kind", kind->singular});
      request.query.push_back({"name", name});
    }
  }

  const CommandContext& context_;
};

/** Prints the reason of a failure and returns its exit status. */
class FailureReport {
 public:
  explicit FailureReport(const CommandContext& context) : context_(context) {}

  ExitStatus operator()(const AdminResponse& response) const {
    if (context_.output == OutputFormat::kJson) {
      context_.errors << response.body << '\n';
    } else {
      printError(context_.errors, response.body);
    }
    return exitStatusOf(response.status);
  }
  ExitStatus operator()(const ServersUnavailable& unavailable) const {
    context_.errors << "error: no server could answer; nothing was run: " << unavailable.detail
                    << " (unavailable)\n";
    return ExitStatus::kUnavailable;
  }
  ExitStatus operator()(const AnswerLost& lost) const {
    context_.errors << "error: the change may be in or not: " << lost.detail
                    << " (outcome_unknown)\n  ask later: umberholdctl request " << lost.requestId
                    << '\n';
    return ExitStatus::kUnknownOutcome;
  }

 private:
  const CommandContext& context_;
};

}  // namespace

ExitStatus runCommand(const CommandContext& context, const Command& command) {
  return std::visit(Runner(context), command);
}

ExitStatus reportFailure(const CommandContext& context, const ClientResult& result) {
  return std::visit(FailureReport(context), result);
}

const AdminResponse* successfulResponse(const ClientResult& result) {
  const auto* response = std::get_if<AdminResponse>(&result);
  return response != nullptr && response->status == kHttpOk ? response : nullptr;
}

}  // namespace umberhold
