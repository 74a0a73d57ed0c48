/** @file Plays heavy days and prints, for each way to choose hosts, what callers get. */
#include <cstdio>
#include <string>

#include "bench/load_model/heavy_days.h"

using namespace umberhold::load_model;

namespace {

constexpr double kPercent = 100.0;
constexpr uint64_t kSeeds = 3;

void printRow(const std::string& day, const std::string& way, const LoadDay& played) {
  LoadOutcome sum;
  LoadOutcome inEvent;
  LoadOutcome urgent;
  double worstZone = 1.0;
  double bestZone = 0.0;
  double busiest = 0.0;
  double otherZone = 0.0;
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    LoadDay seeded = played;
    seeded.seed = seed;
    const LoadResult result = playDay(seeded);
    for (const LoadOutcome& zone : result.zones) {
      inEvent.asked += zone.asked;
      inEvent.inAim += zone.inAim;
      inEvent.late += zone.late;
      inEvent.refused += zone.refused;
      inEvent.failed += zone.failed;
      worstZone = std::min(worstZone, zone.inAimPart());
      bestZone = std::max(bestZone, zone.inAimPart());
    }
    urgent.asked += result.kinds.back().asked;
    urgent.inAim += result.kinds.back().inAim;
    urgent.late += result.kinds.back().late;
    busiest += result.busiestToMean / kSeeds;
    otherZone += result.otherZonePart / kSeeds;
  }
  std::printf("%-18s %-22s %7.3f %7.3f %7.3f %7.3f %9llu %9llu %8.2f %8.3f %8.3f %8.3f\n",
              day.c_str(), way.c_str(), inEvent.inAimPart(), inEvent.servedPart(), worstZone,
              bestZone, static_cast<unsigned long long>(inEvent.refused),
              static_cast<unsigned long long>(inEvent.failed), busiest, otherZone,
              urgent.inAimPart(), urgent.servedPart());
}

}  // namespace

int main() {
  std::printf("%-18s %-22s %7s %7s %7s %7s %9s %9s %8s %8s %8s %8s\n", "day", "way", "in aim",
              "served", "worst", "best", "refused", "failed", "busiest", "elsewhere", "u in aim",
              "u served");
  for (const NamedDay& day : heavyDays()) {
    for (const NamedWay& way : ways()) {
      LoadDay played = day.day;
      way.apply(played);
      printRow(day.name, way.name, played);
    }
  }
  return 0;
}
