/**
 * @file The hosts that flow tokens identify, and the pools that list them.
 *
 * A host that its pool no longer lists is kept for the maximum lifetime of a flow, because its open
 * flows continue.
 */
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "common/admission/requests_under_way.h"
#include "common/base/strong_id.h"
#include "common/base/time.h"
#include "common/config/service.h"
#include "common/speed/known_speed.h"
#include "common/token/cold_hosts.h"
#include "common/token/host_estimate.h"
#include "common/token/host_life.h"
#include "common/token/response_score.h"
#include "common/token/silence_evidence.h"

namespace umberhold {

/** @return the flow token of a host's incarnation; identical on all nodes, never 0. */
uint32_t flowTokenOf(uint64_t incarnation);

/** How a pool update affects a host. */
enum class HostChangeKind : uint8_t {
  /** New, or listed again after it had left. */
  kAdded,
  /** Takes no new flows; open flows continue. */
  kDraining,
  /** Was draining and takes new flows again. */
  kActive,
  /** No longer listed by any pool; open flows continue. */
  kLeft,
  /** Is cold: receives few new flows for a while. */
  kCold,
  /** Has left, and a host that appeared later uses its endpoint. */
  kEnded,
  /** Restarted under the same id; it holds no flow of its previous generation. */
  kRestarted,
};

/** @return the snake_case name of a kind. */
std::string_view toString(HostChangeKind kind);

/** A change of one host, for logs. */
struct HostChange {
  HostChangeKind kind = HostChangeKind::kAdded;
  std::string pool;
  HostSpec host;
  /** Start time of a restarted host, if known. */
  std::optional<TimePoint> startedAt{};
  /** Name of the host that uses the endpoint of an ended host. */
  std::string successor{};
};

/** A host, listed or not. */
struct TokenHost {
  uint32_t token = 0;
  HostSpec spec;
  HostId id;
  std::string pool;
  /** Whether the pool currently lists the host. */
  bool listed = true;
  /** When it was last listed; meaningful only if it is not listed now. */
  TimePoint leftAt{};
  /** When a pool first listed it; identical for all hosts of one list. */
  TimePoint firstSeen{};
  /**
   * Observations by other nodes from before this time do not apply to the current generation;
   * unset: no such time is known.
   */
  std::optional<TimePoint> evidenceValidFrom{};
  /**
   * The host has left, and a host that appeared later uses its endpoint: this incarnation has
   * terminated.
   */
  bool ended = false;
  /** Its response times were far above the pool's median at the last placement in the pool. */
  bool slow = false;
  HostEstimate estimate;
  KnownSpeed speed;
  /** Its estimated speed is low; see HostSpeeds. */
  bool speedIsLow = false;
  SilenceEvidence silence;
  /** Silent to several nodes or flows: counts as dead until this time unless it answers. */
  TimePoint deadUntil{};
  /** Its acknowledgement state changed since it was last reported. */
  bool isAckStatePending = false;
  ColdAllotment cold;
  /** The last pool update contained a new remaining cold time. */
  bool hasNewColdTime = false;

  /**
   * @return whether an observation made at this time applies to the current generation of the host.
   */
  bool isCurrentGenerationAt(TimePoint time) const {
    return !evidenceValidFrom || time >= *evidenceValidFrom;
  }
  bool isDead(TimePoint now) const { return now < deadUntil; }
  bool isActive() const { return listed && spec.state == HostState::kActive; }
};

/** Weight of a new sample in the score of a zone, which many hosts contribute to. */
constexpr double kZoneSampleWeight = 0.125;

/** A pool and its hosts. */
struct TokenPool {
  /** All listed hosts, and those that left and are still kept. Borrowed from TokenHosts. */
  std::vector<TokenHost*> hosts;
  /** Total slots of the hosts listed as active, and the number of zones with hosts. */
  uint32_t slots = 0;
  uint32_t zoneCount = 0;
  ColdLimit cold{};
  /** Recent response times by zone, excluding hosts that are slow themselves. */
  std::map<std::string, ResponseScore, std::less<>> zones;
  /** Requests of this node's callers at all hosts of the pool. */
  RequestsUnderWay requestsInFlight;
  /** Version of the catalogue that contained the pool, and when this node applied it. */
  uint64_t version = 0;
  TimePoint appliedAt{};

  /** @return the score of a zone; 1 if nothing is known. */
  double zoneScore(TimePoint now, std::string_view zone) const;
};

/** Not thread safe. */
class TokenHosts {
 public:
  /** @param flowLife how long hosts that have left are kept. */
  explicit TokenHosts(Duration flowLife) : flowLife_(flowLife) {}

  /**
   * Adds or replaces a pool by name. Hosts that it no longer lists keep their open flows.
   * @param version version of the catalogue that contains the pool; for logs only.
   * @return the changes of its hosts.
   */
  std::vector<HostChange> setPool(TimePoint now, const HostPool& pool, uint64_t version);
  std::vector<HostChange> removePool(TimePoint now, const std::string& name, uint64_t version);
  void setFlowLife(Duration flowLife) { flowLife_ = flowLife; }

  /**
   * Sets the current time on both clocks, which converts the start times of hosts in later pool
   * updates.
   */
  void setWallClock(const WallClock& clock) { clock_ = clock; }
  /** @return the host with this token; nullptr if there is none. Valid until the next change. */
  TokenHost* find(uint32_t token);
  /** @return the pool; nullptr if it is not known yet. Valid until the next change. */
  TokenPool* findPool(const std::string& name);
  const TokenPool* findPool(const std::string& name) const;
  /** @param visit called for each pool; must not add or remove pools. */
  template <class Visit>
  void forEachPool(const Visit& visit) const {
    for (const auto& [name, pool] : pools_) {
      visit(pool);
    }
  }
  /** @return the number of hosts that are listed by a pool. */
  size_t listedCount() const;
  size_t coldCount(TimePoint now) const;

 private:
  void addOrUpdate(TimePoint now, const std::string& pool, const HostSpec& spec,
                   std::vector<HostChange>& changes);
  /**
   * Resets the state of a restarted host; observations of its previous generation are discarded.
   */
  void beginGeneration(TimePoint now, TokenHost& host, const HostSpec& spec) const;
  /** Marks the hosts that are missing in the new list. */
  void markLeft(TimePoint now, const HostPool& pool, std::vector<HostChange>& changes);
  /**
   * Marks the hosts that have terminated, which is the case if they have left and a host that
   * appeared later uses their endpoint. Two hosts of one list count as having appeared at the same
   * time.
   */
  void markEnded(std::vector<HostChange>& changes);
  void removeExpired(TimePoint now);
  /** Rebuilds the host lists of the pools and the totals derived from them. */
  void indexByPool();

  Duration flowLife_;
  WallClock clock_;
  std::unordered_map<uint32_t, TokenHost> hosts_;
  std::unordered_map<std::string, TokenPool> pools_;
};

}  // namespace umberhold
