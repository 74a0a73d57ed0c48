/**
 * @file Determines which registered hosts receive new flows while registrations appear, change and
 * vanish.
 *
 * Hosts keep their own registrations alive. A registration that vanishes usually means that the
 * host has left: the host receives no new flows, but its existing flows continue, so it counts as
 * draining for the longest lifetime of a flow. Registrations also vanish when hosts cannot reach
 * the store for a while; such hosts are alive and register again within a heartbeat. Hosts whose
 * registrations vanish during or right after an outage, or together with a large part of their
 * pool, therefore stay active for a grace period.
 *
 * A host that has left must stop receiving new flows within a bound, and a node hears of its end
 * late. Grace periods therefore never count from when this node hears:
 * - without an outage of this node's own, they end HostPresenceOptions::absenceLimit after the last
 *   time at which the registration existed for certain;
 * - after an outage of this node's own, which may have been one of its path only, they end
 *   HostPresenceOptions::outageLimit after the last time at which the store was certainly out of
 *   reach.
 *
 * An endpoint is assigned to another host only
 * after its previous host has ended, so of two hosts with the same endpoint only the later one is
 * alive. Either registration may be wrong, however, as others may write registrations too.
 * Therefore a superseded host only stops receiving new flows while it is still registered, and
 * receives them again once the later registration has ended. It has ended for certain once its own
 * registration has and no grace period is left. Pure decision logic without I/O.
 */
#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "common/base/endpoint.h"
#include "common/base/time.h"
#include "common/config/service.h"

namespace umberhold {

/** One host's registration at one store version. */
struct HostRegistration {
  /** Pool that the host belongs to. */
  std::string pool;
  HostSpec host;
  /** Resource version of the registration's last change. */
  uint64_t version = 0;
  /**
   * Resource version at which the registration was created; orders hosts that share an endpoint.
   */
  uint64_t madeAt = 0;
};

/** A host that gets no new flows because a host that appeared later uses its endpoint. */
struct SupersededHost {
  std::string host;
  /** The host that uses the endpoint. */
  std::string successor;
  Endpoint endpoint;

  bool operator==(const SupersededHost&) const = default;
};

/** Why a host receives new flows although its registration ended. */
enum class GraceCause : uint8_t {
  /** The registration ended while this node could not read the store, or right after. */
  kOutage,
  /** The same for the node from which this node gets its updates. */
  kOutageOfSource,
  /** The registration ended together with a large part of its pool. */
  kMassRemoval,
};

/** @return the snake_case name of a cause. */
std::string_view toString(GraceCause cause);

/** A host that stays active for a grace period after its registration ended. */
struct KeptHost {
  std::string host;
  GraceCause cause = GraceCause::kMassRemoval;
  /** When the registration last existed as far as is known. */
  TimePoint lastPresentAt{};
  /** End of the grace period. */
  TimePoint activeUntil{};
};

/** Grace periods and thresholds. */
struct HostPresenceOptions {
  /**
   * Grace period of a host whose registration vanished although the host may be alive, counted from
   * when the registration last existed for certain.
   */
  Duration vanishedGrace = std::chrono::seconds(2);
  /**
   * Grace period counted from the end of an outage; the longer of the two applies. Live hosts have
   * registered again within 2 s of the store's return.
   */
  Duration outageGrace = std::chrono::milliseconds(2300);
  /**
   * Maximum time from when a registration last existed for certain until its host receives no new
   * flows, unless this node itself lost the store.
   */
  Duration absenceLimit = std::chrono::milliseconds(2700);
  /**
   * Maximum time from when this node last found the store out of reach until hosts whose
   * registrations vanished meanwhile receive no new flows.
   */
  Duration outageLimit = std::chrono::milliseconds(3700);
  /** Time after an outage in which a vanished registration is attributed to the outage. */
  Duration postOutageWindow = std::chrono::seconds(3);
  /**
   * Registrations that vanish within this time count as a mass removal if they are numerous enough.
   */
  Duration massRemovalWindow = std::chrono::seconds(2);
  /**
   * Percentage of a pool above which simultaneous removals are not taken for hosts leaving; at
   * least two hosts.
   */
  uint32_t massRemovalPercent = 33;
  /** How long a host that left is kept as draining: the longest lifetime of a flow. */
  Duration retention = std::chrono::seconds(75);
};

/**
 * The registered hosts. An older version of a registration never replaces a newer one. Not thread
 * safe.
 */
class HostPresence {
 public:
  explicit HostPresence(HostPresenceOptions options = {});

  /** Reports a registration that exists. @return whether it changed anything. */
  bool onRegistered(HostRegistration registration);
  /**
   * Reports that a registration ended.
   * @param version of the event.
   * @param lastPresentAt when the registration last existed for certain. Updates may be delayed,
   * and the grace period counts from the end of the registration and not from its report.
   * @return whether it changed anything.
   */
  bool onRemoved(TimePoint now, const std::string& host, uint64_t version, TimePoint lastPresentAt);
  /**
   * Reports a complete, current list, after its hosts were passed to onRegistered(). Ends the
   * registrations that the list lacks.
   * @param version of the store when the list began: newer registrations may be missing from the
   * list.
   * @param lastPresentAt see onRemoved().
   */
  void onListed(TimePoint now, uint64_t version, const std::set<std::string>& hosts,
                TimePoint lastPresentAt);
  /**
   * Restricts the pools whose hosts supersede other hosts with the same endpoint; until this is
   * called, the hosts of all pools do. Anyone can register an address under the name of a pool that
   * is not configured.
   */
  void setConfiguredPools(std::set<std::string> pools) { configuredPools_ = std::move(pools); }
  /**
   * Reports that this node cannot read the store.
   * @param lostAt a time at which the store was out of reach for certain: when the call was sent
   * that was not answered.
   */
  void onOutage(TimePoint lostAt);
  /** Reports that the store answers, although hosts have not been read again yet. */
  void onReachable(TimePoint now);
  /** Reports that hosts can be read again. */
  void onRecovered(TimePoint now);
  /** Reports the end of an outage that another node had, from which this node gets its updates. */
  void onOutageOfSource(TimePoint endedAt) { sourceRecoveredAt_ = endedAt; }

  /**
   * @return the end of the last outage, of this node or of its source, as long as vanished
   * registrations may be its consequence.
   */
  std::optional<TimePoint> outageEndedAt(TimePoint now) const;

  /**
   * Applies all pending changes. Must be called after each batch of reports, and at nextChange().
   * @return the pools that changed, in full.
   */
  std::vector<HostPool> settle(TimePoint now);
  /** @return the hosts that the last settle() began to treat as superseded. */
  const std::vector<SupersededHost>& newlySuperseded() const { return newlySuperseded_; }
  /** @return the hosts whose grace period began or changed with the last settle(). */
  const std::vector<KeptHost>& newlyKept() const { return newlyKept_; }
  /** @return the registrations that currently exist, including those of superseded hosts. */
  std::vector<HostRegistration> registered() const;
  /** @return the names of registered hosts that are not in the set. */
  std::vector<std::string> registeredExcept(const std::set<std::string>& names) const;
  /** @return the next time at which settle() has to be called. */
  std::optional<TimePoint> nextChange() const;

 private:
  struct Entry {
    HostRegistration registration;
    /** When the end of the registration was reported; nothing while it exists. */
    std::optional<TimePoint> removedAt;
    /** When the registration last existed as far as is known; meaningful only after it ended. */
    TimePoint lastPresentAt{};
    /** Number of the outage of this node during or right after which the registration ended. */
    std::optional<uint64_t> outage;
    /** The same for an outage of the node from which this node gets its updates. */
    bool afterOutageOfSource = false;
    /** Whether the registration ended together with a large part of its pool. */
    bool inMassRemoval = false;
    /** Whether another host uses the endpoint; as of the last settle(). */
    bool isSuperseded = false;
    /** End of the grace period as last reported by newlyKept(). */
    TimePoint reportedUntil{};
  };
  /** The latest hosts with one endpoint: of those that are registered, and of all. */
  struct LatestHosts {
    const HostRegistration* registered = nullptr;
    const HostRegistration* any = nullptr;
  };

  bool maySupersede(const HostRegistration& registration) const {
    return !configuredPools_ || configuredPools_->contains(registration.pool);
  }
  /** @return whether the outage ended so recently that it explains vanished registrations. */
  bool isRecent(TimePoint now, const std::optional<TimePoint>& recoveredAt) const {
    return recoveredAt && now - *recoveredAt <= options_.postOutageWindow;
  }
  bool receivesNewFlows(const Entry& entry, TimePoint now) const;
  /** @return the time until which a host whose registration ended stays active. */
  TimePoint activeUntil(const Entry& entry) const;
  /** @return the end of the grace period during or after an outage of this node. */
  TimePoint outageGraceEnd() const {
    const TimePoint limit = lostAt_ + options_.outageLimit;
    return inOutage_ ? limit : std::min(*recoveredAt_ + options_.outageGrace, limit);
  }
  TimePoint expiresAt(const Entry& entry) const { return *entry.removedAt + options_.retention; }
  bool endedRecently(const Entry& entry, TimePoint now) const;
  void beginOutage(TimePoint lostAt);
  void markMassRemovals(TimePoint now);
  std::unordered_map<Endpoint, LatestHosts> latestHosts() const;
  /** Marks hosts whose endpoint a later host uses. */
  void markSuperseded();
  /** @return whether the host has ended: it left, and a later host uses its endpoint. */
  bool hasEnded(const Entry& entry, TimePoint now) const {
    return entry.isSuperseded && entry.removedAt && now >= activeUntil(entry);
  }
  /** @return whether the registration ended in the last outage of this node, or right after. */
  bool vanishedInLastOutage(const Entry& entry) const { return entry.outage == outage_; }
  GraceCause graceCauseOf(const Entry& entry) const;
  /** Collects hosts whose grace period began or changed. */
  void markKept(TimePoint now);
  void dropExpired(TimePoint now);
  std::map<std::string, HostPool> makePools(TimePoint now) const;

  const HostPresenceOptions options_;
  std::map<std::string, Entry> entries_;
  /** Pools as of the last settle(). */
  std::map<std::string, HostPool> pools_;
  std::vector<SupersededHost> newlySuperseded_;
  std::vector<KeptHost> newlyKept_;
  std::optional<std::set<std::string>> configuredPools_;
  bool inOutage_ = false;
  /** Number of this node's last outage. */
  uint64_t outage_ = 0;
  /** When the store was last out of reach for certain; meaningful after an outage. */
  TimePoint lostAt_{};
  /** When the store answered again in the current outage. */
  std::optional<TimePoint> reachableAt_;
  /** End of this node's last outage. */
  std::optional<TimePoint> recoveredAt_;
  /** End of the last outage of the node from which this node gets its updates. */
  std::optional<TimePoint> sourceRecoveredAt_;
  TimePoint settledAt_;
};

}  // namespace umberhold
