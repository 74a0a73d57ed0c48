/** @file standin_caller: thousands of long-lived flows; matches answers to requests. */
#include <glog/logging.h>
#include <tclap/CmdLine.h>

#include <iostream>
#include <sstream>

#include "standins/caller/caller_pool.h"
#include "standins/common/program.h"

namespace {

using umberhold::standins::FlowProfile;
using umberhold::standins::TargetPlan;

constexpr int kUsageStatus = 2;

/** Reads "name=address:port/tcp|udp/flows". @return whether the text has this form. */
bool readTarget(const std::string& text, const FlowProfile& commonProfile, TargetPlan& plan) {
  const size_t equals = text.find('=');
  const size_t firstSlash = text.find('/');
  const size_t lastSlash = text.rfind('/');
  if (equals == std::string::npos || firstSlash == lastSlash || firstSlash < equals) {
    return false;
  }
  const auto target = umberhold::parseEndpoint(text.substr(equals + 1, firstSlash - equals - 1));
  const std::string protocol = text.substr(firstSlash + 1, lastSlash - firstSlash - 1);
  plan.profile = commonProfile;
  plan.profile.service = text.substr(0, equals);
  plan.profile.target = target.value_or(umberhold::Endpoint{});
  plan.profile.protocol =
      protocol == "udp" ? umberhold::TransportProtocol::kUdp : umberhold::TransportProtocol::kTcp;
  const bool flowsParsed =
      static_cast<bool>(std::istringstream(text.substr(lastSlash + 1)) >> plan.flows);
  return target.has_value() && flowsParsed && (protocol == "tcp" || protocol == "udp");
}

}  // namespace

int main(int argc, char** argv) {
  using namespace umberhold::standins;
  TCLAP::CmdLine command("Emulated callers", ' ', "0.1");
  TCLAP::MultiArg<std::string> targets("", "target", "name=address:port/tcp|udp/flows", true,
                                       "target", command);
  TCLAP::ValueArg<std::string> fabric("", "fabric", "fabric that packets are sent to", true, "",
                                      "address:port", command);
  TCLAP::ValueArg<std::string> listen("", "listen", "address that receives answers", false,
                                      "127.0.0.1:0", "address:port", command);
  TCLAP::ValueArg<std::string> control("", "control", "control server", false, "127.0.0.1:0",
                                       "address:port", command);
  TCLAP::ValueArg<uint32_t> rate("", "open-per-second", "new flows per second", false, 1000,
                                 "flows/s", command);
  TCLAP::ValueArg<uint32_t> pause("", "pause-ms", "mean pause between requests of a flow", false,
                                  2000, "ms", command);
  TCLAP::ValueArg<uint32_t> lifetime("", "life-ms", "mean lifetime of a flow; 0: the whole run",
                                     false, 0, "ms", command);
  TCLAP::ValueArg<uint32_t> process("", "process", "number of this process", false, 1, "1..4095",
                                    command);
  TCLAP::ValueArg<uint64_t> seed("", "seed", "random seed", false, 1, "number", command);
  command.parse(argc, argv);
  startLogging(argv[0]);

  FlowProfile commonProfile;
  commonProfile.requestPauseMillis = pause.getValue();
  commonProfile.lifeMillis = lifetime.getValue();
  std::vector<TargetPlan> plans;
  for (const std::string& text : targets.getValue()) {
    TargetPlan plan;
    if (!readTarget(text, commonProfile, plan)) {
      std::cerr << "--target: '" << text << "' is not name=address:port/tcp|udp/flows\n";
      return kUsageStatus;
    }
    plans.push_back(plan);
  }
  CallerPoolOptions options;
  options.fabric = endpointOrExit("fabric", fabric.getValue());
  options.listen = endpointOrExit("listen", listen.getValue());
  options.control = endpointOrExit("control", control.getValue());
  options.openPerSecond = rate.getValue();
  options.process = process.getValue();
  options.seed = seed.getValue();
  CallerPool pool(options, plans);
  LOG(INFO) << "event=started control=" << umberhold::toString(pool.controlEndpoint());
  pool.run(stopOnSignals());
  std::cout << toJson(pool.report()) << std::endl;
  return 0;
}
