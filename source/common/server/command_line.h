/** @file The flags of umberholdd. */
#pragma once

#include <string>
#include <variant>
#include <vector>

#include "common/base/result.h"
#include "common/settings/settings.h"

namespace umberhold {

/** Version of the programs. */
constexpr const char* kVersion = "0.1.0";

/** What the flags ask for. */
struct CommandLine {
  /** Path of the settings file; empty for none. */
  std::string settingsPath;
  /** In the order in which they win: later ones over earlier ones. */
  std::vector<SettingOverride> overrides;
  /** Only check the settings. */
  bool checkSettings = false;
  /** Only print the table of options in Markdown. */
  bool printOptions = false;
};

/** The program ends at once: after --help, --version or a wrong flag. */
struct EndProgram {
  int exitStatus = 0;
};

/** Exit statuses of umberholdd, besides 0. */
constexpr int kExitUsage = 1;
constexpr int kExitSettings = 2;
constexpr int kExitPorts = 3;

/** Reads the flags; prints what --help, --version or a wrong flag asks for. */
Result<CommandLine, EndProgram> parseCommandLine(int argc, const char* const* argv);

}  // namespace umberhold
