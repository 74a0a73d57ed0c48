/** @file Probe queue and worker threads. */
#include "common/server/host_prober.h"

#include <array>
#include <condition_variable>
#include <deque>
#include <mutex>
#include <set>
#include <thread>
#include <utility>

#include "common/server/probe_client.h"

namespace umberhold {
namespace {

/** Enough that unresponsive hosts hardly delay the probes of others. */
constexpr size_t kProbeThreads = 4;

struct ProbeJob {
  ServiceId service;
  HostId host;
  Endpoint endpoint;
};

}  // namespace

struct HostProber::Parts {
  Parts(LoopMailbox& loop, std::function<void(const ProbeResult&)> handler)
      : mailbox(loop), onResult(std::move(handler)) {}

  void work() {
    while (const auto job = nextJob()) {
      const ProbeAnswer answer = client.probe(job->endpoint);
      const ProbeResult result{job->service, job->host, answer.healthy, answer.hasLoad,
                               answer.loadPercent};
      finish(*job);
      // If the mailbox is full or closed, the result is lost, which counts as no answer.
      (void)mailbox.post([handler = onResult, result] { handler(result); });
    }
  }

  std::optional<ProbeJob> nextJob() {
    std::unique_lock lock(mutex);
    wakeUp.wait(lock, [this] { return stopping || !waiting.empty(); });
    if (stopping) {
      return std::nullopt;
    }
    const ProbeJob job = waiting.front();
    waiting.pop_front();
    return job;
  }

  void finish(const ProbeJob& job) {
    const std::lock_guard lock(mutex);
    pending.erase({job.service, job.host});
  }

  LoopMailbox& mailbox;
  std::function<void(const ProbeResult&)> onResult;
  ProbeClient client{kProbeTimeout};
  std::mutex mutex;
  std::condition_variable wakeUp;
  bool stopping = false;
  std::deque<ProbeJob> waiting;
  /** Hosts whose probe is queued or in progress. */
  std::set<std::pair<ServiceId, HostId>> pending;
  std::array<std::thread, kProbeThreads> threads;
};

HostProber::HostProber(LoopMailbox& mailbox, std::function<void(const ProbeResult&)> onResult)
    : parts_(std::make_unique<Parts>(mailbox, std::move(onResult))) {
  for (std::thread& thread : parts_->threads) {
    thread = std::thread([parts = parts_.get()] { parts->work(); });
  }
}

HostProber::~HostProber() {
  {
    const std::lock_guard lock(parts_->mutex);
    parts_->stopping = true;
  }
  parts_->wakeUp.notify_all();
  for (std::thread& thread : parts_->threads) {
    thread.join();
  }
}

void HostProber::probe(ServiceId service, HostId host, const Endpoint& httpEndpoint) {
  {
    const std::lock_guard lock(parts_->mutex);
    if (parts_->waiting.size() >= kProbeQueueCapacity ||
        !parts_->pending.insert({service, host}).second) {
      return;
    }
    parts_->waiting.push_back({service, host, httpEndpoint});
  }
  parts_->wakeUp.notify_one();
}

}  // namespace umberhold
