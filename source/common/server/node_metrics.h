/** @file Metrics of a node at /metrics and their text format. */
#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <vector>

#include "common/base/time.h"
#include "common/node/node_core.h"
#include "common/server/control_transport.h"
#include "common/server/event_loop.h"
#include "common/server/metric_families.h"
#include "common/server/udp_port.h"

namespace umberhold {

/** A snapshot of a node's metrics, taken on the loop thread. */
struct NodeMetrics {
  NodeReadiness readiness = NodeReadiness::kJoining;
  NodeCounters core;
  TrafficMeter traffic;
  ControlCounters control;
  /** Rejected datagrams by OpenError. */
  std::array<uint64_t, static_cast<size_t>(OpenError::kCount)> refusedDatagrams{};
  UdpCounters dataPort;
  UdpCounters relayPort;
  UdpCounters controlPort;
  uint64_t unsentAnswers = 0;
  LoopTimes loop;
  /** Ids of the keys of node messages: the signing key and all accepted keys. */
  uint32_t signingKey = 0;
  std::vector<uint32_t> acceptedKeys;
  ReloadCounters reloads;
};

/** @return the snapshot in Prometheus' text format. */
std::string renderMetrics(const NodeMetrics& metrics, const ProcessUsage& usage);

}  // namespace umberhold
