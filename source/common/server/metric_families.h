/** @file Families of metrics in prometheus-cpp's model, as the programs' metrics pages need them.
 */
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

/** @return the time in seconds, with fractions. */
double secondsOf(Duration duration);

/** One family of counters or gauges that share a name. */
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

/** Calls the visitor for each value of an enum that counts from 0 to kCount. */
template <class Enum, class Visitor>
void forEachValue(const Visitor& visitor) {
  for (size_t index = 0; index < static_cast<size_t>(Enum::kCount); ++index) {
    visitor(static_cast<Enum>(index), index);
  }
}

/** Adds the families of a packet path: received, by decision, dropped by reason. */
void addPacketFamilies(const PacketCounters& packets,
                       std::vector<prometheus::MetricFamily>& families);

/** Settings that were read again while the process ran. */
struct ReloadCounters {
  /** They are effective, as far as they can change while the process runs. */
  uint64_t taken = 0;
  /** Faulty, or against the order that a change demands; nothing of them is effective. */
  uint64_t refused = 0;
};

prometheus::MetricFamily reloadFamily(const ReloadCounters& reloads);

/** What the process takes of the machine. */
struct ProcessUsage {
  /** Of all threads. */
  Duration cpu{0};
  uint64_t residentBytes = 0;
};

/** @return the usage of this process so far. */
ProcessUsage readProcessUsage();
void addUsageFamilies(const ProcessUsage& usage, std::vector<prometheus::MetricFamily>& families);

}  // namespace umberhold
