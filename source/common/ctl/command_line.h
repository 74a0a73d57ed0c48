/** @file Parses the command line of umberholdctl into typed commands. */
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "common/admin/api_kind.h"
#include "common/base/endpoint.h"
#include "common/base/result.h"

namespace umberhold {

/** How results are printed. */
enum class OutputFormat : uint8_t { kTable, kJson };

/** apply -f FILE... */
struct ApplyCommand {
  std::vector<std::string> files;
  bool dryRun = false;
  bool diff = false;
  bool wait = false;
  bool overwrite = false;
  bool force = false;
  std::optional<uint64_t> ifVersion;
  uint32_t waitSeconds = 0;
};
/** get KIND [NAME] */
struct GetCommand {
  ApiKind kind;
  std::optional<std::string> name;
};
/** describe service NAME */
struct DescribeCommand {
  std::string service;
};
/** delete KIND NAME */
struct DeleteCommand {
  ApiKind kind;
  std::string name;
  bool force = false;
  bool wait = false;
  std::optional<uint64_t> ifVersion;
  uint32_t waitSeconds = 0;
};
/** drain SERVICE HOST, undrain SERVICE HOST */
struct DrainCommand {
  std::string service;
  std::string host;
  bool drain = true;
  uint32_t deadlineSeconds = 0;
  std::optional<uint64_t> ifVersion;
  bool wait = false;
  uint32_t waitSeconds = 0;
};
/** status */
struct StatusCommand {};
/** members */
struct MembersCommand {};
/** explain SERVICE IP:PORT */
struct ExplainCommand {
  std::string service;
  std::string caller;
};
/** history [KIND NAME] */
struct HistoryCommand {
  std::optional<ApiKind> kind;
  std::string name;
  uint32_t limit = 0;
};
/** request ID [KIND NAME] */
struct RequestCommand {
  std::string requestId;
  std::optional<ApiKind> kind;
  std::string name;
};
/** --help or --version, whose text is already printed. */
struct NoCommand {};

using Command = std::variant<ApplyCommand, GetCommand, DescribeCommand, DeleteCommand, DrainCommand,
                             StatusCommand, MembersCommand, ExplainCommand, HistoryCommand,
                             RequestCommand, NoCommand>;

/** A command with the options common to all commands. */
struct CommandLine {
  std::vector<Endpoint> servers;
  std::string tokenFile;
  OutputFormat output = OutputFormat::kTable;
  std::string author;
  /** Maximum duration of all attempts to reach a server. */
  uint32_t timeoutSeconds = 0;
  Command command;
};

/** The command line is invalid. */
struct UsageError {
  std::string detail;
};

/** @param arguments of the program; the first is its name. */
Result<CommandLine, UsageError> parseCommandLine(std::vector<std::string> arguments);

}  // namespace umberhold
