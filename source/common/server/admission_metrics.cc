#include "common/server/admission_metrics.h"

#include "common/server/metric_families.h"

namespace umberhold {
namespace {

using Families = std::vector<prometheus::MetricFamily>;

void addPools(TimePoint now, const Admission& admission, Families& families) {
  const auto gauge = [](const char* name, const char* help) {
    return MetricFamilyBuilder(prometheus::MetricType::Gauge, name, help);
  };
  MetricFamilyBuilder room =
      gauge("umberhold_pool_room_requests",
            "Requests that this node may have under way in time, as of the last full moment");
  MetricFamilyBuilder use =
      gauge("umberhold_pool_requests_under_way", "Requests under way, on average of a second");
  MetricFamilyBuilder waiting =
      gauge("umberhold_pool_openings_waiting", "Openings that wait for hosts of the pool");
  for (const PoolFigures& pool : admission.figures(now)) {
    room.add(pool.room.own(), {metricLabel("pool", pool.pool)});
    use.add(pool.onOpenFlows, {metricLabel("pool", pool.pool), metricLabel("flow", "open")});
    use.add(pool.underWay - pool.onOpenFlows,
            {metricLabel("pool", pool.pool), metricLabel("flow", "new")});
    waiting.add(static_cast<double>(pool.waiting), {metricLabel("pool", pool.pool)});
  }
  families.push_back(room.take());
  families.push_back(use.take());
  families.push_back(waiting.take());
}

void addServices(const Admission& admission, Families& families) {
  MetricFamilyBuilder openings =
      counterFamily("umberhold_held_openings_total",
                    "Openings that were not placed at once, by what became of them");
  MetricFamilyBuilder late = counterFamily(
      "umberhold_late_requests_total", "Requests whose host alone took longer than callers want");
  for (const auto& [key, count] : admission.counters()) {
    // Not a structured binding: clang 14 can't capture one in a lambda in C++20.
    const std::string& pool = key.first;
    const std::string& service = key.second;
    const auto add = [&](uint64_t value, const char* outcome) {
      openings.add(static_cast<double>(value),
                   {metricLabel("pool", pool), metricLabel("service", service),
                    metricLabel("outcome", outcome)});
    };
    add(count.waited, "waited");
    add(count.refusedAfterWait, "hosts_busy");
    late.add(static_cast<double>(count.lateByEstimate),
             {metricLabel("pool", pool), metricLabel("service", service)});
  }
  families.push_back(openings.take());
  families.push_back(late.take());
}

}  // namespace

void addAdmissionFamilies(TimePoint now, const Admission& admission, Families& families) {
  addPools(now, admission, families);
  addServices(admission, families);
}

}  // namespace umberhold
