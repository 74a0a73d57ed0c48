/** @file Command-line parsing with TCLAP. */
#include "common/server/command_line.h"

#include <tclap/CmdLine.h>

#include <iostream>
#include <memory>

#include "common/settings/settings_options.h"

namespace umberhold {
namespace {

/** TCLAP's output, followed by the table of options. */
class HelpOutput : public TCLAP::StdOutput {
 public:
  void usage(TCLAP::CmdLineInterface& commandLine) override {
    StdOutput::usage(commandLine);
    std::cout << settingsHelp();
  }
};

/** A flag that sets one option of the settings. */
struct OptionFlag {
  const char* flag;
  const char* key;
  const char* documentation;
};

constexpr OptionFlag kOptionFlags[] = {
    {"node-id", "node_id", "Number of this node."},
    {"region", "region", "Name of the region."},
    {"zone", "zone", "Name of the zone."},
    {"listen", "address", "IPv4 address that the node listens on."},
};

/** Adds the override key=value. @return false if the key is missing. */
bool addAssignment(const std::string& assignment, std::vector<SettingOverride>& overrides) {
  const size_t separator = assignment.find('=');
  if (separator == std::string::npos || separator == 0) {
    std::cerr << "--set expects key=value, not \"" << assignment << "\"\n";
    return false;
  }
  overrides.push_back({assignment.substr(0, separator), assignment.substr(separator + 1)});
  return true;
}

/** The flags. TCLAP's arguments register themselves with the command line. */
class Flags {
 public:
  Flags() {
    commandLine_.setExceptionHandling(false);
    commandLine_.setOutput(&output_);
    for (const OptionFlag& flag : kOptionFlags) {
      options_.push_back(std::make_unique<TCLAP::ValueArg<std::string>>(
          "", flag.flag, flag.documentation, false, "", "value", commandLine_));
    }
  }

  Result<CommandLine, EndProgram> parse(int argc, const char* const* argv) {
    commandLine_.parse(argc, argv);
    CommandLine result;
    result.settingsPath = settings_.getValue();
    result.checkSettings = check_.getValue();
    result.printOptions = printOptions_.getValue();
    for (size_t index = 0; index < options_.size(); ++index) {
      if (options_[index]->isSet()) {
        result.overrides.push_back({kOptionFlags[index].key, options_[index]->getValue()});
      }
    }
    for (const std::string& assignment : assignments_.getValue()) {
      if (!addAssignment(assignment, result.overrides)) {
        return EndProgram{kExitUsage};
      }
    }
    return result;
  }

 private:
  HelpOutput output_;
  TCLAP::CmdLine commandLine_{"umberholdd: a node of the umberhold load balancer", ' ', kVersion};
  TCLAP::ValueArg<std::string> settings_{"",     "settings",  "Settings file in TOML.", false, "",
                                         "path", commandLine_};
  TCLAP::MultiArg<std::string> assignments_{
      "", "set", "Sets an option of the settings; may repeat.", false, "key=value", commandLine_};
  TCLAP::SwitchArg check_{"", "check-settings",
                          "Only checks the settings; exit status 2 on a fault.", commandLine_};
  TCLAP::SwitchArg printOptions_{"", "print-options",
                                 "Only prints the table of options in Markdown.", commandLine_};
  std::vector<std::unique_ptr<TCLAP::ValueArg<std::string>>> options_;
};

}  // namespace

Result<CommandLine, EndProgram> parseCommandLine(int argc, const char* const* argv) {
  try {
    return Flags().parse(argc, argv);
  } catch (const TCLAP::ExitException& exit) {
    return EndProgram{exit.getExitStatus()};
  } catch (const TCLAP::ArgException& fault) {
    std::cerr << fault.argId() << ": " << fault.error() << "\n";
    return EndProgram{kExitUsage};
  }
}

}  // namespace umberhold
