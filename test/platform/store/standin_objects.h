/**
 * @file Objects of a stand-in for the users' store: kinds, revisions, preconditions and history.
 *
 * Implements the store's published protocol. Specifications and status are JSON texts that the
 * store does not interpret.
 */
#pragma once

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "common/base/time.h"

namespace umberhold::test {

/** One object. */
struct StandinObject {
  std::string name;
  uint64_t revision = 0;
  /** Revision at which the object was created. */
  uint64_t made = 0;
  std::vector<std::string> finalizers;
  bool deleting = false;
  std::string spec = "null";
  std::string status = "null";
};

/** The object is not at the required revision, or already exists. */
struct StandinConflict {
  StandinObject current;
};
struct StandinNotFound {};
/** The watch starts before the retained history. */
struct StandinHistoryGone {};

using StandinAnswer = std::variant<StandinObject, StandinConflict, StandinNotFound>;

struct StandinPage {
  std::vector<StandinObject> items;
  bool more = false;
  uint64_t at = 0;
};

struct StandinEvent {
  std::string kind;
  StandinObject object;
  /** Whether the object was removed. */
  bool gone = false;
};

struct StandinEvents {
  std::vector<StandinEvent> events;
  uint64_t at = 0;
};

/** Thread safe. A required revision of 0 means none. */
class StandinObjects {
 public:
  StandinPage list(const std::string& kind, const std::string& after, size_t limit,
                   bool stale) const;
  std::optional<StandinObject> get(const std::string& kind, const std::string& name,
                                   bool stale) const;
  StandinAnswer create(const std::string& kind, const StandinObject& object);
  /** Replaces spec and finalizers. */
  StandinAnswer replace(const std::string& kind, const StandinObject& object);
  StandinAnswer replaceStatus(const std::string& kind, const StandinObject& object);
  /** Removes the object, or marks it as deleting while it has finalizers. */
  StandinAnswer remove(const std::string& kind, const std::string& name, uint64_t revision);
  /** @param stale whether the answer may be stale; such a watch is answered at once. */
  std::variant<StandinEvents, StandinHistoryGone> watch(const std::string& kind, uint64_t since,
                                                        Duration wait, bool stale = false);

  /**
   * Creates or replaces the object at any revision.
   * @return the new revision.
   */
  uint64_t set(const std::string& kind, const std::string& name, const std::string& spec);
  /** Drops all events; watches that start before the current revision are answered as gone. */
  void forgetHistory();
  /** Pending watches of the kind receive no events until they time out. */
  void muteWatches(const std::string& kind);
  /** Ends pending watches without events; later ones wait as usual. */
  void endWatches();
  /** Stale reads return the current objects until the next call of this function. */
  void freezeStaleReads();
  /** Stale reads return the objects as of this long ago; changes made before are not affected. */
  void setStaleLag(Duration lag);
  /** Ends pending watches without events; later ones do not wait. */
  void stopWatches();

 private:
  struct Snapshot {
    std::map<std::pair<std::string, std::string>, StandinObject> objects;
    uint64_t revision = 0;
  };

  const Snapshot& snapshotFor(bool stale) const;
  /** Keeps the current objects for stale reads; to be called before each change. */
  void keepForStaleReads();
  StandinAnswer change(const std::string& kind, const StandinObject& required,
                       const std::function<void(StandinObject&)>& apply);
  void recordEvent(const std::string& kind, const StandinObject& object, bool gone);

  mutable std::mutex mutex_;
  std::condition_variable changed_;
  Snapshot current_;
  std::optional<Snapshot> staleSnapshot_;
  Duration staleLag_{0};
  /** Earlier snapshots, with the time at which each was replaced. */
  std::deque<std::pair<std::chrono::steady_clock::time_point, Snapshot>> past_;
  std::deque<StandinEvent> history_;
  uint64_t lastDroppedRevision_ = 0;
  uint64_t watchCount_ = 0;
  /** Number of the last watch that receives no events, by kind. */
  std::map<std::string, uint64_t> lastMutedWatch_;
  /** Number of the last watch that was ended by endWatches(). */
  uint64_t lastEndedWatch_ = 0;
  bool stopped_ = false;
};

}  // namespace umberhold::test
