/**
 * @file Measures the bytes and packets of one health probe on the wire, in both directions: probes
 * a host many times with the production client and reads the counters of the loopback interface.
 * Must run where nothing else uses that interface, for example in a network namespace (unshare
 * -rn).
 */
#include <tclap/CmdLine.h>

#include <fstream>
#include <iostream>
#include <sstream>
#include <string>

#include "common/server/probe_client.h"

namespace {

using namespace umberhold;

/** Bytes and packets that the loopback interface has sent: columns 9 and 10 of /proc/net/dev. They
 * cover both directions of a connection, since both of its ends are on this machine. */
struct SentCounters {
  double bytes = 0;
  double packets = 0;
};

/** @return zeros if the interface is missing. */
SentCounters sentOnLoopback() {
  constexpr int kReceiveColumns = 8;
  std::ifstream file("/proc/net/dev");
  std::string line;
  while (std::getline(file, line)) {
    const size_t colon = line.find("lo:");
    if (colon == std::string::npos) {
      continue;
    }
    std::istringstream fields(line.substr(colon + 3));
    double ignored = 0;
    for (int column = 0; column < kReceiveColumns; ++column) {
      fields >> ignored;
    }
    SentCounters counters;
    fields >> counters.bytes >> counters.packets;
    return counters;
  }
  return {};
}

}  // namespace

int main(int argc, char** argv) {
  constexpr uint32_t kProbes = 200;
  TCLAP::CmdLine command("Measures the bytes and packets of one probe", ' ', "0.1");
  TCLAP::ValueArg<std::string> host("", "host", "probe endpoint of a host", true, "", "ip:port",
                                    command);
  command.parse(argc, argv);
  const auto endpoint = parseEndpoint(host.getValue());
  if (!endpoint) {
    std::cerr << "--host is not of the form ip:port\n";
    return 2;
  }
  ProbeClient client{std::chrono::seconds(1)};
  // The first probe is not measured, because it opens the connection that the others reuse.
  const bool reachable = client.probe(*endpoint).healthy;
  const SentCounters before = sentOnLoopback();
  uint32_t healthy = 0;
  for (uint32_t probe = 0; probe < kProbes; ++probe) {
    healthy += client.probe(*endpoint).healthy ? 1 : 0;
  }
  const SentCounters after = sentOnLoopback();
  std::cout << "{\"reachable\":" << (reachable ? "true" : "false") << ",\"healthy\":" << healthy
            << ",\"bytes_both_ways\":" << (after.bytes - before.bytes) / kProbes
            << ",\"packets\":" << (after.packets - before.packets) / kProbes << "}\n";
  return reachable ? 0 : 1;
}
