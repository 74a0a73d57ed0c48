/**
 * @file A line for each decision that touches a flow or a request, under budgets; and the counts of
 * them that metrics tell.
 *
 * docs/OPERATIONS.md, "The log of a node with the strategy token", lists the events and fields.
 */
#pragma once

#include <glog/logging.h>

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "common/log/line_budget.h"
#include "common/packet/packet_format.h"
#include "common/packet/packet_observer.h"

namespace umberhold {

/** New flows of one host pool. */
struct OpenedFlows {
  uint64_t ownZone = 0;
  uint64_t otherZone = 0;
};

/** A pool without room, and the one that took flows instead. */
struct OverflowPair {
  std::string from;
  std::string to;

  bool operator<(const OverflowPair& other) const {
    return from != other.from ? from < other.from : to < other.to;
  }
};

/** What the log saw, whether it wrote a line or not. */
struct FlowLogCounters {
  std::map<std::string, OpenedFlows, std::less<>> openedByPool;
  /** New flows that another part of their split took; beyond kMostOverflowPairs under "other". */
  std::map<OverflowPair, uint64_t> overflowed;
  /** Openings whose earlier copy a host had left unanswered. */
  uint64_t repeatedOpenings = 0;
  uint64_t requests = 0;
  /** Resets that callers sent. */
  uint64_t callerResets = 0;
  /** By RefusalReason. */
  std::array<uint64_t, static_cast<size_t>(RefusalReason::kCount)> refused{};
  /** Flows that were reset without a packet of theirs, by RefusalReason. */
  std::array<uint64_t, static_cast<size_t>(RefusalReason::kCount)> reset{};
};

/** Not thread safe. */
class FlowLog : public PacketObserver {
 public:
  /**
   * @param sink borrowed; where lines go. nullptr: nothing is written, only counted.
   * @param format borrowed; reads packets that were dropped unread.
   * @param requestHeader the header that names a request; empty: none does.
   */
  FlowLog(google::LogSink* sink, const PacketFormat& format, std::string requestHeader);

  // PacketObserver
  void onDecided(TimePoint now, const ParsedPacket& packet, const FlowDecision& decision,
                 std::string_view bytes) override;
  void onDropped(TimePoint now, DropReason reason, std::string_view bytes) override;
  void onReset(TimePoint now, const ResetFlow& decision) override;

  /** @return whether a line of the kind may be written now; tells of suppressed ones first. */
  bool admit(TimePoint now, LineKind kind);
  google::LogSink* sink() const { return sink_; }

  void setRequestHeader(std::string header) { requestHeader_ = std::move(header); }
  const FlowLogCounters& counters() const { return counters_; }
  const LineBudget& budget() const { return budget_; }

 private:
  /** A packet with what its data tells. */
  struct Seen {
    TimePoint now;
    const ParsedPacket& packet;
    std::string_view requestId;
  };

  std::string_view requestOf(const ParsedPacket& packet, std::string_view bytes) const;
  void log(const Seen& seen, const ForwardToHost& decision);
  void log(const Seen& seen, const RefuseFlow& decision);
  void log(const Seen& seen, const DropPacket& decision);
  void log(const Seen& seen, const RelayToNode& decision);
  void log(const Seen& seen, const HoldPacket& decision);
  void countOverflow(const ForwardToHost& decision);
  void logPlacement(const Seen& seen, const ForwardToHost& decision);
  void logRequest(const Seen& seen, const ForwardToHost& decision);
  void logCallerReset(const Seen& seen, const ForwardToHost& decision);

  google::LogSink* const sink_;
  const PacketFormat& format_;
  std::string requestHeader_;
  LineBudget budget_;
  FlowLogCounters counters_;
};

}  // namespace umberhold
