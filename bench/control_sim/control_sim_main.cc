/** @file Simulates the control traffic of one region and prints one line of a Markdown table. */
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
      report.coverageBytes, report.sentBytes, report.sentAndReceivedBytes, report.highestSentBytes,
      report.highestBytes, report.lastDetection.mean(), report.lastDetection.worst(),
      report.undetected, static_cast<unsigned long long>(report.falseDeaths),
      report.falseDeathsPerNodeHour, report.applied.mean(), report.appliedEverywhere.worst(),
      report.provenEverywhere.mean(), report.provenEverywhere.worst(), report.cpuMicroseconds);
}

void printTransfer(uint32_t peers, double loss) {
  constexpr uint32_t kRecords = 21000;
  constexpr size_t kRecordBytes = 500;
  constexpr double kMega = 1e6;
  const auto report = umberhold::measureTransfer(peers, kRecords, kRecordBytes, loss);
  std::printf("| %u | %.0f%% | %.1f | %.1f | %.2f | %.2f | %.2f |\n", peers, loss * 100,
              static_cast<double>(report.storeBytes) / kMega, report.caughtUpSeconds,
              static_cast<double>(report.receivedBytes) / kMega,
              static_cast<double>(report.sentBytes) / kMega,
              static_cast<double>(report.busiestPeerBytes) / kMega);
}

void printReturn(uint32_t settled, uint32_t returning, uint32_t records, size_t recordBytes) {
  const auto report = umberhold::measureReturn(settled, returning, records, recordBytes);
  std::printf("| %u | %u | %zu | %.1f / %.1f (%u late) | %.0f | %.0f | %.0f / %.0f |\n", settled,
              returning, recordBytes, report.halfSeconds, report.allSeconds, report.late,
              report.highestSettled, report.highestReturning, report.meanStarting,
              report.highestStarting);
}

}  // namespace

int main(int argc, char** argv) {
  umberhold::SimulationOptions options;
  TCLAP::CmdLine command("Simulates the control traffic of one region", ' ', "1");
  TCLAP::ValueArg<uint32_t> nodes("n", "nodes", "Nodes of the region", false, 100, "count",
                                  command);
  TCLAP::ValueArg<double> loss("l", "loss", "Share of lost datagrams", false, 0, "share", command);
  TCLAP::ValueArg<uint32_t> seconds("t", "seconds", "Simulated steady time", false, 300, "s",
                                    command);
  TCLAP::ValueArg<uint64_t> seed("s", "seed", "Seed", false, 1, "number", command);
  TCLAP::ValueArg<uint32_t> crashes("c", "crashes", "Crashes to detect", false, 10, "count",
                                    command);
  TCLAP::ValueArg<size_t> eager("e", "eager", "Push records up to this size whole", false,
                                options.spread.maxPushBytes, "bytes", command);
  TCLAP::ValueArg<size_t> fanout("f", "fanout", "Members that a new record is pushed to", false,
                                 options.spread.fanout, "count", command);
  TCLAP::SwitchArg transfer("x", "transfer", "Measure the start of one node with 21,000 records",
                            command);
  TCLAP::ValueArg<uint32_t> returning("r", "return", "Measure the return of so many nodes", false,
                                      0, "count", command);
  TCLAP::ValueArg<uint32_t> records("", "records", "Records of the returning nodes", false, 21000,
                                    "count", command);
  TCLAP::ValueArg<size_t> recordBytes("b", "record-bytes", "Payload of a record", false, 150,
                                      "bytes", command);
  command.parse(argc, argv);
  if (returning.getValue() > 0) {
    printReturn(nodes.getValue(), returning.getValue(), records.getValue(), recordBytes.getValue());
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
