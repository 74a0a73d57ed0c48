/**
 * @file Failure detection: decides which silent hosts count as dead.
 *
 * Flows of a dead host are reset (dead_host_flows.h), so a false positive breaks working flows.
 * Decision logic without I/O.
 */
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "common/base/time.h"
#include "common/messages/peer_messages.h"
#include "common/token/flow_progress.h"
#include "common/token/path_record.h"
#include "common/token/token_hosts.h"

namespace umberhold {

/** Whose callers observed the silence. */
enum class SilenceSource : uint8_t {
  /** Callers of this node. */
  kNode,
  /** Callers of several nodes of the zone; see ZoneSilence. */
  kZone,
  kCount,
};

/** @return the snake_case name of a source. */
std::string_view toString(SilenceSource source);

/** Decision on a silent host. */
enum class SilenceOutcome : uint8_t {
  /** The host counts as dead for a while unless it answers. */
  kDead,
  /**
   * Too many hosts of the pool are silent at once, so the path to them is more likely to have
   * failed.
   */
  kSpared,
  kCount,
};

/** @return the snake_case name of an outcome. */
std::string_view toString(SilenceOutcome outcome);

/** One verdict with the evidence of this node; for logs. */
struct SilenceVerdict {
  SilenceOutcome outcome = SilenceOutcome::kDead;
  SilenceSource source = SilenceSource::kNode;
  std::string pool;
  std::string host;
  /**
   * Callers of this node, at most SilenceEvidence::kMaxCallers, and retransmissions of their data.
   */
  size_t callers = 0;
  uint32_t copies = 0;
  /** Time since the first transmission of the earliest unacknowledged data. */
  Duration silentFor{0};
  /** Time since the last retransmission; unset if this node saw none. */
  std::optional<Duration> sinceCopy;
  /** Time since the last acknowledgement; unset if there was none. */
  std::optional<Duration> sinceAnswer;
  /**
   * Time since the transmission of the latest data that another host answered; unset if unknown.
   */
  std::optional<Duration> sinceOvertaking;
  /** Number of active hosts of the pool, and of those among them with unacknowledged data. */
  size_t active = 0;
  size_t silent = 0;
};

/** Number of verdicts by SilenceOutcome and SilenceSource. */
using SilenceCounters = std::array<std::array<uint64_t, static_cast<size_t>(SilenceSource::kCount)>,
                                   static_cast<size_t>(SilenceOutcome::kCount)>;

/** Not thread safe. */
class SilenceDetector {
 public:
  /** @param hosts borrowed; must outlive the object. */
  explicit SilenceDetector(TokenHosts& hosts) : hosts_(hosts) {}

  /**
   * Records an answer of a host. Must precede SilenceEvidence::onAnswered().
   * @param sentAt first transmission of the data that was answered.
   * @param copies how often that data had passed.
   */
  void onAnswered(TimePoint now, uint32_t token, TimePoint sentAt, uint32_t copies = 1);
  /**
   * Discards the evidence that was gathered while this node's path lost packets to live hosts.
   * @return flow tokens of the hosts concerned.
   */
  std::vector<uint32_t> discardUnreliableEvidence();
  /**
   * Records a retransmission of data that a host left unacknowledged, as evidence against the host
   * only if this node's path worked when the previous copy was sent.
   * @param caller address of the caller.
   */
  void recordCopy(TimePoint now, TokenHost& host, const PacketProgress& progress, uint32_t caller);
  /**
   * Packets to live hosts are answered roughly in the order in which they were sent. If the node,
   * the path or all hosts are slow, a retransmission alone is therefore no evidence. This follows
   * the idea of RACK in TCP (RFC 8985).
   * @param since first transmission of the earliest data that the host left unacknowledged.
   * @return whether another host answered data that was sent at least kMinSilence later, and this
   * node's path lost little since then. True if no other host answered recently, because there is
   * nothing to compare with.
   */
  bool isOvertaken(TimePoint now, uint32_t token, TimePoint since) const;
  /**
   * @return whether what this node alone has seen shows that the host is silent and not the path to
   * it: data sent over at least kMinSilence was missed while this node's path worked, other hosts
   * answered enough data sent in that time, and one of them data sent later.
   */
  bool isSilentOnWorkingPath(TimePoint now, const TokenHost& host) const;
  /**
   * @return the time since the transmission of the latest data that a host other than this one
   * answered; nothing if no other host answered recently.
   */
  std::optional<Duration> sinceOvertaking(TimePoint now, uint32_t token) const;
  /**
   * Handles a retransmission of data that a host left unacknowledged.
   * @return the host's token if the host counts as dead.
   */
  std::set<uint32_t> onCopy(TimePoint now, const TokenHost& host);
  /**
   * Handles hosts that are silent to all nodes of the zone.
   * @return tokens of those that count as dead.
   */
  std::set<uint32_t> onZoneSilent(TimePoint now, const std::vector<SilentHost>& silentHosts);

  /**
   * @return the verdicts since the last call; each host's verdict is reported once while it
   * lasts.
   */
  std::vector<SilenceVerdict> takeVerdicts() { return std::exchange(verdicts_, {}); }
  const SilenceCounters& counters() const { return counters_; }

 private:
  /** @param silent hosts by token, with the time until which each counts as dead. */
  std::set<uint32_t> decide(TimePoint now, const std::map<uint32_t, TimePoint>& silent,
                            SilenceSource source);
  /** @return whether at most half of the pool's active hosts would be dead, including these. */
  bool leavesEnoughHosts(TimePoint now, const TokenPool& pool,
                         const std::map<uint32_t, TimePoint>& silent) const;
  /** Remembers that there is evidence against the host. */
  void suspect(uint32_t token);
  void record(TimePoint now, const TokenHost& host, const TokenPool& pool, SilenceOutcome outcome,
              SilenceSource source);

  struct LatestAnswer {
    /** 0: none. */
    uint32_t token = 0;
    /** First transmission of the latest data that the host answered. */
    TimePoint sentAt{};
    /** Time of its last answer. */
    TimePoint at{};
  };
  /** @return the latest answer of another host; nullptr if none is recent enough. */
  const LatestAnswer* latestAnswerOfOther(TimePoint now, uint32_t token) const;

  struct ActiveVerdict {
    SilenceOutcome outcome = SilenceOutcome::kDead;
    TimePoint until{};
  };

  TokenHosts& hosts_;
  PathRecord path_;
  /** Flow tokens of the hosts with evidence against them, as far as it has not been withdrawn. */
  std::set<uint32_t> suspected_;
  bool hasNewLoss_ = false;
  /** The host that answered last, and the last one that differs from it. */
  LatestAnswer latest_;
  LatestAnswer previous_;
  /** Recorded verdicts that have not expired yet, by flow token. */
  std::unordered_map<uint32_t, ActiveVerdict> activeVerdicts_;
  std::vector<SilenceVerdict> verdicts_;
  SilenceCounters counters_{};
};

}  // namespace umberhold
