#include "test/soak/world/host_fleet.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "common/base/hash.h"

namespace umberhold::soak {
namespace {

constexpr uint32_t kSlots = 60;
constexpr uint32_t kHeartbeatsUntilGone = 3;
/** How long a host that leaves outlives its bound, as a part of it. What reaches it then shows a
 * fault: with 0 to 1 times, a sabotage that sends it openings went unseen in 1 of 3 runs. */
constexpr double kShortestStay = 0.5;
constexpr double kLongestStay = 2.0;
/** Every so many-th host that leaves loses its entry without saying that it drains. */
constexpr uint64_t kSilentLeavers = 3;
/** Work time of the fastest host, and by how much a slower one exceeds it at most. */
constexpr uint64_t kFastestMillis = 5;
constexpr uint64_t kSlowerMillis = 20;
constexpr uint32_t kSlotsOfHost = 2;
constexpr uint32_t kQueue = 8;

Duration partOf(Duration most, double part) {
  return Duration{static_cast<Duration::rep>(static_cast<double>(most.count()) * part)};
}

uint64_t unixMillis() {
  const auto since = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(since).count());
}

std::string idOf(uint64_t incarnation) {
  constexpr const char* kDigits = "0123456789abcdef";
  std::string digits;
  for (int shift = 28; shift >= 0; shift -= 4) {
    digits.push_back(kDigits[(incarnation >> static_cast<unsigned>(shift)) & 0xFU]);
  }
  return "i-" + digits;
}

}  // namespace

HostFleet::HostFleet(const DeploymentPlan& plan, test::StandinObjects& objects,
                     std::function<HostHooks(size_t)> hooks, RandomSource& random, SoakLoad load)
    : plan_(plan), objects_(objects), hooks_(std::move(hooks)), random_(random), load_(load) {
  for (uint32_t number = 0; number < kSlots; ++number) {
    slots_.emplace_back().address = plan_.hostAddress(number);
  }
}

std::optional<size_t> HostFleet::freeSlot(TimePoint now) const {
  for (size_t slot = 0; slot < slots_.size(); ++slot) {
    if (!slots_[slot].host && now >= slots_[slot].freeAt && !reuses_.contains(slot)) {
      return slot;
    }
  }
  return std::nullopt;
}

std::optional<size_t> HostFleet::start(TimePoint now, const std::string& service,
                                       const std::string& zone) {
  const auto slot = freeSlot(now);
  if (slot) {
    startAt(*slot, service, zone);
  }
  return slot;
}

void HostFleet::startAt(size_t slot, const std::string& service, const std::string& zone) {
  HostPlan host;
  host.incarnation = mixHash(nextIncarnation_++, 0) & 0xFFFFFFFFU;
  host.id = idOf(host.incarnation);
  host.service = service;
  host.zone = zone;
  host.address = slots_[slot].address;
  if (load_ == SoakLoad::kHard) {
    host.work = std::chrono::milliseconds(kFastestMillis + host.incarnation % kSlowerMillis);
    host.slots = kSlotsOfHost;
    host.queue = kQueue;
    host.mostFlows = kMostFlows;
    host.born = unixMillis();
  }
  runHost(slot, host);
}

void HostFleet::restart(size_t slot) {
  HostPlan host = slots_[slot].host->plan();
  host.born = std::max(unixMillis(), host.born + 1);
  runHost(slot, host);
}

void HostFleet::runHost(size_t slot, HostPlan host) {
  HostSlot fresh;
  fresh.address = host.address;
  fresh.host = std::make_unique<SoakHost>(std::move(host), hooks_(slot), random_);
  slots_[slot] = std::move(fresh);
  enter(slots_[slot]);
}

void HostFleet::enter(const HostSlot& slot) {
  const HostPlan& host = slot.host->plan();
  const bool draining = slot.host->mood() == HostMood::kDraining;
  objects_.set("servers", host.id,
               R"({"service":")" + host.service + R"(","address":")" + toString(host.address) +
                   R"(","zone":")" + host.zone + R"(","version":"v1","slots":2,"state":")" +
                   (draining ? "draining" : "ready") + R"(","cold_remaining_ms":0,"sequence":1)" +
                   (host.born == 0 ? "" : R"(,"born":)" + std::to_string(host.born)) + "}");
}

void HostFleet::withdraw(const HostSlot& slot) {
  objects_.remove("servers", slot.host->plan().id, 0);
}

void HostFleet::replace(TimePoint now, size_t slot) {
  const HostPlan old = slots_[slot].host->plan();
  if (!start(now, old.service, old.zone)) {
    return;
  }
  leave(now, slot);
}

void HostFleet::leave(TimePoint now, size_t slot) {
  HostSlot& leaving = slots_[slot];
  leaving.leavesSilently = random_.below(kSilentLeavers) == 0;
  leaving.leavesSince = now;
  const double outlives = kShortestStay + (kLongestStay - kShortestStay) * random_.unit();
  leaving.endsAt = now + plan_.bounds().drain + partOf(plan_.bounds().drain, outlives);
  if (leaving.leavesSilently) {
    withdraw(leaving);
  } else {
    leaving.host->drain();
    enter(leaving);
  }
}

void HostFleet::crash(TimePoint now, size_t slot) {
  HostSlot& struck = slots_[slot];
  struck.host->end();
  struck.entryGoesAt = now + kHeartbeatsUntilGone * plan_.bounds().heartbeat;
}

void HostFleet::crashAndReuse(TimePoint now, size_t slot) {
  const bool isDispatch = slots_[slot].host->plan().service == "dispatch";
  reuses_[slot] = isDispatch ? "mapstore" : "dispatch";
  crash(now, slot);
}

void HostFleet::lapse() {
  for (const HostSlot& slot : slots_) {
    if (slot.host) {
      withdraw(slot);
    }
  }
}

void HostFleet::registerAll() {
  for (const HostSlot& slot : slots_) {
    if (slot.host && slot.host->mood() != HostMood::kEnded && !slot.leavesSilently) {
      enter(slot);
    }
  }
}

void HostFleet::tick(TimePoint now) {
  for (size_t index = 0; index < slots_.size(); ++index) {
    HostSlot& slot = slots_[index];
    if (!slot.host) {
      const auto reuse = reuses_.find(index);
      if (reuse != reuses_.end() && now >= slot.freeAt) {
        startAt(index, reuse->second, plan_.zones()[index % plan_.zones().size()]);
        reuses_.erase(index);
      }
      continue;
    }
    slot.host->tick(now);
    if (now >= slot.endsAt || now >= slot.entryGoesAt) {
      slot.host->end();
      withdraw(slot);
      slot.host.reset();
      slot.endsAt = slot.entryGoesAt = TimePoint::max();
      slot.freeAt = now + plan_.bounds().reuse;
    }
  }
}

std::vector<size_t> HostFleet::serving() const {
  std::vector<size_t> found;
  for (size_t slot = 0; slot < slots_.size(); ++slot) {
    const HostSlot& candidate = slots_[slot];
    if (candidate.host && candidate.host->mood() == HostMood::kServing && !candidate.leavesSince) {
      found.push_back(slot);
    }
  }
  return found;
}

std::vector<size_t> HostFleet::serving(const std::string& service) const {
  std::vector<size_t> found = serving();
  std::erase_if(found, [this, &service](size_t slot) {
    return slots_[slot].host->plan().service != service;
  });
  return found;
}

std::optional<size_t> HostFleet::holderOf(const FlowName& flow) const {
  for (size_t slot = 0; slot < slots_.size(); ++slot) {
    if (slots_[slot].host && slots_[slot].host->holds(flow)) {
      return slot;
    }
  }
  return std::nullopt;
}

}  // namespace umberhold::soak
