/** @file The stand-in platform as a program: object API, machine list and fault switches in memory.
 */
#include <Poco/Exception.h>
#include <glog/logging.h>
#include <signal.h>
#include <tclap/CmdLine.h>

#include <iostream>

#include "standins/platform/platform_server.h"

namespace {

using umberhold::standins::PlatformServer;
using umberhold::standins::PlatformServerOptions;

constexpr int kUsageError = 2;
constexpr int kStartError = 1;

/** Blocks the stop signals in all threads started later, so that sigwait() receives them. */
sigset_t blockStopSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGINT);
  sigaddset(&signals, SIGTERM);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  return signals;
}

int serve(const PlatformServerOptions& options) {
  const sigset_t signals = blockStopSignals();
  try {
    const PlatformServer server(options);
    LOG(INFO) << "event=listening api=" << umberhold::toString(server.api())
              << " control=" << umberhold::toString(server.control());
    std::cout << "api=" << umberhold::toString(server.api())
              << " control=" << umberhold::toString(server.control()) << std::endl;
    int received = 0;
    sigwait(&signals, &received);
  } catch (const Poco::Exception& error) {
    LOG(ERROR) << "event=start_failed detail=\"" << error.displayText() << "\"";
    return kStartError;
  }
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  google::InitGoogleLogging(argv[0]);
  FLAGS_logtostderr = true;
  PlatformServerOptions options;
  try {
    TCLAP::CmdLine commandLine("Stand-in for the platform's object store and machine list", ' ');
    TCLAP::ValueArg<std::string> address("", "address", "Address to listen on", false, "127.0.0.1",
                                         "IPv4", commandLine);
    TCLAP::ValueArg<uint16_t> port("", "port", "Port of the object API; 0 for any", false, 0,
                                   "port", commandLine);
    TCLAP::ValueArg<uint16_t> controlPort("", "control-port", "Port of /control; 0 for any", false,
                                          0, "port", commandLine);
    TCLAP::ValueArg<int> threads("", "threads", "Maximum number of concurrent requests", false,
                                 options.threads, "count", commandLine);
    TCLAP::ValueArg<size_t> history("", "history-limit",
                                    "Maximum number of past events that a watch can replay", false,
                                    options.historyLimit, "count", commandLine);
    TCLAP::ValueArg<int64_t> lag("", "machines-lag-ms",
                                 "Delay until changes of the machine list are visible", false, 0,
                                 "milliseconds", commandLine);
    TCLAP::ValueArg<uint64_t> seed("", "seed", "Seed for the random loss of answers", false,
                                   options.seed, "number", commandLine);
    commandLine.parse(argc, argv);
    const auto parsed = umberhold::parseAddress(address.getValue());
    if (!parsed) {
      std::cerr << "--address is not an IPv4 address\n";
      return kUsageError;
    }
    options.address = *parsed;
    options.port = port.getValue();
    options.controlPort = controlPort.getValue();
    options.threads = threads.getValue();
    options.historyLimit = history.getValue();
    options.machinesLag = std::chrono::milliseconds(lag.getValue());
    options.seed = seed.getValue();
  } catch (const TCLAP::ArgException& error) {
    std::cerr << error.error() << " " << error.argId() << "\n";
    return kUsageError;
  }
  return serve(options);
}
