/** @file Whether callers fare under hard load as they are promised. No I/O, no clock. */
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

#include "common/base/time.h"
#include "test/soak/world/promises.h"

namespace umberhold::soak {

/** Bounds under hard load. */
struct LoadBounds {
  /**
   * Longest time in which requests of a service end and none is served, while another service of
   * the same pool is served. Callers give a request up after 3 s: two in a row may be lost.
   */
  Duration starved = std::chrono::seconds(6);
  /** Fewer ends of requests than this, of either service, show nothing. */
  uint32_t fewestEnds = 10;
  /**
   * Openings that may reach a host which holds as many flows as it can, within a second: each of
   * ten nodes has one under way that the others can't know of.
   */
  uint32_t openingsToFullHost = 10;
  /** After room is there again, requests are served as usual at the latest after this time: hosts
   * register, nodes notice them within the bound of changes (3 s), and requests of before end. */
  Duration returns = std::chrono::seconds(6);
  /** Requests that begin within this time after that are judged. */
  Duration judged = std::chrono::seconds(2);
  double usualShare = 0.95;
};

/** See the file comment. Not thread safe. */
class LoadWatch {
 public:
  /** @param promises borrowed. */
  LoadWatch(LoadBounds bounds, PromiseBook& promises) : bounds_(bounds), promises_(promises) {}

  /** A request of a service ended, whose hosts are in the pool. */
  void onEnded(TimePoint now, const std::string& pool, const std::string& service,
               TimePoint begunAt, bool served);
  /** An opening reached a host that holds as many flows as it can. */
  void onFull(TimePoint now, const std::string& host);
  /** Room was short, and is there again. */
  void onRoomBack(TimePoint now);
  /** Room is short: what was to return before is not judged. */
  void onRoomShort() { roomBackAt_.reset(); }
  /** Judges the return once its time is over. @param inTouch whether everything has been without
   * trouble for a while; a return in trouble is not judged. */
  void tick(TimePoint now, bool inTouch);

  /** @return the longest time for which a service was starved. */
  Duration longestStarved() const { return longestStarved_; }
  uint64_t returnsJudged() const { return returnsJudged_; }

 private:
  /** Since a service was last served. */
  struct Hunger {
    std::optional<TimePoint> since;
    uint32_t unserved = 0;
    uint32_t othersServed = 0;
  };
  struct Ends {
    uint32_t all = 0;
    uint32_t served = 0;
  };

  const LoadBounds bounds_;
  PromiseBook& promises_;
  /** By pool and service. */
  std::map<std::string, std::map<std::string, Hunger>> hunger_;
  Duration longestStarved_{0};
  std::map<std::string, std::deque<TimePoint>> full_;
  std::optional<TimePoint> roomBackAt_;
  Ends returned_;
  uint64_t returnsJudged_ = 0;
};

}  // namespace umberhold::soak
