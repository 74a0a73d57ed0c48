/** @file Main program of a node: reads flags and settings, handles signals, runs NodeProcess. */
#include <glog/logging.h>

#include <csignal>
#include <iostream>
#include <optional>
#include <utility>

#include "common/server/command_line.h"
#include "common/server/node_process.h"
#include "common/settings/settings.h"
#include "common/settings/settings_options.h"

namespace {

using namespace umberhold;

/** Set by SIGTERM and SIGINT, read at every tick. */
volatile std::sig_atomic_t stopSignal = 0;
/** Set by SIGHUP, cleared at the tick that reloads the settings. */
volatile std::sig_atomic_t reloadSignal = 0;

void onStopSignal(int signal) {
  stopSignal = signal;
}

void onReloadSignal(int signal) {
  reloadSignal = signal;
}

/** Exposes the signals of the operating system to the node. */
class ProcessSignals : public NodeSignals {
 public:
  /** @param flags borrowed; they override the settings file on a reload, too. */
  explicit ProcessSignals(const CommandLine& flags) : flags_(flags) {}

  bool stopRequested() override { return stopSignal != 0; }

  std::optional<Result<NodeSettings, SettingsError>> reloadedSettings() override {
    if (reloadSignal == 0) {
      return std::nullopt;
    }
    // Cleared before the file is read, so that a signal during the read causes another reload.
    reloadSignal = 0;
    return loadSettings(flags_.settingsPath, flags_.overrides);
  }

 private:
  const CommandLine& flags_;
};

void catchSignals() {
  std::signal(SIGHUP, onReloadSignal);
  std::signal(SIGTERM, onStopSignal);
  std::signal(SIGINT, onStopSignal);
  std::signal(SIGPIPE, SIG_IGN);
}

void startLogging(const char* program, LogLevel level) {
  FLAGS_logtostderr = true;
  FLAGS_minloglevel = static_cast<int>(level);
  google::InitGoogleLogging(program);
}

int runNode(const NodeSettings& settings, const CommandLine& flags) {
  catchSignals();
  const auto process = NodeProcess::create(settings);
  if (!isOk(process)) {
    LOG(ERROR) << "event=port_failed endpoint=" << toString(errorOf(process).endpoint)
               << " detail=\"" << errorOf(process).detail << "\"";
    return kExitPorts;
  }
  LOG(INFO) << "event=started node=" << settings.nodeId << " region=" << settings.region
            << " zone=" << settings.zone << " address=" << addressToString(settings.address.value)
            << " admin_port=" << settings.adminPort;
  ProcessSignals signals(flags);
  const NodeEnd end = valueOf(process)->run(signals);
  LOG(INFO) << "event=ended handed_over=" << (end == NodeEnd::kLeft ? "all" : "not_all");
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  const auto commandLine = parseCommandLine(argc, argv);
  if (!isOk(commandLine)) {
    return errorOf(commandLine).exitStatus;
  }
  const CommandLine& flags = valueOf(commandLine);
  if (flags.printOptions) {
    std::cout << settingsMarkdown();
    return 0;
  }
  const auto settings = loadSettings(flags.settingsPath, flags.overrides);
  if (!isOk(settings)) {
    std::cerr << "settings: " << flags.settingsPath << ": " << describe(errorOf(settings)) << "\n";
    return kExitSettings;
  }
  if (flags.checkSettings) {
    std::cout << "settings: valid\n";
    return 0;
  }
  startLogging(argv[0], valueOf(settings).logLevel);
  return runNode(valueOf(settings), flags);
}
