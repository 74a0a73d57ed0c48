/** @file State shared by the stand-in platform's request handlers. */
#pragma once

#include <cstdint>

#include "standins/platform/fault_switches.h"
#include "standins/platform/machine_list.h"
#include "standins/platform/object_store.h"
#include "standins/platform/request_counters.h"

namespace umberhold::standins {

/** Each member is thread safe. */
struct PlatformState {
  PlatformState(size_t historyLimit, Duration machinesLag, uint64_t seed)
      : objects(historyLimit), machines(machinesLag), faults(seed) {}

  ObjectStore objects;
  MachineList machines;
  FaultSwitches faults;
  RequestCounters counters;
};

}  // namespace umberhold::standins
