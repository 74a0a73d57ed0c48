#include "bench/placement_sim/simulation.h"

#include <algorithm>
#include <cmath>
#include <queue>

#include "common/base/hash.h"
#include "common/base/random.h"
#include "common/wire/codec.h"
#include "common/wire/envelope.h"

namespace umberhold::placement_sim {
namespace {

/** IP and UDP headers of a datagram. */
constexpr double kHeaderBytes = 28.0;
/** Maximum number of message bytes in one datagram. */
constexpr double kDatagramPayload = 1200.0;
/** Seconds between two messages of an owner's replication log, each of which is acknowledged. */
constexpr double kAppendInterval = 1.0;

/** @return number of bytes on the wire: the encoded message plus envelope and headers of every
 * datagram it needs. */
double wireBytes(MessageBody body) {
  const auto encoded = encode(Message{std::move(body)});
  const auto payload = static_cast<double>(valueOf(encoded).size());
  const double datagrams = std::ceil(payload / kDatagramPayload);
  return payload + datagrams * (kHeaderBytes + static_cast<double>(kMaxEnvelopeOverhead));
}

struct Departure {
  double time = 0.0;
  uint16_t owner = 0;
  size_t host = 0;
  FlowHash flow;
  bool isException = false;

  bool operator>(const Departure& other) const { return time > other.time; }
};

TimePoint timeOf(double seconds) {
  return TimePoint{Duration{static_cast<int64_t>((seconds + 1.0) * 1e6)}};
}

class PlacementSimulation {
 public:
  PlacementSimulation(const Strategy& strategy, const Workload& workload, const SimOptions& options)
      : workload_(workload), options_(options), random_(options.seed), counts_(options.hosts) {
    for (size_t index = 0; index < options.hosts; ++index) {
      hosts_.push_back({HostId{mixHash(options.seed, index)}, 255});
    }
    for (uint16_t shard = 0; shard < options.owners; ++shard) {
      owners_.emplace_back(strategy, hosts_, shard);
      nextShare_.push_back(options.shareInterval * (shard + 1) / options.owners);
    }
    logs_.resize(options.owners);
  }

  SimResult run() {
    // The flows of the steady state arrive within the first tenth of the warm-up.
    const double fillTime = workload_.warmUp / 10.0;
    double nextFill = 0.0;
    for (double filled = 0; filled < workload_.flows; ++filled) {
      nextFill += fillTime / workload_.flows;
      advanceTo(nextFill);
      arrive(nextFill);
    }
    double now = fillTime;
    while (now < endTime()) {
      now += exponential(1.0 / rateAt(now));
      advanceTo(std::min(now, endTime()));
      arrive(now);
    }
    return finish();
  }

 private:
  double endTime() const { return workload_.warmUp + workload_.measured; }
  double exponential(double mean) {
    return std::exponential_distribution<double>(1.0 / mean)(random_.engine());
  }

  double rateAt(double now) const {
    const double steady = workload_.flows / workload_.meanLife;
    if (now < workload_.warmUp) {
      return steady;
    }
    const double progress = (now - workload_.warmUp) / workload_.measured;
    return std::max(workload_.burstRate, steady * (1.0 + (workload_.rampFactor - 1.0) * progress));
  }

  void arrive(double now) {
    const FlowHash flow{random_.engine()()};
    const auto owner = static_cast<uint16_t>(flow.value % options_.owners);
    const SimChoice choice = owners_[owner].choose(timeOf(now), flow);
    owners_[owner].flowAdded(choice.host);
    ++counts_[choice.host];
    departures_.push(
        {now + exponential(workload_.meanLife), owner, choice.host, flow, choice.isException});
    if (now >= workload_.warmUp) {
      ++arrivals_;
      exceptions_ += choice.isException ? 1 : 0;
    }
    if (choice.isException) {
      logs_[owner].added.push_back({flow, static_cast<uint16_t>(choice.host)});
    }
  }

  void depart(const Departure& departure) {
    owners_[departure.owner].flowRemoved(departure.host);
    --counts_[departure.host];
    if (departure.isException) {
      logs_[departure.owner].removed.push_back(departure.flow);
    }
  }

  /** Processes departures, load reports, log messages and samples before `until` in time order. */
  void advanceTo(double until) {
    while (true) {
      const double nextDeparture = departures_.empty() ? until : departures_.top().time;
      const double nextTime = std::min({nextDeparture, nextSample_, nextAppend_, nextShareAt()});
      if (nextTime >= until) {
        return;
      }
      if (nextTime == nextDeparture) {
        depart(departures_.top());
        departures_.pop();
      } else if (nextTime == nextSample_) {
        sample();
      } else if (nextTime == nextAppend_) {
        sendLogs();
      } else {
        shareLoads(nextTime);
      }
    }
  }

  double nextShareAt() const {
    if (options_.shareInterval <= 0.0) {
      return 1e18;
    }
    return *std::min_element(nextShare_.begin(), nextShare_.end());
  }

  void shareLoads(double now) {
    for (size_t owner = 0; owner < owners_.size(); ++owner) {
      if (nextShare_[owner] > now) {
        continue;
      }
      nextShare_[owner] += options_.shareInterval;
      const LoadShare share = owners_[owner].makeShare();
      for (size_t other = 0; other < owners_.size(); ++other) {
        if (other != owner) {
          owners_[other].onShare(timeOf(now), share);
        }
      }
    }
  }

  void sample() {
    const double now = nextSample_;
    nextSample_ += workload_.sampleInterval;
    if (now < workload_.warmUp) {
      return;
    }
    double total = 0.0;
    for (const double count : counts_) {
      total += count;
    }
    const double maxCount = *std::max_element(counts_.begin(), counts_.end());
    const double imbalance = maxCount / (total / static_cast<double>(counts_.size()));
    imbalanceSum_ += imbalance;
    ++samples_;
    maxImbalance_ = std::max(maxImbalance_, imbalance);
  }

  void sendLogs() {
    const double now = nextAppend_;
    nextAppend_ += kAppendInterval;
    for (ReplicaAppend& log : logs_) {
      if (now >= workload_.warmUp && !(log.added.empty() && log.removed.empty())) {
        const double sent = wireBytes(log) + wireBytes(ReplicaAck{});
        replicationBytes_ += sent;
        maxReplicationBytes_ = std::max(maxReplicationBytes_, sent);
      }
      log.added.clear();
      log.removed.clear();
    }
  }

  SimResult finish() const {
    SimResult result;
    result.meanImbalance = imbalanceSum_ / static_cast<double>(samples_);
    result.maxImbalance = maxImbalance_;
    result.exceptionFraction = static_cast<double>(exceptions_) / static_cast<double>(arrivals_);
    result.replicationBytes = replicationBytes_ / workload_.measured / options_.owners;
    result.maxReplicationBytes = maxReplicationBytes_;
    if (options_.shareInterval > 0.0) {
      const double message = wireBytes(owners_.front().makeShare());
      result.loadShareBytes = message * (options_.owners - 1) / options_.shareInterval;
    }
    return result;
  }

  const Workload& workload_;
  const SimOptions& options_;
  RandomSource random_;
  std::vector<BaseHost> hosts_;
  std::vector<SimOwner> owners_;
  std::vector<double> counts_;
  std::priority_queue<Departure, std::vector<Departure>, std::greater<>> departures_;
  std::vector<double> nextShare_;
  std::vector<ReplicaAppend> logs_;
  double nextSample_ = 0.0;
  double nextAppend_ = 0.0;
  double imbalanceSum_ = 0.0;
  uint64_t samples_ = 0;
  double maxImbalance_ = 0.0;
  uint64_t arrivals_ = 0;
  uint64_t exceptions_ = 0;
  double replicationBytes_ = 0.0;
  double maxReplicationBytes_ = 0.0;
};

}  // namespace

SimResult simulate(const Strategy& strategy, const Workload& workload, SimOptions options) {
  SimResult combined;
  const uint64_t first = options.seed;
  const auto runs = static_cast<double>(options.runs);
  for (options.seed = first; options.seed < first + options.runs; ++options.seed) {
    const SimResult single = PlacementSimulation(strategy, workload, options).run();
    combined.meanImbalance += single.meanImbalance / runs;
    combined.maxImbalance = std::max(combined.maxImbalance, single.maxImbalance);
    combined.exceptionFraction += single.exceptionFraction / runs;
    combined.replicationBytes += single.replicationBytes / runs;
    combined.maxReplicationBytes =
        std::max(combined.maxReplicationBytes, single.maxReplicationBytes);
    combined.loadShareBytes = single.loadShareBytes;
  }
  return combined;
}

}  // namespace umberhold::placement_sim
