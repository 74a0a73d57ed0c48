/** @file Simulates the control traffic of one region and prints one row of a Markdown table. */
#include <tclap/CmdLine.h>

#include <cstdio>

#include "bench/control_sim/region_simulation.h"
#include "bench/control_sim/transfer_measurement.h"

namespace {

void print(const umberhold::SimulationOptions& options, const umberhold::SimulationReport& report) {
  std::printf(
      "| %u | %.0f%% | %.0f + %.0f + %.0f = %.0f | %.0f | %.0f / %.0f | %.1f / %.1f (%u missed) | "
      "%llu "
      "(%.3f) | %.2f / %.2f | %.2f / %.2f | %.0f |\n",
      options.nodes, options.loss * 100, report.membershipBytes, report.spreadBytes,
      report.coverageBytes, report.sentBytes, report.sentAndReceivedBytes, report.maxSentBytes,
      report.maxSentAndReceivedBytes, report.lastDetection.mean(), report.lastDetection.maximum(),
      report.undetected, static_cast<unsigned long long>(report.falseDeaths),
      report.falseDeathsPerNodeHour, report.applied.mean(), report.appliedEverywhere.maximum(),
      report.effectiveEverywhere.mean(), report.effectiveEverywhere.maximum(),
      report.cpuMicroseconds);
}

void printTransfer(uint32_t peers, double loss) {
  constexpr uint32_t kRecords = 21000;
  constexpr size_t kRecordBytes = 500;
  constexpr double kBytesPerMegabyte = 1e6;
  const auto report = umberhold::measureTransfer(peers, kRecords, kRecordBytes, loss);
  std::printf("| %u | %.0f%% | %.1f | %.1f | %.2f | %.2f | %.2f |\n", peers, loss * 100,
              static_cast<double>(report.storeBytes) / kBytesPerMegabyte, report.caughtUpSeconds,
              static_cast<double>(report.receivedBytes) / kBytesPerMegabyte,
              static_cast<double>(report.sentBytes) / kBytesPerMegabyte,
              static_cast<double>(report.maxPeerSentBytes) / kBytesPerMegabyte);
}

void printSimultaneousRestart(uint32_t running, uint32_t returning, uint32_t records,
                              size_t recordBytes) {
  const auto report =
      umberhold::measureSimultaneousRestart(running, returning, records, recordBytes);
  std::printf("| %u | %u | %zu | %.1f / %.1f (%u late) | %.0f | %.0f | %.0f / %.0f |\n", running,
              returning, recordBytes, report.halfSeconds, report.allSeconds, report.late,
              report.maxRunningRate, report.maxReturningRate, report.meanStartingRate,
              report.maxStartingRate);
}

}  // namespace

int main(int argc, char** argv) {
  umberhold::SimulationOptions options;
  TCLAP::CmdLine command("Simulates the control traffic of one region", ' ', "1");
  TCLAP::ValueArg<uint32_t> nodes("n", "nodes", "Number of nodes of the region", false, 100,
                                  "count", command);
  TCLAP::ValueArg<double> loss("l", "loss", "Fraction of datagrams that are lost", false, 0,
                               "share", command);
  TCLAP::ValueArg<uint32_t> seconds(
      "t", "seconds", "Simulated time with usual changes and restarts", false, 300, "s", command);
  TCLAP::ValueArg<uint64_t> seed("s", "seed", "Seed", false, 1, "number", command);
  TCLAP::ValueArg<uint32_t> crashes("c", "crashes", "Number of crashes whose detection is measured",
                                    false, 10, "count", command);
  TCLAP::ValueArg<size_t> eager("e", "eager",
                                "Maximum size of records that are pushed with their payload", false,
                                options.spread.maxPushBytes, "bytes", command);
  TCLAP::ValueArg<size_t> fanout("f", "fanout", "Number of members that a new record is pushed to",
                                 false, options.spread.fanout, "count", command);
  TCLAP::SwitchArg transfer("x", "transfer", "Measure the start of one node with 21,000 records",
                            command);
  TCLAP::ValueArg<uint32_t> returning("r", "return",
                                      "Measure the simultaneous restart of this many nodes", false,
                                      0, "count", command);
  TCLAP::ValueArg<uint32_t> records("", "records", "Number of records with --return", false, 21000,
                                    "count", command);
  TCLAP::ValueArg<size_t> recordBytes("b", "record-bytes", "Payload of a record with --return",
                                      false, 150, "bytes", command);
  command.parse(argc, argv);
  if (returning.getValue() > 0) {
    printSimultaneousRestart(nodes.getValue(), returning.getValue(), records.getValue(),
                             recordBytes.getValue());
    return 0;
  }
  if (transfer.getValue()) {
    printTransfer(nodes.getValue(), loss.getValue());
    return 0;
  }
  options.nodes = nodes.getValue();
  options.loss = loss.getValue();
  options.steadySeconds = seconds.getValue();
  options.seed = seed.getValue();
  options.crashes = crashes.getValue();
  options.spread.maxPushBytes = eager.getValue();
  options.spread.fanout = fanout.getValue();
  print(options, umberhold::RegionSimulation(options).run());
  return 0;
}
