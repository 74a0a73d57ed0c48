/**
 * @file Which zones are evacuated, as news of it comes from several sources out of order.
 *
 * An evacuation begins, ends, and may begin again; lists, watches and peers tell of it at different
 * times. Each piece of news carries the store's version, and older news never replaces newer.
 */
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "common/config/evacuated_zones.h"

namespace umberhold {

/** No I/O, not thread safe. */
class ZoneEvacuations {
 public:
  /** @param version of the store at the change. */
  void onStarted(const std::string& zone, uint64_t version);
  void onEnded(const std::string& zone, uint64_t version);
  /** Nothing but what was read happened up to the version: a list or a watch's answer ended. */
  void onKnownUpTo(uint64_t version);
  /** All evacuations as of the version: zones that it lacks are not evacuated any more. One that is
   * older than what is known tells nothing, also of zones that are not known. */
  void onSnapshot(const EvacuatedZones& whole, uint64_t version);

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
