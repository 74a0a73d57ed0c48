/**
 * @file Runs every scenario of the load model with every variant and prints a table of the
 * outcomes.
 *
 * Figures cover all seeds and only the requests issued during events, except that "busiest" counts
 * by the time of arrival at a host and "elsewhere" covers the flows of whole runs.
 * Columns that start with "u" are for the last kind of request, which is the urgent one.
 */
#include <cstdio>
#include <string>

#include "bench/load_model/heavy_days.h"

using namespace umberhold::load_model;

namespace {

constexpr double kPercent = 100.0;
constexpr uint64_t kSeeds = 3;

void printRow(const std::string& scenario, const std::string& variant,
              const LoadScenario& configured) {
  OutcomeCounts sum;
  OutcomeCounts inEvent;
  OutcomeCounts urgent;
  double worstZone = 1.0;
  double bestZone = 0.0;
  double maxToMean = 0.0;
  double otherZone = 0.0;
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    LoadScenario seeded = configured;
    seeded.seed = seed;
    const LoadResult result = runScenario(seeded);
    for (const OutcomeCounts& zone : result.zones) {
      inEvent.issued += zone.issued;
      inEvent.onTime += zone.onTime;
      inEvent.late += zone.late;
      inEvent.refused += zone.refused;
      inEvent.failed += zone.failed;
      worstZone = std::min(worstZone, zone.onTimeFraction());
      bestZone = std::max(bestZone, zone.onTimeFraction());
    }
    urgent.issued += result.kinds.back().issued;
    urgent.onTime += result.kinds.back().onTime;
    urgent.late += result.kinds.back().late;
    maxToMean += result.maxToMeanArrivals / kSeeds;
    otherZone += result.otherZoneFraction / kSeeds;
  }
  std::printf("%-18s %-22s %7.3f %7.3f %7.3f %7.3f %9llu %9llu %8.2f %8.3f %8.3f %8.3f\n",
              scenario.c_str(), variant.c_str(), inEvent.onTimeFraction(), inEvent.servedFraction(),
              worstZone, bestZone, static_cast<unsigned long long>(inEvent.refused),
              static_cast<unsigned long long>(inEvent.failed), maxToMean, otherZone,
              urgent.onTimeFraction(), urgent.servedFraction());
}

}  // namespace

int main() {
  std::printf("%-18s %-22s %7s %7s %7s %7s %9s %9s %8s %8s %8s %8s\n", "day", "way", "on time",
              "served", "worst", "best", "refused", "failed", "busiest", "elsewhere", "u on time",
              "u served");
  for (const NamedScenario& named : scenarios()) {
    for (const NamedVariant& variant : variants()) {
      LoadScenario configured = named.scenario;
      variant.apply(configured);
      printRow(named.name, variant.name, configured);
    }
  }
  return 0;
}
