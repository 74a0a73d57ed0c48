/** @file Metrics of a node with the strategy "token". */
#pragma once

#include <prometheus/histogram.h>

#include <optional>
#include <string>

#include "common/admission/admission.h"
#include "common/health/observation_exchange.h"
#include "common/log/line_output.h"
#include "common/platform/store_read_status.h"
#include "common/server/flow_log.h"
#include "common/server/metric_families.h"
#include "common/server/udp_port.h"

namespace umberhold {

/** Histogram of the time from reading a datagram to the end of its handling, seconds. */
prometheus::Histogram makePacketTimes();
/** Histogram of the time from the arrival of a change in the process until it takes effect,
 * seconds. */
prometheus::Histogram makeChangeTimes();

/** A snapshot, taken on the loop thread; all references are borrowed. */
struct TokenNodeMetrics {
  TimePoint now;
  bool ready = false;
  size_t services = 0;
  size_t hosts = 0;
  size_t evacuatedZones = 0;
  size_t coldHosts = 0;
  const Admission& admission;
  SpeedSummary speeds;
  const SilenceCounters& silence;
  const PacketCounters& packets;
  const UdpCounters& port;
  const FlowLogCounters& flows;
  const LineBudget& lines;
  LineCounters output;
  const prometheus::Histogram& packetTimes;
  const prometheus::Histogram& changeTimes;
  /** Empty if the process doesn't report it. */
  std::optional<StoreReadStatus> store;
  ReloadCounters reloads;
  /** Empty if the process receives no host reports. */
  std::optional<ReportCounters> hostReports;
};

/** @return the snapshot in Prometheus' text format. */
std::string renderMetrics(const TokenNodeMetrics& metrics, const ProcessUsage& usage);

}  // namespace umberhold
