#include "common/server/flow_log.h"

#include <iomanip>
#include <utility>
#include <variant>

#include "common/packet/request_header.h"
#include "common/server/silence_text.h"

namespace umberhold {
namespace {

constexpr const char* kNone = "-";
/** A split of eight parts has 56 pairs; each takes about 200 bytes and one metrics line. */
constexpr size_t kMaxOverflowPairs = 64;
/** Name under which pairs beyond the maximum are counted. */
constexpr const char* kOtherPools = "other";

std::string_view toString(PacketPhase phase) {
  switch (phase) {
    case PacketPhase::kOpening:
      return "opening";
    case PacketPhase::kContinuing:
      return "continuing";
    case PacketPhase::kClosing:
      return "closing";
    case PacketPhase::kReset:
      return "reset";
    case PacketPhase::kUnmarked:
      break;
  }
  return "unmarked";
}

/** Writes "caller>service". */
struct FlowText {
  const FlowKey& key;
};

std::ostream& operator<<(std::ostream& out, const FlowText& flow) {
  return out << toString(flow.key.caller) << ">" << toString(flow.key.service);
}

/** Writes the request's identifier, or "-". */
struct RequestText {
  std::string_view id;
};

std::ostream& operator<<(std::ostream& out, const RequestText& request) {
  return request.id.empty() ? out << kNone : out << printableRequestId(request.id);
}

/** Writes a host with its pool and address. */
struct HostText {
  const ForwardToHost& decision;
};

std::ostream& operator<<(std::ostream& out, const HostText& host) {
  return out << "pool=" << host.decision.label.pool << " host=" << host.decision.label.name
             << " endpoint=" << toString(host.decision.endpoint);
}

int64_t millisecondsOf(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

/** Writes the evidence for a silent host; nothing if there is none. */
struct SilentHostText {
  const SilentHostEvidence* evidence;
};

std::ostream& operator<<(std::ostream& out, const SilentHostText& text) {
  if (text.evidence == nullptr) {
    return out;
  }
  const SilentHostEvidence& evidence = *text.evidence;
  return out << " pool=" << evidence.label.pool << " host=" << evidence.label.name
             << " by=" << (evidence.byVerdict ? "verdict" : "copies")
             << " copies=" << evidence.copies
             << " since_first_ms=" << MillisecondsText{evidence.sinceFirstCopy}
             << " answered_ms=" << MillisecondsText{evidence.sinceAnswer}
             << " overtaken_ms=" << MillisecondsText{evidence.sinceOvertaking};
}

/** Writes the evidence for a placement. */
struct EvidenceText {
  const PlacementEvidence& evidence;
  TimePoint now;
};

std::ostream& operator<<(std::ostream& out, const EvidenceText& text) {
  const PlacementEvidence& evidence = text.evidence;
  return out << " zone=" << (evidence.ownZone ? "own" : "other")
             << " leaves_zone=" << evidence.leavesZone << " silent=" << evidence.silent
             << " vanished=" << evidence.vanished << " slow=" << evidence.slow
             << " slowness=" << std::fixed << std::setprecision(1) << evidence.slowness
             << " zone_score=" << evidence.zoneScore << " load=" << std::fixed
             << std::setprecision(1) << evidence.load << " weight=" << evidence.weight
             << " speed=" << evidence.speed << " candidates=" << evidence.candidates
             << " catalogue=" << evidence.poolVersion
             << " age_ms=" << millisecondsOf(text.now - evidence.poolAppliedAt)
             << (evidence.overflowFrom.empty() ? "" : " overflow_from=") << evidence.overflowFrom;
}

}  // namespace

FlowLog::FlowLog(google::LogSink* sink, const PacketFormat& format, std::string requestHeader)
    : sink_(sink), format_(format), requestHeader_(std::move(requestHeader)) {}

bool FlowLog::admit(TimePoint now, LineKind kind) {
  if (sink_ == nullptr || !budget_.admit(now, kind)) {
    return false;
  }
  const uint64_t suppressed = budget_.takeSuppressed(kind);
  if (suppressed > 0) {
    LOG_TO_SINK_BUT_NOT_TO_LOGFILE(sink_, WARNING)
        << "event=lines_suppressed kind=" << umberhold::toString(kind) << " count=" << suppressed;
  }
  return true;
}

std::string_view FlowLog::requestOf(const ParsedPacket& packet, std::string_view bytes) const {
  const size_t head = packet.networkHeaderLength + packet.transportHeaderLength;
  return bytes.size() <= head ? std::string_view{}
                              : findRequestId(bytes.substr(head), requestHeader_);
}

void FlowLog::onDecided(TimePoint now, const ParsedPacket& packet, const FlowDecision& decision,
                        std::string_view bytes) {
  const PacketContext context{now, packet, requestOf(packet, bytes)};
  std::visit([&](const auto& chosen) { log(context, chosen); }, decision);
}

void FlowLog::onDropped(TimePoint now, DropReason reason, std::string_view bytes) {
  const auto parsed = format_.parse(bytes);
  if (isOk(parsed)) {
    const ParsedPacket& packet = valueOf(parsed);
    log(PacketContext{now, packet, requestOf(packet, bytes)}, DropPacket{reason});
    return;
  }
  if (admit(now, LineKind::kFailure)) {
    LOG_TO_SINK_BUT_NOT_TO_LOGFILE(sink_, WARNING)
        << "event=packet_dropped reason=" << umberhold::toString(reason)
        << " bytes=" << bytes.size();
  }
}

void FlowLog::onReset(TimePoint now, const ResetFlow& decision) {
  ++counters_.reset[static_cast<size_t>(decision.reason)];
  if (admit(now, LineKind::kFailure)) {
    LOG_TO_SINK_BUT_NOT_TO_LOGFILE(sink_, INFO)
        << "event=flow_reset reason=" << umberhold::toString(decision.reason)
        << " flow=" << FlowText{decision.key};
  }
}

void FlowLog::log(const PacketContext& context, const ForwardToHost& decision) {
  if (decision.placement != nullptr) {
    logPlacement(context, decision);
  } else if (!context.requestId.empty()) {
    logRequest(context, decision);
  } else if (context.packet.phase == PacketPhase::kReset) {
    logCallerReset(context, decision);
  }
}

void FlowLog::countOverflow(const ForwardToHost& decision) {
  const std::string_view from = decision.placement->overflowFrom;
  if (from.empty()) {
    return;
  }
  const OverflowPair pair{std::string(from), std::string(decision.label.pool)};
  const auto found = counters_.overflowed.find(pair);
  if (found != counters_.overflowed.end()) {
    ++found->second;
  } else if (counters_.overflowed.size() < kMaxOverflowPairs) {
    counters_.overflowed.emplace(pair, 1);
  } else {
    ++counters_.overflowed[{kOtherPools, kOtherPools}];
  }
}

void FlowLog::logPlacement(const PacketContext& context, const ForwardToHost& decision) {
  const PlacementEvidence& evidence = *decision.placement;
  const auto found = counters_.openedByPool.find(decision.label.pool);
  OpenedFlows& opened = found != counters_.openedByPool.end()
                            ? found->second
                            : counters_.openedByPool[std::string(decision.label.pool)];
  ++(evidence.ownZone ? opened.ownZone : opened.otherZone);
  countOverflow(decision);
  const bool repeated = !evidence.avoidedHost.empty();
  counters_.repeatedOpenings += repeated ? 1 : 0;
  if (!admit(context.now, repeated ? LineKind::kFailure : LineKind::kPlacement)) {
    return;
  }
  LOG_TO_SINK_BUT_NOT_TO_LOGFILE(sink_, INFO)
      << "event=" << (repeated ? "opening_repeated" : "flow_placed")
      << " flow=" << FlowText{context.packet.key} << " service=" << evidence.service << " "
      << HostText{decision} << " avoided=" << (repeated ? evidence.avoidedHost : kNone)
      << EvidenceText{evidence, context.now};
}

void FlowLog::logRequest(const PacketContext& context, const ForwardToHost& decision) {
  ++counters_.requests;
  if (admit(context.now, LineKind::kRequest)) {
    LOG_TO_SINK_BUT_NOT_TO_LOGFILE(sink_, INFO)
        << "event=request request=" << RequestText{context.requestId}
        << " flow=" << FlowText{context.packet.key} << " " << HostText{decision};
  }
}

void FlowLog::logCallerReset(const PacketContext& context, const ForwardToHost& decision) {
  ++counters_.callerResets;
  if (admit(context.now, LineKind::kFailure)) {
    LOG_TO_SINK_BUT_NOT_TO_LOGFILE(sink_, INFO)
        << "event=caller_reset flow=" << FlowText{context.packet.key} << " " << HostText{decision};
  }
}

void FlowLog::log(const PacketContext& context, const RefuseFlow& decision) {
  ++counters_.refused[static_cast<size_t>(decision.reason)];
  if (admit(context.now, LineKind::kFailure)) {
    LOG_TO_SINK_BUT_NOT_TO_LOGFILE(sink_, WARNING)
        << "event=flow_refused reason=" << umberhold::toString(decision.reason)
        << " flow=" << FlowText{context.packet.key} << " phase=" << toString(context.packet.phase)
        << " request=" << RequestText{context.requestId} << SilentHostText{decision.silence};
  }
}

void FlowLog::log(const PacketContext& context, const DropPacket& decision) {
  if (admit(context.now, LineKind::kFailure)) {
    LOG_TO_SINK_BUT_NOT_TO_LOGFILE(sink_, WARNING)
        << "event=packet_dropped reason=" << umberhold::toString(decision.reason)
        << " flow=" << FlowText{context.packet.key} << " phase=" << toString(context.packet.phase)
        << " token=" << context.packet.token << " request=" << RequestText{context.requestId};
  }
}

void FlowLog::log(const PacketContext& context, const RelayToNode& decision) {
  if (!context.requestId.empty() && admit(context.now, LineKind::kRequest)) {
    LOG_TO_SINK_BUT_NOT_TO_LOGFILE(sink_, INFO)
        << "event=request request=" << RequestText{context.requestId}
        << " flow=" << FlowText{context.packet.key} << " relay=" << toString(decision.endpoint);
  }
}

void FlowLog::log(const PacketContext& context, const HoldPacket& decision) {
  if (admit(context.now, LineKind::kFailure)) {
    LOG_TO_SINK_BUT_NOT_TO_LOGFILE(sink_, INFO)
        << "event=packet_held reason=" << umberhold::toString(decision.reason)
        << " flow=" << FlowText{context.packet.key} << " phase=" << toString(context.packet.phase)
        << " token=" << context.packet.token << " request=" << RequestText{context.requestId};
  }
}

}  // namespace umberhold
