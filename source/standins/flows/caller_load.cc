#include "standins/flows/caller_load.h"

#include <algorithm>
#include <cmath>

namespace umberhold {
namespace {

/** Maximum number of transmissions of a caller's first packet: the first one, and retransmissions
 * after 1, 2 and 4 s (RFC 6298). */
constexpr int kFirstPacketAttempts = 4;
constexpr uint32_t kFirstCaller = 0x0A000000;
constexpr uint32_t kPortsPerCaller = 16;
constexpr uint16_t kFirstPort = 20000;

}  // namespace

CallerLoad::CallerLoad(SimulatedRegion& region, CallerLoadOptions options)
    : region_(region), options_(options) {}

Duration CallerLoad::exponential(Duration mean) {
  const double draw = -std::log(1.0 - region_.random().unit());
  return Duration(static_cast<Duration::rep>(draw * static_cast<double>(mean.count())));
}

PacketPhase CallerLoad::phaseOf(PacketPhase tcpPhase) const {
  return options_.protocol == TransportProtocol::kTcp ? tcpPhase : PacketPhase::kUnmarked;
}

void CallerLoad::start() {
  running_ = true;
  scheduleNext();
}

void CallerLoad::scheduleNext() {
  const double gapMicroseconds = 1e6 / options_.flowsPerSecond;
  region_.after(exponential(Duration(static_cast<Duration::rep>(gapMicroseconds))), [this] {
    if (running_) {
      openFlow();
      scheduleNext();
    }
  });
}

uint32_t CallerLoad::openFlow() {
  FlowKey key;
  key.caller.address = kFirstCaller + openedFlows_ / kPortsPerCaller;
  key.caller.port = static_cast<uint16_t>(kFirstPort + openedFlows_ % kPortsPerCaller);
  key.service = Endpoint{region_.service().address, region_.service().port};
  key.protocol = options_.protocol;
  ++openedFlows_;
  const uint32_t flow = region_.oracle().open(key);
  sendFirst(flow, 0);
  return flow;
}

void CallerLoad::sendFirst(uint32_t flow, int attempt) {
  const OracleFlow& state = region_.oracle().flow(flow);
  if (state.host) {
    sendNext(flow, region_.now() + exponential(options_.meanLife));
    return;
  }
  if (attempt == kFirstPacketAttempts || state.refused) {
    region_.oracle().end(flow);
    return;
  }
  region_.sendFromCaller(flow, phaseOf(PacketPhase::kOpening));
  // A caller receives an answer within 20 ms; without one, it retransmits after the timeout.
  const Duration retransmissionTimeout = std::chrono::seconds(1) * (1 << attempt);
  const Duration answerDelay = std::chrono::milliseconds(20);
  region_.after(answerDelay, [this, flow, attempt, retransmissionTimeout, answerDelay] {
    if (region_.oracle().flow(flow).host) {
      sendFirst(flow, attempt + 1);
    } else {
      region_.after(retransmissionTimeout - answerDelay,
                    [this, flow, attempt] { sendFirst(flow, attempt + 1); });
    }
  });
}

void CallerLoad::sendNext(uint32_t flow, TimePoint end) {
  const OracleFlow& state = region_.oracle().flow(flow);
  if (state.broken || state.ended) {
    return;
  }
  if (region_.now() >= end) {
    region_.sendFromCaller(flow, phaseOf(PacketPhase::kClosing));
    region_.after(std::chrono::milliseconds(50), [this, flow] { region_.oracle().end(flow); });
    return;
  }
  region_.sendFromCaller(flow, phaseOf(PacketPhase::kContinuing));
  const Duration remaining = std::max(end - region_.now(), Duration(1));
  region_.after(std::min<Duration>(exponential(options_.meanPacketGap), remaining),
                [this, flow, end] { sendNext(flow, end); });
}

}  // namespace umberhold
