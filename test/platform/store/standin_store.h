/** @file A stand-in for the users' store, with its HTTP interface and its faults, on loopback. */
#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "common/base/endpoint.h"
#include "common/base/time.h"
#include "test/platform/store/standin_objects.h"

namespace umberhold::test {

/** How the stand-in answers. */
enum class StoreMood : uint8_t {
  kAnswering,
  /** 503 to every call. */
  kBusy,
  /** No call is answered; its connection says nothing further. */
  kSilent,
  /** Every connection is reset. */
  kReset,
};

/** What goes wrong. */
struct StandinFaults {
  StoreMood mood = StoreMood::kAnswering;
  /** What was asked in kSilent stays without an answer and without an end, also afterwards. */
  bool staysSilent = false;
  /** Delay of every answer. */
  Duration slow{0};
  /** The next so many changes are done and not answered. */
  uint32_t loseAnswers = 0;
  /** The next so many changes are not answered, and done this much later. */
  uint32_t lateChanges = 0;
  Duration lateBy = std::chrono::milliseconds(100);
  /** Reading calls a second beyond which there is 429; stale reads don't count. */
  uint32_t readsPerSecond = 2000;
};

/** Calls so far, refused ones included. */
struct StandinCalls {
  uint64_t lists = 0;
  uint64_t staleLists = 0;
  uint64_t watches = 0;
  /** Of single objects, by name. */
  uint64_t reads = 0;
  uint64_t others = 0;
  uint64_t connections = 0;
  /** Calls that wait for a thread, now. */
  uint64_t queued = 0;
};

/** Serves from construction to destruction. */
class StandinStore {
 public:
  /** @param pageSize objects of a list's page. */
  explicit StandinStore(size_t pageSize = 500);
  ~StandinStore();
  StandinStore(const StandinStore&) = delete;
  StandinStore& operator=(const StandinStore&) = delete;

  Endpoint address() const;
  StandinObjects& objects();
  /** Leaving kSilent cuts the connections that were not answered. */
  void setFaults(const StandinFaults& faults);
  StandinCalls calls() const;

 private:
  struct Parts;
  std::unique_ptr<Parts> parts_;
};

}  // namespace umberhold::test
