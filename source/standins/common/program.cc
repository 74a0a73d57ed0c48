#include "standins/common/program.h"

#include <glog/logging.h>

#include <csignal>
#include <cstdlib>
#include <iostream>

namespace umberhold::standins {
namespace {

constexpr int kUsageStatus = 2;
std::atomic<bool> stopRequested{false};

void requestStop(int /*signal*/) {
  stopRequested = true;
}

}  // namespace

std::atomic<bool>& stopOnSignals() {
  std::signal(SIGTERM, requestStop);
  std::signal(SIGINT, requestStop);
  return stopRequested;
}

void startLogging(const char* program) {
  FLAGS_logtostderr = true;
  google::InitGoogleLogging(program);
}

Endpoint endpointOrExit(const std::string& flag, const std::string& text) {
  constexpr std::string_view kAnyPort = ":0";
  if (text.ends_with(kAnyPort)) {
    const auto address = parseAddress(text.substr(0, text.size() - kAnyPort.size()));
    if (address) {
      return Endpoint{*address, 0};
    }
  }
  const auto endpoint = parseEndpoint(text);
  if (!endpoint) {
    std::cerr << "--" << flag << ": '" << text << "' is not address:port\n";
    std::exit(kUsageStatus);
  }
  return *endpoint;
}

}  // namespace umberhold::standins
