/** @file standin_proxy: injects faults into the datagrams between nodes. */
#include <glog/logging.h>
#include <tclap/CmdLine.h>

#include <algorithm>
#include <iostream>
#include <sstream>

#include "standins/common/program.h"
#include "standins/proxy/fault_proxy.h"

namespace {

using umberhold::standins::ProxiedNode;

constexpr int kUsageStatus = 2;

/** @return the port, or 0 if the text is not a port. */
uint16_t portOf(const std::string& text) {
  const auto endpoint = umberhold::parseEndpoint("0.0.0.0:" + text);
  return endpoint ? endpoint->port : 0;
}

/** Reads "name/zone/address/front port:port/...". @return whether the text has this form. */
bool readNode(const std::string& text, ProxiedNode& node) {
  std::istringstream fields(text);
  std::string address;
  std::getline(fields, node.party.name, '/');
  std::getline(fields, node.party.zone, '/');
  std::getline(fields, address, '/');
  const auto parsed = umberhold::parseAddress(address);
  node.address = parsed.value_or(0);
  std::string ports;
  while (std::getline(fields, ports, '/')) {
    const size_t colon = std::min(ports.find(':'), ports.size() - 1);
    const uint16_t frontPort = portOf(ports.substr(0, colon));
    const uint16_t nodePort = portOf(ports.substr(colon + 1));
    if (frontPort == 0 || nodePort == 0) {
      return false;
    }
    node.ports.push_back({frontPort, nodePort});
  }
  return parsed.has_value() && !node.ports.empty();
}

}  // namespace

int main(int argc, char** argv) {
  using namespace umberhold::standins;
  TCLAP::CmdLine command("Fault-injecting proxy between nodes", ' ', "0.1");
  TCLAP::MultiArg<std::string> nodes("", "node", "name/zone/address/front port:port/...", true,
                                     "node", command);
  TCLAP::ValueArg<std::string> control("", "control", "control server", true, "", "address:port",
                                       command);
  TCLAP::ValueArg<std::string> platform("", "platform", "object API of the platform", false, "",
                                        "address:port", command);
  TCLAP::ValueArg<uint16_t> platformFront(
      "", "platform-front", "port on each node's address that forwards to the platform", false, 0,
      "port", command);
  TCLAP::ValueArg<uint64_t> seed("", "seed", "random seed", false, 1, "number", command);
  command.parse(argc, argv);
  startLogging(argv[0]);

  std::vector<ProxiedNode> proxied;
  for (const std::string& text : nodes.getValue()) {
    ProxiedNode node;
    if (!readNode(text, node)) {
      std::cerr << "--node: '" << text << "' is not name/zone/address/front port:port/...\n";
      return kUsageStatus;
    }
    proxied.push_back(node);
  }
  FaultProxy proxy(endpointOrExit("control", control.getValue()), proxied, seed.getValue());
  for (size_t node = 0; platformFront.getValue() != 0 && node < proxied.size(); ++node) {
    proxy.addPlatformFront(node, platformFront.getValue(),
                           endpointOrExit("platform", platform.getValue()));
  }
  LOG(INFO) << "event=started nodes=" << proxied.size();
  proxy.run(stopOnSignals());
  return 0;
}
