/**
 * @file The hosts that flow tokens name, and the pools that list them.
 *
 * A host that its pool no longer lists is remembered for the longest life of a flow, since its open
 * flows go on.
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

/** @return the flow token of a host's incarnation; the same on every node, never 0. */
uint32_t flowTokenOf(uint64_t incarnation);

/** What became of a host with a change of its pool. */
enum class HostChangeKind : uint8_t {
  /** New, or back after it had left. */
  kAdded,
  /** It takes no new flows any more; open ones go on. */
  kDraining,
  /** It was draining and takes new flows again. */
  kActive,
  /** No pool lists it any more; its open flows go on. */
  kLeft,
  /** It is cold: it gets few new flows for a while. */
  kCold,
  /** It left, and a host that appeared later has its endpoint. */
  kEnded,
  /** It started again under its id: it holds no flow of its earlier life. */
  kRestarted,
};

/** @return the snake_case name of a kind. */
std::string_view toString(HostChangeKind kind);

/** One host's change, for logs. */
struct HostChange {
  HostChangeKind kind = HostChangeKind::kAdded;
  std::string pool;
  HostSpec host;
  /** When it was born, where it is reborn and that is known. */
  std::optional<TimePoint> startedAt{};
};

/** A host, listed or not. */
struct TokenHost {
  uint32_t token = 0;
  HostSpec spec;
  HostId id;
  std::string pool;
  /** Whether the pool lists it now. */
  bool listed = true;
  /** When it was last listed; meaningful while it isn't. */
  TimePoint leftAt{};
  /** When a pool first listed it; hosts of one list have one instant. */
  TimePoint firstSeen{};
  /** What others saw before this says nothing of its present life; unset: no such time is known. */
  std::optional<TimePoint> evidenceValidFrom{};
  /** It left, and a host that appeared later has its endpoint: this incarnation has ended. */
  bool ended = false;
  /** It answered far later than its pool's median at the pool's last placement. */
  bool slow = false;
  HostEstimate estimate;
  KnownSpeed speed;
  /** Its learnt speed is low; see TokenDirector::applySpeeds. */
  bool speedIsLow = false;
  SilenceEvidence silence;
  /** It is silent to several nodes or flows: until then it counts as dead, unless it answers. */
  TimePoint deadUntil{};
  /** Its signs changed since they were last taken. */
  bool isAckStatePending = false;
  ColdAllotment cold;
  /** It said again how long it is cold. */
  bool hasNewColdTime = false;

  /** @return whether news as of that time is of the host's present life. */
  bool isCurrentGenerationAt(TimePoint time) const { return !evidenceValidFrom || time >= *evidenceValidFrom; }
  bool isDead(TimePoint now) const { return now < deadUntil; }
  bool isActive() const { return listed && spec.state == HostState::kActive; }
};

/** Weight of a new sample in a zone's score, which many hosts feed. */
constexpr double kZoneSampleWeight = 0.125;

/** A pool's hosts. */
struct TokenPool {
  /** All that it lists, and those that left and are still remembered. Borrowed from TokenHosts. */
  std::vector<TokenHost*> hosts;
  /** Of the hosts that it lists as active, and the number of their zones. */
  uint32_t slots = 0;
  uint32_t zoneCount = 0;
  ColdLimit cold{};
  /** Answers of late by zone, of the hosts that aren't slow themselves. */
  std::map<std::string, ResponseScore, std::less<>> zones;
  /** Of this node's callers, at all hosts of the pool. */
  RequestsUnderWay requestsInFlight;
  /** Version of the catalogue that the pool is from, and when this node applied it. */
  uint64_t version = 0;
  TimePoint appliedAt{};

  /** @return the score of a zone; a usual one where nothing is known. */
  double zoneScore(TimePoint now, std::string_view zone) const;
};

/** Not thread safe. */
class TokenHosts {
 public:
  /** @param flowLife how long hosts that left are remembered. */
  explicit TokenHosts(Duration flowLife) : flowLife_(flowLife) {}

  /**
   * Adds or replaces a pool, by name; hosts that it no longer lists keep their open flows.
   * @param version of the catalogue that the pool is from; for logs only.
   * @return what changed for its hosts.
   */
  std::vector<HostChange> setPool(TimePoint now, const HostPool& pool, uint64_t version);
  std::vector<HostChange> removePool(TimePoint now, const std::string& name, uint64_t version);
  void setFlowLife(Duration flowLife) { flowLife_ = flowLife; }

  /** The time by both clocks, for the births in pools that are set later. */
  void setWallClock(const WallClock& clock) { clock_ = clock; }
  /** @return the host that a token names; nullptr where none does. Valid until the next change. */
  TokenHost* find(uint32_t token);
  /** @return the pool; nullptr where it has not arrived. Valid until the next change. */
  TokenPool* findPool(const std::string& name);
  const TokenPool* findPool(const std::string& name) const;
  /** @param visit called with each pool; it must not change which there are. */
  template <class Visit>
  void forEachPool(const Visit& visit) const {
    for (const auto& [name, pool] : pools_) {
      visit(pool);
    }
  }
  /** @return hosts that some pool lists. */
  size_t listedCount() const;
  size_t coldCount(TimePoint now) const;

 private:
  void addOrUpdate(TimePoint now, const std::string& pool, const HostSpec& spec,
             std::vector<HostChange>& changes);
  /** The host started again: nothing of its earlier life counts for this one. */
  void beginGeneration(TimePoint now, TokenHost& host, const HostSpec& spec) const;
  /** Marks those that the new list lacks. */
  void markLeft(TimePoint now, const HostPool& pool, std::vector<HostChange>& changes);
  /** Finds the hosts that have ended: a later one has their endpoint. Of two hosts in one list
   * neither counts as later. */
  void markEnded(std::vector<HostChange>& changes);
  void removeExpired(TimePoint now);
  /** Rebuilds the pools' lists of hosts, and what is counted of them. */
  void indexByPool();

  Duration flowLife_;
  WallClock clock_;
  std::unordered_map<uint32_t, TokenHost> hosts_;
  std::unordered_map<std::string, TokenPool> pools_;
};

}  // namespace umberhold
