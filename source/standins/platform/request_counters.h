/** @file Request counters of the stand-in store, for GET /control/stats. */
#pragma once

#include <atomic>
#include <cstdint>

namespace umberhold::standins {

/** Requests by kind since the start, and open watches. */
struct RequestCounters {
  std::atomic<uint64_t> list{0};
  std::atomic<uint64_t> get{0};
  std::atomic<uint64_t> put{0};
  std::atomic<uint64_t> remove{0};
  std::atomic<uint64_t> watch{0};
  std::atomic<uint64_t> machines{0};
  std::atomic<uint64_t> conflicts{0};
  std::atomic<uint64_t> openWatches{0};
  std::atomic<uint64_t> maxOpenWatches{0};
};

/** Counts one open watch during its lifetime. */
class OpenWatch {
 public:
  explicit OpenWatch(RequestCounters& counters) : counters_(counters) {
    const uint64_t open = ++counters_.openWatches;
    uint64_t previousMax = counters_.maxOpenWatches;
    while (open > previousMax &&
           !counters_.maxOpenWatches.compare_exchange_weak(previousMax, open)) {
    }
  }
  ~OpenWatch() { --counters_.openWatches; }
  OpenWatch(const OpenWatch&) = delete;
  OpenWatch& operator=(const OpenWatch&) = delete;

 private:
  RequestCounters& counters_;
};

}  // namespace umberhold::standins
