/** @file Command-line flags of umberholdd. */
#pragma once

#include <string>
#include <variant>
#include <vector>

#include "common/base/result.h"
#include "common/settings/settings.h"

namespace umberhold {

/** Version that the programs report. */
constexpr const char* kVersion = "0.1.0";

/** Result of parsing the flags. */
struct CommandLine {
  /** Path of the settings file; empty for none. */
  std::string settingsPath;
  /** In order of precedence: later overrides replace earlier ones. */
  std::vector<SettingOverride> overrides;
  /** Only check the settings and exit. */
  bool checkSettings = false;
  /** Only print the table of options in Markdown and exit. */
  bool printOptions = false;
};

/** The program is to exit immediately: after --help, --version or an invalid flag. */
struct EndProgram {
  int exitStatus = 0;
};

/** Exit statuses of umberholdd other than 0. */
constexpr int kExitUsage = 1;
constexpr int kExitSettings = 2;
constexpr int kExitPorts = 3;

/** Parses the flags; prints the output of --help or --version, or the error for an invalid flag. */
Result<CommandLine, EndProgram> parseCommandLine(int argc, const char* const* argv);

}  // namespace umberhold
