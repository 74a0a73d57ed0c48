#include <algorithm>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "common/ctl/answers.h"
#include "common/ctl/command_runner.h"
#include "common/ctl/document.h"
#include "common/ctl/printer.h"

namespace umberhold {
namespace {

constexpr Duration kCoveragePollInterval = std::chrono::milliseconds(500);

std::string pathOf(const ApiKind& kind, const std::string& name) {
  return std::string("/v1/") + kind.plural + "/" + name;
}

AdminRequest changeRequest(const CommandContext& context, const std::string& method,
                           const std::string& path) {
  AdminRequest request;
  request.method = method;
  request.path = path;
  request.query = {{"author", context.author}};
  request.requestId = context.newRequestId();
  return request;
}

void reportAccepted(const CommandContext& context, const std::string& what,
                    const AdminResponse& response, const AcceptedAnswer& accepted) {
  if (context.output == OutputFormat::kJson) {
    context.out << response.body << '\n';
  } else {
    context.out << what << ": accepted, version " << accepted.version << ", request "
                << accepted.requestId << '\n';
  }
}

std::optional<CoverageAnswer> readCoverage(const CommandContext& context, uint64_t version) {
  AdminRequest request;
  request.method = "GET";
  request.path = "/v1/coverage";
  request.query = {{"version", std::to_string(version)}};
  const ClientResult result = context.client.read(std::move(request));
  const AdminResponse* answer = successfulResponse(result);
  return answer == nullptr ? std::nullopt : parseCoverage(answer->body);
}

/** Polls until the version is effective on every node. */
ExitStatus waitUntilEffective(const CommandContext& context, uint64_t version,
                              uint32_t waitSeconds) {
  const TimePoint deadline = context.clock.now() + std::chrono::seconds(waitSeconds);
  std::optional<CoverageAnswer> last;
  while (true) {
    const auto coverage = readCoverage(context, version);
    last = coverage ? coverage : last;
    const bool complete = coverage && coverage->complete;
    if (complete || context.clock.now() + kCoveragePollInterval >= deadline) {
      std::ostream& out = complete ? context.out : context.errors;
      out << "version " << version << " applied on "
          << (last ? std::to_string(last->nodesAtVersion) + " of " + std::to_string(last->nodes)
                   : std::string("an unknown number of nodes"))
          << '\n';
      return complete ? ExitStatus::kOk : ExitStatus::kWaitTimedOut;
    }
    context.clock.sleepFor(kCoveragePollInterval);
  }
}

/** Result of a change; the version is set if the change is applied. */
struct ChangeResult {
  ExitStatus status = ExitStatus::kOk;
  uint64_t version = 0;
};

ChangeResult sendChange(const CommandContext& context, const std::string& what,
                        AdminRequest request) {
  const std::string requestId = request.requestId;
  const ClientResult result = context.client.change(std::move(request));
  const AdminResponse* answer = successfulResponse(result);
  if (answer == nullptr) {
    return {reportFailure(context, result), 0};
  }
  const auto accepted = parseAccepted(answer->body);
  if (!accepted) {
    return {reportFailure(context, AnswerLost{requestId, "the answer can't be read"}), 0};
  }
  reportAccepted(context, what, *answer, *accepted);
  return {ExitStatus::kOk, accepted->version};
}

/** Applies the documents of one command, in order, up to the first failure. */
class ApplyRun {
 public:
  ApplyRun(const CommandContext& context, const ApplyCommand& command,
           const std::vector<Document>& documents)
      : context_(context), command_(command), documents_(documents) {}

  ExitStatus run() {
    for (size_t index = 0; index < documents_.size(); ++index) {
      const ExitStatus status = applyOne(documents_[index]);
      if (status != ExitStatus::kOk) {
        reportNotTried(index);
        return status;
      }
    }
    if (command_.wait && !command_.dryRun && newestVersion_ != 0) {
      return waitUntilEffective(context_, newestVersion_, command_.waitSeconds);
    }
    return ExitStatus::kOk;
  }

 private:
  static ApiKind kindOf(const Document& document) {
    return document.kind == ObjectKind::kPolicy ? kPolicyKind : kServiceKind;
  }

  static std::string labelOf(const Document& document) {
    return std::string(kindOf(document).singular) + "/" + document.name;
  }

  AdminRequest requestOf(const Document& document) const {
    AdminRequest request = changeRequest(context_, "PUT", pathOf(kindOf(document), document.name));
    request.body = document.specification;
    if (command_.force) {
      request.query.push_back({"force", "true"});
    }
    return request;
  }

  ExitStatus applyOne(const Document& document) {
    const ClientResult result = sendDryRun(document);
    const AdminResponse* answer = successfulResponse(result);
    if (answer == nullptr) {
      return reportFailure(context_, result);
    }
    const auto dryRunAnswer = parseDryRun(answer->body);
    if (!dryRunAnswer) {
      context_.errors << "error: the answer of the dry run can't be read\n";
      return ExitStatus::kUnavailable;
    }
    reportChanges(document, *dryRunAnswer);
    if (command_.dryRun) {
      return ExitStatus::kOk;
    }
    if (dryRunAnswer->changes.empty() && dryRunAnswer->currentVersion != 0) {
      newestVersion_ = std::max(newestVersion_, dryRunAnswer->currentVersion);
      return ExitStatus::kOk;
    }
    AdminRequest request = requestOf(document);
    request.ifMatch = std::to_string(baseVersion(document, *dryRunAnswer));
    const ChangeResult changed = sendChange(context_, labelOf(document), std::move(request));
    newestVersion_ = std::max(newestVersion_, changed.version);
    return changed.status;
  }

  ClientResult sendDryRun(const Document& document) const {
    AdminRequest request = requestOf(document);
    request.query.push_back({"dry_run", "true"});
    for (const Document& other : documents_) {
      if (other.kind == ObjectKind::kPolicy) {
        request.query.push_back({"assume_policy", other.name});
      }
    }
    return context_.client.read(std::move(request));
  }

  /** Without a version a change may only create an object, never overwrite unread state. */
  uint64_t baseVersion(const Document& document, const DryRunAnswer& dryRunAnswer) const {
    if (command_.ifVersion) {
      return *command_.ifVersion;
    }
    return command_.overwrite ? dryRunAnswer.currentVersion : document.version.value_or(0);
  }

  void reportChanges(const Document& document, const DryRunAnswer& dryRunAnswer) const {
    if (context_.output == OutputFormat::kJson) {
      return;
    }
    const bool unchanged = dryRunAnswer.changes.empty() && dryRunAnswer.currentVersion != 0;
    if (unchanged) {
      context_.out << labelOf(document) << ": unchanged at version " << dryRunAnswer.currentVersion
                   << '\n';
    } else if (command_.diff || command_.dryRun) {
      context_.out << labelOf(document) << ": "
                   << (dryRunAnswer.currentVersion == 0
                           ? std::string("new")
                           : "changes to version " + std::to_string(dryRunAnswer.currentVersion))
                   << '\n';
      printChanges(context_.out, dryRunAnswer.changes);
    }
  }

  void reportNotTried(size_t failed) const {
    for (size_t index = failed + 1; index < documents_.size(); ++index) {
      context_.errors << labelOf(documents_[index]) << ": not tried\n";
    }
  }

  const CommandContext& context_;
  const ApplyCommand& command_;
  const std::vector<Document>& documents_;
  uint64_t newestVersion_ = 0;
};

/** @return the documents of all files, policies first. */
Result<std::vector<Document>, DocumentError> loadAll(const std::vector<std::string>& files) {
  std::vector<Document> all;
  for (const std::string& file : files) {
    auto documents = loadDocuments(file);
    if (!isOk(documents)) {
      return errorOf(documents);
    }
    std::move(valueOf(documents).begin(), valueOf(documents).end(), std::back_inserter(all));
  }
  std::stable_partition(all.begin(), all.end(), [](const Document& document) {
    return document.kind == ObjectKind::kPolicy;
  });
  return all;
}

}  // namespace

ExitStatus runApply(const CommandContext& context, const ApplyCommand& command) {
  const auto documents = loadAll(command.files);
  if (!isOk(documents)) {
    context.errors << "error: " << toString(errorOf(documents)) << '\n';
    return ExitStatus::kInvalid;
  }
  if (command.ifVersion && valueOf(documents).size() != 1) {
    context.errors << "error: --if-version needs exactly one object\n";
    return ExitStatus::kUsage;
  }
  return ApplyRun(context, command, valueOf(documents)).run();
}

ExitStatus runDelete(const CommandContext& context, const DeleteCommand& command) {
  const std::string path = pathOf(command.kind, command.name);
  std::optional<uint64_t> version = command.ifVersion;
  if (!version) {
    AdminRequest read;
    read.method = "GET";
    read.path = path;
    const ClientResult result = context.client.read(std::move(read));
    const AdminResponse* answer = successfulResponse(result);
    if (answer == nullptr) {
      return reportFailure(context, result);
    }
    version = parseObjectVersion(answer->body);
  }
  AdminRequest request = changeRequest(context, "DELETE", path);
  request.ifMatch = std::to_string(version.value_or(0));
  if (command.force) {
    request.query.push_back({"force", "true"});
  }
  const ChangeResult changed = sendChange(
      context, std::string(command.kind.singular) + "/" + command.name, std::move(request));
  const bool shouldWait = changed.status == ExitStatus::kOk && command.wait;
  return shouldWait ? waitUntilEffective(context, changed.version, command.waitSeconds)
                    : changed.status;
}

ExitStatus runDrain(const CommandContext& context, const DrainCommand& command) {
  const std::string action = command.drain ? "drain" : "undrain";
  AdminRequest request = changeRequest(
      context, "POST",
      pathOf(kServiceKind, command.service) + "/hosts/" + command.host + "/" + action);
  if (command.drain) {
    request.body = "{\"deadline_seconds\":" + std::to_string(command.deadlineSeconds) + "}";
  }
  if (command.ifVersion) {
    request.ifMatch = std::to_string(*command.ifVersion);
  }
  const ChangeResult changed =
      sendChange(context, command.service + "/" + command.host, std::move(request));
  const bool shouldWait = changed.status == ExitStatus::kOk && command.wait;
  return shouldWait ? waitUntilEffective(context, changed.version, command.waitSeconds)
                    : changed.status;
}

}  // namespace umberhold
