/**
 * @file Writes a log line for each decision about a flow or a request, within line budgets, and
 * counts the decisions for metrics.
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

/** Numbers of new flows of one host pool, by zone of the host. */
struct OpenedFlows {
  uint64_t ownZone = 0;
  uint64_t otherZone = 0;
};

/** A pool without spare capacity and the pool that received its flows instead. */
struct OverflowPair {
  std::string from;
  std::string to;

  bool operator<(const OverflowPair& other) const {
    return from != other.from ? from < other.from : to < other.to;
  }
};

/** Counts of decisions, whether or not a line was written for them. */
struct FlowLogCounters {
  std::map<std::string, OpenedFlows, std::less<>> openedByPool;
  /** New flows that were placed on another part of their split; pairs beyond kMaxOverflowPairs are
   * counted under "other". */
  std::map<OverflowPair, uint64_t> overflowed;
  /** Retransmitted openings whose earlier copy the host had not answered. */
  uint64_t repeatedOpenings = 0;
  uint64_t requests = 0;
  /** Resets sent by callers. */
  uint64_t callerResets = 0;
  /** By RefusalReason. */
  std::array<uint64_t, static_cast<size_t>(RefusalReason::kCount)> refused{};
  /** Flows that the node reset on its own, not in answer to a packet, by RefusalReason. */
  std::array<uint64_t, static_cast<size_t>(RefusalReason::kCount)> reset{};
};

/** Logs and counts decisions about packets. Not thread safe. */
class FlowLog : public PacketObserver {
 public:
  /**
   * @param sink borrowed; receives the lines. With nullptr, decisions are counted but not logged.
   * @param format borrowed; parses packets that were dropped before parsing.
   * @param requestHeader name of the header with the request identifier; empty for none.
   */
  FlowLog(google::LogSink* sink, const PacketFormat& format, std::string requestHeader);

  // PacketObserver
  void onDecided(TimePoint now, const ParsedPacket& packet, const FlowDecision& decision,
                 std::string_view bytes) override;
  void onDropped(TimePoint now, DropReason reason, std::string_view bytes) override;
  void onReset(TimePoint now, const ResetFlow& decision) override;

  /** @return whether a line of the kind may be written now. Logs the number of lines suppressed
   * before, if any. */
  bool admit(TimePoint now, LineKind kind);
  google::LogSink* sink() const { return sink_; }

  void setRequestHeader(std::string header) { requestHeader_ = std::move(header); }
  const FlowLogCounters& counters() const { return counters_; }
  const LineBudget& budget() const { return budget_; }

 private:
  /** A packet with the request identifier from its payload. */
  struct PacketContext {
    TimePoint now;
    const ParsedPacket& packet;
    std::string_view requestId;
  };

  std::string_view requestOf(const ParsedPacket& packet, std::string_view bytes) const;
  void log(const PacketContext& context, const ForwardToHost& decision);
  void log(const PacketContext& context, const RefuseFlow& decision);
  void log(const PacketContext& context, const DropPacket& decision);
  void log(const PacketContext& context, const RelayToNode& decision);
  void log(const PacketContext& context, const HoldPacket& decision);
  void countOverflow(const ForwardToHost& decision);
  void logPlacement(const PacketContext& context, const ForwardToHost& decision);
  void logRequest(const PacketContext& context, const ForwardToHost& decision);
  void logCallerReset(const PacketContext& context, const ForwardToHost& decision);

  google::LogSink* const sink_;
  const PacketFormat& format_;
  std::string requestHeader_;
  LineBudget budget_;
  FlowLogCounters counters_;
};

}  // namespace umberhold
