#include "bench/load_model/heavy_days.h"

namespace umberhold::load_model {
namespace {

/** Load of a zone that is never reached, which disables overflow to other zones. */
constexpr double kUnreachableLimit = 1e9;

LoadScenario scenarioWith(const std::vector<LoadEvent>& events) {
  LoadScenario scenario = baselineScenario();
  scenario.events = events;
  return scenario;
}

/** @return a variant with this value of OpeningLimits::openingsPerSlot. */
std::function<void(LoadScenario&)> withOpenings(double openingsPerSlot) {
  return [openingsPerSlot](LoadScenario& scenario) {
    scenario.openings.openingsPerSlot = openingsPerSlot;
  };
}

/**
 * Two services share a pool most of whose hosts have left. During the burst, one service has three
 * times its usual callers.
 * @param kind index of the service's kind of request.
 * @param callers LoadEvent::callers for this: 1 + 2 * 0.67 for kind 0, 1 + 2 * 0.33 for kind 1.
 */
LoadScenario sharedPoolBurst(size_t kind, double callers) {
  LoadScenario scenario;
  scenario.zones = {{"recife", 31, 18, 1160}, {"pecem", 27, 18, 1230}, {"petrolina", 24, 18, 1080}};
  scenario.kinds = {{40.0, 500.0, 0.67, 2, false}, {52.0, 500.0, 0.33, 1, true}};
  LoadEvent burst;
  burst.from = 5.0;
  burst.to = 11.0;
  burst.callers = callers;
  burst.kind = kind;
  scenario.events = {burst};
  scenario.durationSeconds = 16.0;
  return scenario;
}

/** @return a variant with this value of RoomLimits::hostTimePart. */
std::function<void(LoadScenario&)> withHostTimePart(double part) {
  return [part](LoadScenario& scenario) { scenario.room.hostTimePart = part; };
}

}  // namespace

LoadScenario baselineScenario() {
  LoadScenario scenario;
  scenario.zones = {{"bole", 25, 40, 1090}, {"piassa", 25, 40, 1070}, {"merkato", 25, 40, 1430}};
  scenario.kinds = {{22.0, 250.0, 0.67, 2}, {29.0, 300.0, 0.33, 1}};
  return scenario;
}

std::vector<NamedScenario> scenarios() {
  // Changes nothing; results only count requests issued during events.
  LoadEvent unchanged;
  unchanged.from = 5.0;
  unchanged.to = 15.0;
  LoadEvent burst = unchanged;
  burst.callers = 3.0;
  burst.to = 11.0;
  LoadEvent strongBurst = burst;
  strongBurst.callers = 5.0;
  LoadEvent halfLeaving = unchanged;
  halfLeaving.from = 2.0;
  halfLeaving.to = 2.1;
  halfLeaving.leavingFraction = 0.5;
  LoadEvent doubled = burst;
  doubled.callers = 2.0;
  LoadEvent tripled = burst;
  LoadEvent mostLeaving = halfLeaving;
  mostLeaving.leavingFraction = 0.6;
  LoadEvent mostSlow = unchanged;
  mostSlow.slowFraction = 0.9;
  mostSlow.slowdown = 4.0;
  LoadEvent quarterDead = unchanged;
  quarterDead.deadFraction = 0.25;
  return {{"usual", scenarioWith({unchanged})},
          {"burst x 3", scenarioWith({burst})},
          {"burst x 5", scenarioWith({strongBurst})},
          {"half gone, x 2", scenarioWith({halfLeaving, doubled})},
          {"most gone, x 3", scenarioWith({mostLeaving, tripled})},
          {"nine of ten slow", scenarioWith({mostSlow})},
          {"a quarter dark", scenarioWith({quarterDead})},
          {"usual kind x 3", sharedPoolBurst(0, 2.34)},
          {"urgent kind x 3", sharedPoolBurst(1, 1.66)}};
}

std::vector<NamedVariant> variants() {
  const auto withoutZoneOverflow = [](LoadScenario& scenario) {
    scenario.placement.fullZoneLoad = kUnreachableLimit;
  };
  return {
      {"random", [](LoadScenario& scenario) { scenario.hostSelection = HostSelection::kRandom; }},
      {"central, all known",
       [](LoadScenario& scenario) { scenario.hostSelection = HostSelection::kLeastLoaded; }},
      {"zone first", withoutZoneOverflow},
      {"zone until it is full", [](LoadScenario&) {}},
      {"no opening waits", withOpenings(0.0)},
      {"3 openings a slot", withOpenings(3.0)},
      {"5 openings a slot", withOpenings(5.0)},
      {"6 openings a slot", withOpenings(6.0)},
      {"no room by times", withHostTimePart(0.0)},
      {"a fifth at hosts", withHostTimePart(0.2)},
      {"half at hosts", withHostTimePart(0.5)},
      {"refused at once", [](LoadScenario& scenario) { scenario.openings.maxWaitPart = 0.0; }},
      {"full at 0.5", [](LoadScenario& scenario) { scenario.placement.fullZoneLoad = 0.5; }},
      {"no zone preferred",
       [](LoadScenario& scenario) { scenario.placement.prefersOwnZone = false; }}};
}

}  // namespace umberhold::load_model
