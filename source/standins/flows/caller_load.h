/** @file Callers that open flows, send packets on them and end them. */
#pragma once

#include <cstdint>

#include "standins/flows/simulated_region.h"

namespace umberhold {

/** Rates and durations of the callers' traffic. */
struct CallerLoadOptions {
  double flowsPerSecond = 100.0;
  Duration meanLife = std::chrono::seconds(30);
  Duration meanPacketGap = std::chrono::seconds(1);
  TransportProtocol protocol = TransportProtocol::kTcp;
};

/** Generates the traffic of a region. Not thread safe. */
class CallerLoad {
 public:
  CallerLoad(SimulatedRegion& region, CallerLoadOptions options);

  /** Starts opening flows at the rate given by the options. */
  void start();
  /** Stops opening flows; open ones continue. */
  void stop() { running_ = false; }
  void setRate(double flowsPerSecond) { options_.flowsPerSecond = flowsPerSecond; }
  /** Opens one flow immediately. @return its number. */
  uint32_t openFlow();

 private:
  /** @return an exponentially distributed duration. */
  Duration exponential(Duration mean);
  void scheduleNext();
  /** Sends or retransmits the first packet until a host received it or the flow is refused. */
  void sendFirst(uint32_t flow, int attempt);
  /** Sends a later packet; the flow closes at `end`. */
  void sendNext(uint32_t flow, TimePoint end);
  /** @return the phase of a packet in the flow's protocol; only TCP packets show theirs. */
  PacketPhase phaseOf(PacketPhase tcpPhase) const;

  SimulatedRegion& region_;
  CallerLoadOptions options_;
  bool running_ = false;
  uint32_t openedFlows_ = 0;
};

}  // namespace umberhold
