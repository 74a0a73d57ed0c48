/** @file standin_backend: emulated back-end hosts of one or more services. */
#include <glog/logging.h>
#include <tclap/CmdLine.h>

#include <iostream>
#include <sstream>

#include "standins/backend/backend_pool.h"
#include "standins/common/program.h"

namespace {

using umberhold::standins::HostProfile;

constexpr int kUsageStatus = 2;

/** Appends the hosts of "name=address:port/tcp|udp/hosts". @return whether the text has this form.
 */
bool appendHosts(const std::string& text, const HostProfile& commonProfile,
                 std::vector<HostProfile>& hosts) {
  const size_t equals = text.find('=');
  const size_t firstSlash = text.find('/');
  const size_t lastSlash = text.rfind('/');
  if (equals == std::string::npos || firstSlash == lastSlash || firstSlash < equals) {
    return false;
  }
  const auto address = umberhold::parseEndpoint(text.substr(equals + 1, firstSlash - equals - 1));
  const std::string protocol = text.substr(firstSlash + 1, lastSlash - firstSlash - 1);
  int count = 0;
  std::istringstream(text.substr(lastSlash + 1)) >> count;
  if (!address || count < 1 || (protocol != "tcp" && protocol != "udp")) {
    return false;
  }
  HostProfile profile = commonProfile;
  profile.service = text.substr(0, equals);
  profile.virtualAddress = *address;
  profile.protocol =
      protocol == "tcp" ? umberhold::TransportProtocol::kTcp : umberhold::TransportProtocol::kUdp;
  for (int index = 0; index < count; ++index) {
    profile.name = profile.service + "-" + std::to_string(index);
    hosts.push_back(profile);
  }
  return true;
}

}  // namespace

int main(int argc, char** argv) {
  using namespace umberhold::standins;
  TCLAP::CmdLine command("Emulated back-end hosts", ' ', "0.1");
  TCLAP::MultiArg<std::string> services("", "service", "name=address:port/tcp|udp/hosts", true,
                                        "service", command);
  TCLAP::ValueArg<std::string> control("", "control", "control server", false, "127.0.0.1:0",
                                       "address:port", command);
  TCLAP::ValueArg<std::string> gateway("", "gateway", "receives the answers to callers", true, "",
                                       "address:port", command);
  TCLAP::ValueArg<uint32_t> serviceMillis("", "service-ms", "minimum service time of a request",
                                          false, 5, "ms", command);
  TCLAP::ValueArg<uint32_t> coldMillis("", "cold-ms", "duration of the cold phase after the start",
                                       false, 0, "ms", command);
  TCLAP::ValueArg<uint32_t> limit("", "connection-limit", "maximum number of connections of a host",
                                  false, 2000, "count", command);
  TCLAP::ValueArg<double> lateShare("", "late-share", "share of answer segments that are delayed",
                                    false, 0.02, "0..1", command);
  TCLAP::ValueArg<uint32_t> push(
      "", "push-ms", "mean interval between unsolicited messages on a TCP flow; 0: none", false, 0,
      "ms", command);
  TCLAP::ValueArg<uint32_t> latency("", "latency-us", "one-way latency from hosts to callers",
                                    false, 0, "us", command);
  TCLAP::ValueArg<uint64_t> seed("", "seed", "random seed", false, 1, "number", command);
  command.parse(argc, argv);
  startLogging(argv[0]);

  HostProfile commonProfile;
  commonProfile.serviceMillis = serviceMillis.getValue();
  commonProfile.coldMillis = coldMillis.getValue();
  commonProfile.connectionLimit = limit.getValue();
  commonProfile.pushMillis = push.getValue();
  commonProfile.lateShare = lateShare.getValue();
  std::vector<HostProfile> hosts;
  for (const std::string& service : services.getValue()) {
    if (!appendHosts(service, commonProfile, hosts)) {
      std::cerr << "--service: '" << service << "' is not name=address:port/tcp|udp/hosts\n";
      return kUsageStatus;
    }
  }
  BackendPoolOptions options;
  options.control = endpointOrExit("control", control.getValue());
  options.address = options.control.address;
  options.gateway = endpointOrExit("gateway", gateway.getValue());
  options.latencyMicros = latency.getValue();
  options.seed = seed.getValue();
  BackendPool pool(options, hosts);
  LOG(INFO) << "event=started control=" << umberhold::toString(pool.controlEndpoint())
            << " hosts=" << hosts.size();
  pool.run(stopOnSignals());
  return 0;
}
