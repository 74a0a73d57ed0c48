#include "common/ctl/command_line.h"

#include <tclap/CmdLine.h>

#include <functional>
#include <map>
#include <utility>

namespace umberhold {
namespace {

constexpr const char* kVersionText = "0.1.0";
constexpr uint32_t kDefaultWaitSeconds = 60;
constexpr uint32_t kDefaultTimeoutSeconds = 20;
constexpr uint32_t kDefaultHistoryLimit = 20;
constexpr const char* kDescription =
    "umberholdctl COMMAND: apply -f FILE | get KIND [NAME] | describe service NAME | "
    "delete KIND NAME | drain SERVICE HOST | undrain SERVICE HOST | status | members | "
    "explain SERVICE IP:PORT | history [KIND NAME] | request ID [KIND NAME]. KIND is service or "
    "policy. Exit statuses: 0 done, 1 usage, 2 invalid, 3 conflict, 4 unavailable (nothing run), "
    "5 unknown outcome, 6 not found, 7 not authorised, 8 accepted but not yet applied everywhere";

using Words = std::vector<std::string>;
using CommandResult = Result<Command, UsageError>;

/** All options; each command uses a subset of them. */
class Options {
 public:
  Options() : line_(kDescription, ' ', kVersionText) {
    line_.setExceptionHandling(false);
    for (TCLAP::Arg* argument : std::initializer_list<TCLAP::Arg*>{
             &servers, &tokenFile, &output, &author, &timeout, &files, &dryRun, &diff, &wait,
             &waitSeconds, &overwrite, &force, &ifVersion, &deadline, &limit, &words}) {
      line_.add(argument);
    }
  }

  void parse(Words& arguments) { line_.parse(arguments); }

  TCLAP::MultiArg<std::string> servers{"s", "server", "admin API of a node; repeatable", false,
                                       "ip:port"};
  TCLAP::ValueArg<std::string> tokenFile{"",    "token-file", "file with the bearer token",
                                         false, "",           "file"};
  TCLAP::ValueArg<std::string> output{"o", "output", "table or json", false, "table", "format"};
  TCLAP::ValueArg<std::string> author{"", "author", "who asks, for the history", false, "", "name"};
  TCLAP::ValueArg<uint32_t> timeout{
      "", "timeout", "how long servers are tried", false, kDefaultTimeoutSeconds, "seconds"};
  TCLAP::MultiArg<std::string> files{"f", "file", "objects in .toml or .json", false, "file"};
  TCLAP::SwitchArg dryRun{"", "dry-run", "only validate and compare"};
  TCLAP::SwitchArg diff{"", "diff", "print what changes"};
  TCLAP::SwitchArg wait{"", "wait", "wait until it is applied on every node"};
  TCLAP::ValueArg<uint32_t> waitSeconds{"",    "wait-seconds",      "longest wait",
                                        false, kDefaultWaitSeconds, "seconds"};
  TCLAP::SwitchArg overwrite{"", "overwrite", "base the change on whatever is current"};
  TCLAP::SwitchArg force{"", "force", "accept that established flows are cut"};
  TCLAP::ValueArg<uint64_t> ifVersion{
      "", "if-version", "version that the change is based on", false, 0, "version"};
  TCLAP::ValueArg<uint32_t> deadline{
      "", "deadline", "after this a drained host's flows may be cut", false, 0, "seconds"};
  TCLAP::ValueArg<uint32_t> limit{"",     "limit", "changes to show", false, kDefaultHistoryLimit,
                                  "count"};
  TCLAP::UnlabeledMultiArg<std::string> words{"command", "command and its arguments", true, "word"};

 private:
  TCLAP::CmdLine line_;
};

std::optional<uint64_t> versionIn(const Options& options) {
  return options.ifVersion.isSet() ? std::optional<uint64_t>(options.ifVersion.getValue())
                                   : std::nullopt;
}

UsageError usage(const std::string& form) {
  return UsageError{"usage: umberholdctl " + form};
}

CommandResult makeApply(const Options& options, const Words& words) {
  if (words.size() != 1 || options.files.getValue().empty()) {
    return usage("apply -f FILE [--dry-run] [--diff] [--wait] [--if-version V | --overwrite]");
  }
  if (options.overwrite.getValue() && options.ifVersion.isSet()) {
    return usage("apply: --if-version and --overwrite exclude each other");
  }
  ApplyCommand command;
  command.files = options.files.getValue();
  command.dryRun = options.dryRun.getValue();
  command.diff = options.diff.getValue();
  command.wait = options.wait.getValue();
  command.overwrite = options.overwrite.getValue();
  command.force = options.force.getValue();
  command.ifVersion = versionIn(options);
  command.waitSeconds = options.waitSeconds.getValue();
  return command;
}

CommandResult makeGet(const Options& /*options*/, const Words& words) {
  const auto kind = words.size() > 1 ? parseApiKind(words[1]) : std::nullopt;
  if (!kind || words.size() > 3) {
    return usage("get KIND [NAME]");
  }
  GetCommand command{*kind, std::nullopt};
  if (words.size() == 3) {
    command.name = words[2];
  }
  return command;
}

CommandResult makeDescribe(const Options& /*options*/, const Words& words) {
  if (words.size() != 3 || words[1] != kServiceKind.singular) {
    return usage("describe service NAME");
  }
  return DescribeCommand{words[2]};
}

CommandResult makeDelete(const Options& options, const Words& words) {
  const auto kind = words.size() == 3 ? parseApiKind(words[1]) : std::nullopt;
  if (!kind) {
    return usage("delete KIND NAME [--if-version V] [--force] [--wait]");
  }
  return DeleteCommand{*kind,
                       words[2],
                       options.force.getValue(),
                       options.wait.getValue(),
                       versionIn(options),
                       options.waitSeconds.getValue()};
}

CommandResult makeDrain(const Options& options, const Words& words) {
  if (words.size() != 3) {
    return usage(words[0] + " SERVICE HOST [--deadline SECONDS] [--if-version V] [--wait]");
  }
  return DrainCommand{words[1],
                      words[2],
                      words[0] == "drain",
                      options.deadline.getValue(),
                      versionIn(options),
                      options.wait.getValue(),
                      options.waitSeconds.getValue()};
}

template <class Plain>
CommandResult makePlain(const Options& /*options*/, const Words& words) {
  if (words.size() != 1) {
    return usage(words[0]);
  }
  return Plain{};
}

CommandResult makeExplain(const Options& /*options*/, const Words& words) {
  if (words.size() != 3 || !parseEndpoint(words[2])) {
    return usage("explain SERVICE IP:PORT");
  }
  return ExplainCommand{words[1], words[2]};
}

CommandResult makeHistory(const Options& options, const Words& words) {
  HistoryCommand command;
  command.limit = options.limit.getValue();
  if (words.size() == 3) {
    command.kind = parseApiKind(words[1]);
    command.name = words[2];
  }
  if (words.size() != 1 && !command.kind) {
    return usage("history [KIND NAME] [--limit N]");
  }
  return command;
}

CommandResult makeRequest(const Options& /*options*/, const Words& words) {
  RequestCommand command;
  if (words.size() == 4) {
    command.kind = parseApiKind(words[2]);
    command.name = words[3];
  }
  if (words.size() != 2 && !command.kind) {
    return usage("request ID [KIND NAME]");
  }
  command.requestId = words[1];
  return command;
}

using Maker = CommandResult (*)(const Options&, const Words&);

const std::map<std::string, Maker>& makers() {
  static const std::map<std::string, Maker> all = {
      {"apply", makeApply},
      {"get", makeGet},
      {"describe", makeDescribe},
      {"delete", makeDelete},
      {"drain", makeDrain},
      {"undrain", makeDrain},
      {"status", makePlain<StatusCommand>},
      {"members", makePlain<MembersCommand>},
      {"explain", makeExplain},
      {"history", makeHistory},
      {"request", makeRequest},
  };
  return all;
}

Result<std::vector<Endpoint>, UsageError> serversIn(const Options& options) {
  std::vector<Endpoint> servers;
  for (const std::string& text : options.servers.getValue()) {
    const auto endpoint = parseEndpoint(text);
    if (!endpoint) {
      return UsageError{"--server " + text + " is no ip:port"};
    }
    servers.push_back(*endpoint);
  }
  if (servers.empty()) {
    return UsageError{"--server ip:port is needed"};
  }
  return servers;
}

Result<CommandLine, UsageError> toCommandLine(const Options& options) {
  const Words words = options.words.getValue();
  const auto maker = makers().find(words.front());
  if (maker == makers().end()) {
    return UsageError{"unknown command '" + words.front() + "'; see --help"};
  }
  auto command = maker->second(options, words);
  if (!isOk(command)) {
    return errorOf(command);
  }
  auto servers = serversIn(options);
  if (!isOk(servers)) {
    return errorOf(servers);
  }
  const std::string& output = options.output.getValue();
  if (output != "table" && output != "json") {
    return UsageError{"--output must be table or json"};
  }
  CommandLine line;
  line.servers = std::move(valueOf(servers));
  line.tokenFile = options.tokenFile.getValue();
  line.output = output == "json" ? OutputFormat::kJson : OutputFormat::kTable;
  line.author = options.author.getValue();
  line.timeoutSeconds = options.timeout.getValue();
  line.command = std::move(valueOf(command));
  return line;
}

}  // namespace

Result<CommandLine, UsageError> parseCommandLine(std::vector<std::string> arguments) {
  try {
    Options options;
    options.parse(arguments);
    return toCommandLine(options);
  } catch (const TCLAP::ExitException&) {
    return CommandLine{{}, "", OutputFormat::kTable, "", 0, NoCommand{}};
  } catch (const TCLAP::ArgException& error) {
    return UsageError{error.error() + " " + error.argId()};
  }
}

}  // namespace umberhold
