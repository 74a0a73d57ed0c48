/** @file Helpers that build metric families in prometheus-cpp's model. */
#pragma once

#include <prometheus/metric_family.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "common/base/time.h"
#include "common/packet/packet_path.h"

namespace umberhold {

/** @return the duration in fractional seconds. */
double secondsOf(Duration duration);

/** Builds one family of counters or gauges with a common name. */
class MetricFamilyBuilder {
 public:
  MetricFamilyBuilder(prometheus::MetricType type, std::string name, std::string help);

  MetricFamilyBuilder& add(double value, std::vector<prometheus::ClientMetric::Label> labels = {});
  prometheus::MetricFamily take() { return std::move(family_); }

 private:
  prometheus::MetricFamily family_;
};

prometheus::ClientMetric::Label metricLabel(std::string name, std::string_view value);
MetricFamilyBuilder counterFamily(std::string name, std::string help);
prometheus::MetricFamily counterOf(std::string name, std::string help, double value);
prometheus::MetricFamily gaugeOf(std::string name, std::string help, double value);

/** Calls the visitor for each value of an enum whose values run from 0 to kCount - 1. */
template <class Enum, class Visitor>
void forEachValue(const Visitor& visitor) {
  for (size_t index = 0; index < static_cast<size_t>(Enum::kCount); ++index) {
    visitor(static_cast<Enum>(index), index);
  }
}

/** Adds the families of a packet path: packets received, packets by decision and drops by reason.
 */
void addPacketFamilies(const PacketCounters& packets,
                       std::vector<prometheus::MetricFamily>& families);

/** Counters of settings reloads while the process runs. */
struct ReloadCounters {
  /** Accepted; the options that can change at run time took effect. */
  uint64_t taken = 0;
  /** Rejected because of an error or an invalid sequence of changes; nothing took effect. */
  uint64_t refused = 0;
};

prometheus::MetricFamily reloadFamily(const ReloadCounters& reloads);

/** Resource usage of the process. */
struct ProcessUsage {
  /** CPU time of all threads. */
  Duration cpu{0};
  uint64_t residentBytes = 0;
};

/** @return the usage of this process so far. */
ProcessUsage readProcessUsage();
void addUsageFamilies(const ProcessUsage& usage, std::vector<prometheus::MetricFamily>& families);

}  // namespace umberhold
