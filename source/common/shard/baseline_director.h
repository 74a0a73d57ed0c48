/**
 * @file Baseline flow directors without shard owners, kept for benchmark comparisons.
 *
 * Both decide on the node that receives a packet. Nodes share no state, so packets of one flow that
 * arrive at different nodes may be sent to different hosts while the nodes' views differ.
 */
#pragma once

#include <unordered_map>

#include "common/config/service_source.h"
#include "common/flow/flow_director.h"
#include "common/flow/flow_table.h"
#include "common/placement/base_table.h"
#include "common/shard/host_directory.h"
#include "common/shard/host_slots.h"

namespace umberhold {

/** Baseline (a): the flow's hash modulo the number of active hosts. Stateless. */
class PlainHashDirector : public FlowDirector {
 public:
  explicit PlainHashDirector(const ServiceSource& services) : services_(services) {}

  FlowDecision decide(TimePoint now, const FlowPacket& packet, std::string_view bytes) override;

 private:
  const ServiceSource& services_;
};

/**
 * Baseline (b): rendezvous hashing over the active hosts; placements are recorded only in this
 * node's flow table.
 */
class LocalTableDirector : public FlowDirector {
 public:
  /**
   * @param services borrowed. @param flows borrowed; the director creates and removes its own
   * shards in it.
   */
  LocalTableDirector(const ServiceSource& services, FlowTable& flows)
      : services_(services), flows_(flows) {}

  FlowDecision decide(TimePoint now, const FlowPacket& packet, std::string_view bytes) override;
  /** Handles changed hosts of a service, or its deletion. */
  void onServiceChanged(ServiceId service);

 private:
  struct LocalService {
    uint32_t flowSlot = 0;
    HostDirectory hosts;
    HostSlots slots;
    BaseTable table;
  };

  LocalService* find(ServiceId id);
  static void update(LocalService& local, ServiceId id, const Service& service);
  FlowDecision place(TimePoint now, LocalService& local, const FlowPacket& packet);

  const ServiceSource& services_;
  FlowTable& flows_;
  std::unordered_map<ServiceId, LocalService> locals_;
};

}  // namespace umberhold
