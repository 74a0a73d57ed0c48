/**
 * @file Which silent hosts a node takes for dead, and by which signs.
 *
 * Flows of a dead host are reset (dead_host_flows.h), so a wrong verdict breaks flows that live.
 * Decision logic without I/O.
 */
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "common/base/time.h"
#include "common/messages/peer_messages.h"
#include "common/token/token_hosts.h"

namespace umberhold {

/** Whose callers a host is silent to. */
enum class SilenceSource : uint8_t {
  /** Those of this node. */
  kNode,
  /** Those of several nodes of the zone; see ZoneSilence. */
  kZone,
  kCount,
};

/** @return the snake_case name of a source. */
std::string_view toString(SilenceSource source);

/** What became of a silent host. */
enum class SilenceOutcome : uint8_t {
  /** It counts as dead for a while, unless it answers. */
  kDead,
  /** Too many hosts of its pool are silent with it: rather the path to them is broken. */
  kSpared,
  kCount,
};

/** @return the snake_case name of an outcome. */
std::string_view toString(SilenceOutcome outcome);

/** One verdict with its signs, as this node sees them; for logs. */
struct SilenceVerdict {
  SilenceOutcome outcome = SilenceOutcome::kDead;
  SilenceSource source = SilenceSource::kNode;
  std::string pool;
  std::string host;
  /** Of this node's callers, at most SilenceEvidence::kMaxCallers, and copies of their data. */
  size_t callers = 0;
  uint32_t copies = 0;
  /** Since the first data that the host left unacknowledged was sent. */
  Duration silentFor{0};
  /** Since the last copy; nothing where this node saw none. */
  std::optional<Duration> sinceCopy;
  /** Since its last sign of life; nothing where there was none. */
  std::optional<Duration> sinceAnswer;
  /** Since what another host answered last was sent; nothing where none is known. */
  std::optional<Duration> sinceOvertaking;
  /** Active hosts of the pool, and those of them that leave data unacknowledged now. */
  size_t active = 0;
  size_t silent = 0;
};

/** Verdicts by SilenceOutcome and SilenceSource. */
using SilenceCounters = std::array<std::array<uint64_t, static_cast<size_t>(SilenceSource::kCount)>,
                                   static_cast<size_t>(SilenceOutcome::kCount)>;

/** Not thread safe. */
class SilenceDetector {
 public:
  /** @param hosts borrowed. */
  explicit SilenceDetector(TokenHosts& hosts) : hosts_(hosts) {}

  /** A host answered. @param sentAt when what it answered was sent first. */
  void onAnswered(TimePoint now, uint32_t token, TimePoint sentAt);
  /**
   * Packets to hosts that live are answered in the order in which they were sent, but for small
   * differences; so where the node, the path or all hosts are slow, a copy alone proves nothing.
   * The idea is that of RACK in TCP (RFC 8985).
   * @param since when the first data was sent that the host left unacknowledged.
   * @return whether another host answered what was sent kMinSilence later. True where none
   * answered anything of late: there is nothing to compare with.
   */
  bool isOvertaken(TimePoint now, uint32_t token, TimePoint since) const;
  /** A host left a copy unacknowledged. @return its token where it counts as dead. */
  std::set<uint32_t> onCopy(TimePoint now, const TokenHost& host);
  /** Hosts are silent to all nodes of the zone. @return the tokens of those that count as dead. */
  std::set<uint32_t> onZoneSilent(TimePoint now, const std::vector<SilentHost>& silentHosts);

  /** @return verdicts since the last call, each host's once for as long as it stands. */
  std::vector<SilenceVerdict> takeVerdicts() { return std::exchange(verdicts_, {}); }
  const SilenceCounters& counters() const { return counters_; }

 private:
  std::set<uint32_t> decide(TimePoint now, const std::set<uint32_t>& tokens, SilenceSource source);
  /** @return whether at most half of the pool's hosts would be dead with these. */
  bool leavesEnoughHosts(TimePoint now, const TokenPool& pool, const std::set<uint32_t>& tokens) const;
  void record(TimePoint now, const TokenHost& host, const TokenPool& pool, SilenceOutcome outcome,
            SilenceSource source);

  struct LatestAnswer {
    /** 0: none is known. */
    uint32_t token = 0;
    /** The latest that it answered was sent then. */
    TimePoint sentAt{};
    /** When its last answer came. */
    TimePoint at{};
  };
  /** @return the latest answer of another host; nullptr where none came of late. */
  const LatestAnswer* latestAnswerOfOther(TimePoint now, uint32_t token) const;

  struct ActiveVerdict {
    SilenceOutcome outcome = SilenceOutcome::kDead;
    TimePoint until{};
  };

  TokenHosts& hosts_;
  /** The host that answered last, and the last one beside it. */
  LatestAnswer latest_;
  LatestAnswer previous_;
  /** By flow token: the verdicts that were noted and are not over yet. */
  std::unordered_map<uint32_t, ActiveVerdict> activeVerdicts_;
  std::vector<SilenceVerdict> verdicts_;
  SilenceCounters counters_{};
};

}  // namespace umberhold
