/**
 * @file Which registered hosts take new flows, when registrations come, change and vanish.
 *
 * Hosts keep their registration alive themselves. One that vanishes usually means that its host
 * has left: it takes no new flows any more, but its flows go on, so it counts as draining for as
 * long as a flow may last. Registrations also vanish because the store could not be reached for a
 * while; the hosts live and register again within a heartbeat. So where registrations vanish
 * during or right after an outage, or a large part of a pool at once, the hosts stay active for a
 * short while. An endpoint is given to another host only after its last one has ended, so of two
 * hosts with one endpoint only the later registered lives. Decision logic without I/O.
 */
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "common/base/time.h"
#include "common/config/service.h"

namespace umberhold {

/** One host's registration at one version of the store. */
struct HostRegistration {
  /** HostPool that the host belongs to. */
  std::string pool;
  HostSpec host;
  /** Resource version of the registration's last change. */
  uint64_t version = 0;
  /** Resource version at which the registration was made; orders hosts that share an endpoint. */
  uint64_t madeAt = 0;
};

/** Periods of the rules. */
struct HostPresenceOptions {
  /** How long a host whose registration may have vanished without cause stays active. */
  Duration vanishedGrace = std::chrono::seconds(2);
  /** The same, counted from the end of an outage; the longer of both holds. */
  Duration outageGrace = std::chrono::milliseconds(2500);
  /** How long after an outage a registration's end counts as its consequence. */
  Duration postOutageWindow = std::chrono::seconds(3);
  /** Registrations that vanish within this time count as vanished at once. */
  Duration massRemovalWindow = std::chrono::seconds(2);
  /** Part of a pool, in percent, above which vanishing at once is no leaving; two hosts at least.
   */
  uint32_t massRemovalPercent = 33;
  /** How long a host that left stays known as draining: the longest life of a flow. */
  Duration retention = std::chrono::seconds(75);
};

/** The registered hosts. A registration never replaces a newer one. Not thread safe. */
class HostPresence {
 public:
  explicit HostPresence(HostPresenceOptions options = {});

  /** A registration is there. @return whether it was news. */
  bool onRegistered(HostRegistration registration);
  /**
   * A registration ended.
   * @param version of the event.
   * @param lastPresentAt when it was still there, as far as is known: news may be late, and what a
   * vanished host is granted counts from its end and not from the news.
   * @return whether it was news.
   */
  bool onRemoved(TimePoint now, const std::string& host, uint64_t version, TimePoint lastPresentAt);
  bool onRemoved(TimePoint now, const std::string& host, uint64_t version) {
    return onRemoved(now, host, version, now);
  }
  /**
   * A current list is complete; its hosts were registered before.
   * @param version of the store when the list began: registrations that are newer may lack in it.
   */
  void onListed(TimePoint now, uint64_t version, const std::set<std::string>& hosts);
  /** Only hosts of these pools end others by having their endpoint; until it is called, all do.
   * Anybody may register an address under the name of a pool that is not configured. */
  void setConfiguredPools(std::set<std::string> pools) { namedPools_ = std::move(pools); }
  /** The store can't be read. */
  void onOutage();
  /** The store can be read again. */
  void onRecovered(TimePoint now);

  /** @return when the last outage ended, while registrations that end may be its consequence. */
  std::optional<TimePoint> outageEndedAt(TimePoint now) const;

  /**
   * Applies what is due. Call it after each batch of the above, and at nextChange().
   * @return the pools that changed, in full.
   */
  std::vector<HostPool> settle(TimePoint now);
  /** @return the registrations that are there. */
  std::vector<HostRegistration> registered() const;
  /** @return the names of registered hosts that the set lacks. */
  std::vector<std::string> registeredExcept(const std::set<std::string>& names) const;
  /** @return when settle() has something to do next. */
  std::optional<TimePoint> nextChange() const;

 private:
  struct Entry {
    HostRegistration registration;
    /** When the registration was seen to have ended; none while it is there. */
    std::optional<TimePoint> removedAt;
    /** When it was still there, as far as is known; meaningful where it ended. */
    TimePoint lastPresentAt{};
    /** It ended in an outage or its aftermath. */
    bool afterOutage = false;
    /** It ended together with a large part of its pool. */
    bool withMany = false;
  };

  bool mayClaim(const HostRegistration& registration) const {
    return !namedPools_ || namedPools_->contains(registration.pool);
  }
  bool isAftermath(TimePoint now) const;
  bool takesNewFlows(const Entry& entry, TimePoint now) const;
  /** @return until when a host whose registration ended stays active. */
  TimePoint activeUntil(const Entry& entry) const;
  TimePoint forgottenAt(const Entry& entry) const { return *entry.removedAt + options_.retention; }
  bool endedJustNow(const Entry& entry, TimePoint now) const;
  void markMassRemovals(TimePoint now);
  /** Drops hosts whose endpoint a later one has: they have ended, whatever their registration says.
   */
  void forgetSuperseded();
  void forget(TimePoint now);
  std::map<std::string, HostPool> makePools(TimePoint now) const;

  const HostPresenceOptions options_;
  std::map<std::string, Entry> entries_;
  /** Pools as settle() last gave them. */
  std::map<std::string, HostPool> pools_;
  std::optional<std::set<std::string>> namedPools_;
  bool outage_ = false;
  std::optional<TimePoint> recoveredAt_;
  TimePoint settledAt_;
};

}  // namespace umberhold
