/** @file What a node with the strategy "token" shows at its metrics path. */
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

/** Time from a datagram's reading to the end of its handling, seconds. */
prometheus::Histogram makePacketTimes();
/** Time from a change's arrival in the process to its being effective, seconds. */
prometheus::Histogram makeChangeTimes();

/** A snapshot, taken on the loop's thread; all references are borrowed. */
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
  /** Nothing where the process doesn't say. */
  std::optional<StoreReadStatus> store;
  ReloadCounters reloads;
  /** Nothing where the process takes no reports. */
  std::optional<ReportCounters> hostReports;
};

/** @return the snapshot in Prometheus' text format. */
std::string renderMetrics(const TokenNodeMetrics& metrics, const ProcessUsage& usage);

}  // namespace umberhold
