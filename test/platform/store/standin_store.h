/**
 * @file A stand-in for the users' store on loopback, with its HTTP interface and simulated faults.
 */
#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "common/base/endpoint.h"
#include "common/base/time.h"
#include "test/platform/store/standin_objects.h"

namespace umberhold::test {

/** How the stand-in responds to calls. */
enum class StoreResponseMode : uint8_t {
  kAnswering,
  /** Responds to every call with 503. */
  kBusy,
  /** Answers no call; the connection stays open without data. */
  kSilent,
  /** Resets every connection. */
  kReset,
};

/** Faults to simulate. */
struct StandinFaults {
  StoreResponseMode responseMode = StoreResponseMode::kAnswering;
  /** Calls made in kSilent remain unanswered and open, even after the response mode changes. */
  bool staysSilent = false;
  /** Delay before each call is processed. */
  Duration slow{0};
  /** Number of next changes that are executed but not answered. */
  uint32_t loseAnswers = 0;
  /** Number of next changes that are not answered and executed only after the delay. */
  uint32_t lateChanges = 0;
  Duration lateBy = std::chrono::milliseconds(100);
  /** Read calls per second beyond which the response is 429; stale reads do not count. */
  uint32_t readsPerSecond = 2000;
};

/** Numbers of calls so far, including rejected ones. */
struct StandinCalls {
  /** Lists without `stale`. */
  uint64_t lists = 0;
  uint64_t staleLists = 0;
  uint64_t watches = 0;
  /** Watches with stale=1, which are answered at once. */
  uint64_t watchChecks = 0;
  /** Reads of single objects, by name. */
  uint64_t reads = 0;
  /** Calls that are not GET: creations, replacements and deletions. */
  uint64_t changes = 0;
  uint64_t connections = 0;
  /** Calls that currently wait for a thread. */
  uint64_t queued = 0;
};

/** Serves from construction to destruction. */
class StandinStore {
 public:
  /** @param pageSize maximum number of objects in a page of a list. */
  explicit StandinStore(size_t pageSize = 500);
  ~StandinStore();
  StandinStore(const StandinStore&) = delete;
  StandinStore& operator=(const StandinStore&) = delete;

  Endpoint address() const;
  StandinObjects& objects();
  /** Leaving kSilent closes the connections with unanswered calls. */
  void setFaults(const StandinFaults& faults);
  StandinCalls calls() const;

 private:
  struct Implementation;
  std::unique_ptr<Implementation> implementation_;
};

}  // namespace umberhold::test
