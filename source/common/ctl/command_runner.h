/** @file Runs a command of umberholdctl against the admin API. */
#pragma once

#include <functional>
#include <ostream>
#include <string>

#include "common/admin/call_clock.h"
#include "common/ctl/admin_client.h"
#include "common/ctl/command_line.h"
#include "common/ctl/exit_status.h"

namespace umberhold {

/** Environment of a command; all references are borrowed. */
struct CommandContext {
  AdminClient& client;
  CallClock& clock;
  std::ostream& out;
  std::ostream& errors;
  OutputFormat output = OutputFormat::kTable;
  std::string author;
  /** @return a new, unique request id. */
  std::function<std::string()> newRequestId;
};

/** Runs any command. */
ExitStatus runCommand(const CommandContext& context, const Command& command);

/** Commands that make changes (change_commands.cc). */
ExitStatus runApply(const CommandContext& context, const ApplyCommand& command);
ExitStatus runDelete(const CommandContext& context, const DeleteCommand& command);
ExitStatus runDrain(const CommandContext& context, const DrainCommand& command);

/** Prints the reason of a failure. @return the exit status. */
ExitStatus reportFailure(const CommandContext& context, const ClientResult& result);

/** @return the response if its status is 200, or nullptr. */
const AdminResponse* successfulResponse(const ClientResult& result);

}  // namespace umberhold
