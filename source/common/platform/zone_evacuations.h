/**
 * @file Tracks which zones are evacuated from updates that several sources deliver out of order.
 *
 * An evacuation starts, ends, and may start again; lists, watches and peers report it at different
 * times. Each update carries the store's version, and an older update never replaces a newer one.
 */
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "common/config/evacuated_zones.h"

namespace umberhold {

/** The evacuated zones. No I/O, not thread safe. */
class ZoneEvacuations {
 public:
  /** @param version of the store at the change. */
  void onStarted(const std::string& zone, uint64_t version);
  void onEnded(const std::string& zone, uint64_t version);
  /**
   * Reports that all changes up to the version have been applied: a list or a watch's answer is
   * complete.
   */
  void onKnownUpTo(uint64_t version);
  /**
   * Applies the complete set of evacuated zones at the version: zones that it lacks are not
   * evacuated. A snapshot older than the known state is ignored, also for zones that are not known.
   */
  void onSnapshot(const EvacuatedZones& snapshot, uint64_t version);

  EvacuatedZones evacuated() const;
  /** @return whether evacuated() has changed since the last call. */
  bool takeChange();

 private:
  struct State {
    uint64_t version = 0;
    bool evacuated = false;
  };

  void set(const std::string& zone, State state);

  std::map<std::string, State> zones_;
  uint64_t knownUpTo_ = 0;
  bool changed_ = false;
};

}  // namespace umberhold
