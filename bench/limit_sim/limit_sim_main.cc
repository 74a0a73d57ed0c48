/** @file Compares ways to enforce connection limits. See docs/decisions/0005-connection-limits.md.
 */
#include <tclap/CmdLine.h>

#include <cstdio>

#include "bench/limit_sim/limit_simulation.h"

using namespace umberhold;
using namespace umberhold::limit_sim;

namespace {

const char* nameOf(ConnectionLimitMode mode) {
  switch (mode) {
    case ConnectionLimitMode::kStaticShares:
      return "static shares";
    case ConnectionLimitMode::kLentPermits:
      return "lent permits";
    case ConnectionLimitMode::kUncoordinated:
      return "uncoordinated";
  }
  return "";
}

const char* nameOf(OwnerChanges ownerChanges) {
  switch (ownerChanges) {
    case OwnerChanges::kNone:
      return "none";
    case OwnerChanges::kPlannedHandovers:
      return "moves";
    case OwnerChanges::kFailures:
      return "deaths";
  }
  return "";
}

void printRow(const LimitOptions& options) {
  const LimitResult result = simulate(options);
  const double refusedBelowLimitPercent =
      100.0 * static_cast<double>(result.refusedBelowLimit) / static_cast<double>(result.arrivals);
  std::printf("| %-13s | %-6s | %4.2f | %4.2f | %8lu | %7.2f%% | %5u | %5.1f%% | %4.0f | %4.0f |\n",
              nameOf(options.mode), nameOf(options.ownerChanges), options.load,
              options.firstShardFraction, static_cast<unsigned long>(result.refused),
              refusedBelowLimitPercent, result.maxOvershoot, 100.0 * result.overshootFraction,
              result.permitBytes, result.loadShareBytes);
}

}  // namespace

int main(int argc, char** argv) {
  TCLAP::CmdLine command("Compares ways to enforce connection limits", ' ', "1");
  TCLAP::ValueArg<uint64_t> seed("", "seed", "seed of every run", false, 1, "number", command);
  TCLAP::ValueArg<uint32_t> limit("", "limit", "connection limit of a host", false, 2000, "flows",
                                  command);
  command.parse(argc, argv);
  std::printf(
      "| mode          | owners | load | 1st  | refused  | falsely  | over  | time   |"
      " B/s  | share |\n");
  std::printf(
      "|---------------|--------|------|------|----------|----------|-------|--------|"
      "------|------|\n");
  for (const OwnerChanges ownerChanges :
       {OwnerChanges::kNone, OwnerChanges::kPlannedHandovers, OwnerChanges::kFailures}) {
    for (const double load : {0.90, 0.98, 1.10}) {
      for (const double firstShardFraction : {1.0 / 3.0, 0.5}) {
        for (const ConnectionLimitMode mode :
             {ConnectionLimitMode::kStaticShares, ConnectionLimitMode::kLentPermits,
              ConnectionLimitMode::kUncoordinated}) {
          LimitOptions options;
          options.mode = mode;
          options.ownerChanges = ownerChanges;
          options.load = load;
          options.firstShardFraction = firstShardFraction;
          options.connectionLimit = limit.getValue();
          options.seed = seed.getValue();
          printRow(options);
        }
      }
    }
  }
  return 0;
}
