#include "bench/load_model/heavy_days.h"

namespace umberhold::load_model {
namespace {

/** A limit that no load reaches. */
constexpr double kNever = 1e9;

LoadDay dayWith(const std::vector<LoadEvent>& events) {
  LoadDay day = usualDay();
  day.events = events;
  return day;
}

/** @return a way with so many openings under way for each slot of the hosts. */
std::function<void(LoadDay&)> withOpenings(double openingsPerSlot) {
  return [openingsPerSlot](LoadDay& day) { day.openings.openingsPerSlot = openingsPerSlot; };
}

/** Most hosts of a pool that two services share have left; then three times the users of one kind
 * come. */
LoadDay shortRoom(size_t kind, double users) {
  LoadDay day;
  day.zones = {{"recife", 31, 18, 1160}, {"pecem", 27, 18, 1230}, {"petrolina", 24, 18, 1080}};
  day.kinds = {{40.0, 500.0, 0.67, 2, false}, {52.0, 500.0, 0.33, 1, true}};
  LoadEvent burst;
  burst.from = 5.0;
  burst.to = 11.0;
  burst.users = users;
  burst.kind = kind;
  day.events = {burst};
  day.seconds = 16.0;
  return day;
}

/** @return a way in which a try may take so much of the time that callers allow at its host. */
std::function<void(LoadDay&)> withHostTime(double part) {
  return [part](LoadDay& day) { day.room.hostTimePart = part; };
}

}  // namespace

LoadDay usualDay() {
  LoadDay day;
  day.zones = {{"bole", 25, 40, 1090}, {"piassa", 25, 40, 1070}, {"merkato", 25, 40, 1430}};
  day.kinds = {{22.0, 250.0, 0.67, 2}, {29.0, 300.0, 0.33, 1}};
  return day;
}

std::vector<NamedDay> heavyDays() {
  LoadEvent usual;
  usual.from = 5.0;
  usual.to = 15.0;
  LoadEvent burst = usual;
  burst.users = 3.0;
  burst.to = 11.0;
  LoadEvent strongBurst = burst;
  strongBurst.users = 5.0;
  LoadEvent gone = usual;
  gone.from = 2.0;
  gone.to = 2.1;
  gone.hostsGone = 0.5;
  LoadEvent doubled = burst;
  doubled.users = 2.0;
  LoadEvent tripled = burst;
  LoadEvent mostGone = gone;
  mostGone.hostsGone = 0.6;
  LoadEvent slow = usual;
  slow.slowPart = 0.9;
  slow.slowness = 4.0;
  LoadEvent dark = usual;
  dark.deadPart = 0.25;
  return {{"usual", dayWith({usual})},
          {"burst x 3", dayWith({burst})},
          {"burst x 5", dayWith({strongBurst})},
          {"half gone, x 2", dayWith({gone, doubled})},
          {"most gone, x 3", dayWith({mostGone, tripled})},
          {"nine of ten slow", dayWith({slow})},
          {"a quarter dark", dayWith({dark})},
          {"usual kind x 3", shortRoom(0, 2.34)},
          {"urgent kind x 3", shortRoom(1, 1.66)}};
}

std::vector<NamedWay> ways() {
  const auto keepsFullZones = [](LoadDay& day) { day.placement.fullZoneLoad = kNever; };
  return {{"random", [](LoadDay& day) { day.chooser = Chooser::kRandom; }},
          {"central, all known", [](LoadDay& day) { day.chooser = Chooser::kCentral; }},
          {"zone first", keepsFullZones},
          {"zone until it is full", [](LoadDay&) {}},
          {"no opening waits", withOpenings(0.0)},
          {"3 openings a slot", withOpenings(3.0)},
          {"5 openings a slot", withOpenings(5.0)},
          {"6 openings a slot", withOpenings(6.0)},
          {"no room by times", withHostTime(0.0)},
          {"a fifth at hosts", withHostTime(0.2)},
          {"half at hosts", withHostTime(0.5)},
          {"refused at once", [](LoadDay& day) { day.openings.maxWaitPart = 0.0; }},
          {"full at 0.5", [](LoadDay& day) { day.placement.fullZoneLoad = 0.5; }},
          {"no zone preferred", [](LoadDay& day) { day.placement.prefersOwnZone = false; }}};
}

}  // namespace umberhold::load_model
