/** @file standin_fabric: sprays the packets of callers over the balancers of one deployment. */
#include <glog/logging.h>
#include <tclap/CmdLine.h>

#include "standins/common/program.h"
#include "standins/fabric/spray_fabric.h"

int main(int argc, char** argv) {
  using namespace umberhold::standins;
  TCLAP::CmdLine command("Emulated network edge", ' ', "0.1");
  TCLAP::ValueArg<std::string> listen("", "listen", "receives packets from callers", true, "",
                                      "address:port", command);
  TCLAP::ValueArg<std::string> control("", "control", "control server", true, "", "address:port",
                                       command);
  TCLAP::ValueArg<uint32_t> lag("", "lag-ms",
                                "delay until a change of the list of balancers takes effect", false,
                                1000, "ms", command);
  TCLAP::ValueArg<uint32_t> latency("", "latency-us", "one-way latency from callers to balancers",
                                    false, 0, "us", command);
  TCLAP::ValueArg<uint64_t> seed("", "seed", "random seed", false, 1, "number", command);
  command.parse(argc, argv);
  startLogging(argv[0]);

  SprayFabricOptions options;
  options.listen = endpointOrExit("listen", listen.getValue());
  options.control = endpointOrExit("control", control.getValue());
  options.lagMillis = lag.getValue();
  options.latencyMicros = latency.getValue();
  options.seed = seed.getValue();
  SprayFabric fabric(options);
  LOG(INFO) << "event=started listen=" << umberhold::toString(fabric.listenEndpoint());
  fabric.run(stopOnSignals());
  return 0;
}
