/** @file The hosts of the platform: who runs at which address, and what the store says of them. */
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "common/base/random.h"
#include "test/platform/store/standin_objects.h"
#include "test/soak/world/deployment_plan.h"
#include "test/soak/world/soak_host.h"

namespace umberhold::soak {

/** One address and the host that has it now. */
struct HostSlot {
  Endpoint address;
  std::unique_ptr<SoakHost> host;
  /** When the host's leaving was acknowledged by the store, by `draining` or by its entry's end. */
  std::optional<TimePoint> leavesSince;
  /** When it is to end, once it leaves. */
  TimePoint endsAt = TimePoint::max();
  /** When the entry of a host that ended without a word goes. */
  TimePoint entryGoesAt = TimePoint::max();
  /** From when on the address may be given again. */
  TimePoint freeAt{};
  /** It loses its entry and serves on. */
  bool leavesSilently = false;
};

/** See the file comment. Not thread safe. */
class HostFleet {
 public:
  /** Open flows of a host at most, under hard load. */
  static constexpr uint32_t kMostFlows = 96;

  /** @param objects, random borrowed. @param hooks what each host tells, given its slot. */
  HostFleet(const DeploymentPlan& plan, test::StandinObjects& objects,
            std::function<HostHooks(size_t slot)> hooks, RandomSource& random, SoakLoad load);

  /** Starts a host of the service at a free address; @return its slot, or nothing if none is free.
   */
  std::optional<size_t> start(TimePoint now, const std::string& service, const std::string& zone);
  /** The host leaves, and ends some time later. */
  void leave(TimePoint now, size_t slot);
  /** The host starts again at once, under its id; it holds nothing of before. */
  void restart(size_t slot);
  /** Starts a successor, and has the host leave. */
  void replace(TimePoint now, size_t slot);
  /** The host ends without a word; its entry goes after three heartbeats. */
  void crash(TimePoint now, size_t slot);
  /** A crashed host's address goes to a host of another service. */
  void crashAndReuse(TimePoint now, size_t slot);
  /** The store loses all entries, as leases run out in an outage; they are back soon. */
  void lapse();
  void registerAll();
  void tick(TimePoint now);

  /** @return slots with a host that takes new flows. */
  std::vector<size_t> serving() const;
  std::vector<size_t> serving(const std::string& service) const;
  /** @return the slot of the living host that holds the flow open. */
  std::optional<size_t> holderOf(const FlowName& flow) const;
  std::vector<HostSlot>& slots() { return slots_; }
  const std::vector<HostSlot>& slots() const { return slots_; }

 private:
  std::optional<size_t> freeSlot(TimePoint now) const;
  void startAt(size_t slot, const std::string& service, const std::string& zone);
  void runHost(size_t slot, HostPlan host);
  void enter(const HostSlot& slot);
  void withdraw(const HostSlot& slot);

  const DeploymentPlan& plan_;
  test::StandinObjects& objects_;
  std::function<HostHooks(size_t)> hooks_;
  RandomSource& random_;
  const SoakLoad load_;
  std::vector<HostSlot> slots_;
  uint64_t nextIncarnation_ = 1;
  /** Reuses that wait for their address: slot and service. */
  std::map<size_t, std::string> reuses_;
};

}  // namespace umberhold::soak
