/** @file Components of a simulated node: membership view, configuration, sinks and packets. */
#pragma once

#include <cstdint>
#include <cstring>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <utility>

#include "common/config/service_source.h"
#include "common/flow/flow_director.h"
#include "common/membership/membership_view.h"
#include "common/wire/message.h"
#include "common/wire/message_sink.h"

namespace umberhold {

/** Replaces the inner IP packet in simulations. */
struct SimulatedPacket {
  static constexpr uint8_t kTimeToLive = 64;

  uint32_t flow = 0;
  PacketPhase phase = PacketPhase::kOpening;
  uint8_t timeToLive = kTimeToLive;

  std::string encode() const {
    std::string bytes(sizeof(SimulatedPacket), '\0');
    std::memcpy(bytes.data(), this, sizeof(SimulatedPacket));
    return bytes;
  }
  static SimulatedPacket decode(std::string_view bytes) {
    SimulatedPacket packet;
    std::memcpy(&packet, bytes.data(), sizeof(SimulatedPacket));
    return packet;
  }
};

/** A member list; updates may be applied in any order, as those that are not newer are ignored. */
class SimulatedView : public MembershipView {
 public:
  explicit SimulatedView(const Member& self) : self_(self.id) { members_[self.id] = self; }

  /** @return whether the update changed the list. */
  bool apply(const Member& member) {
    const auto known = members_.find(member.id);
    const bool isStale =
        known != members_.end() && std::tie(member.incarnation, member.state) <=
                                       std::tie(known->second.incarnation, known->second.state);
    if (isStale) {
      return false;
    }
    members_[member.id] = member;
    ++revision_;
    return true;
  }

  NodeId self() const override { return self_; }
  const Member* find(NodeId id) const override {
    const auto known = members_.find(id);
    return known == members_.end() ? nullptr : &known->second;
  }
  void forEach(const std::function<void(const Member&)>& visitor) const override {
    for (const auto& [id, member] : members_) {
      visitor(member);
    }
  }
  uint64_t revision() const override { return revision_; }

 private:
  NodeId self_;
  std::map<NodeId, Member> members_;
  uint64_t revision_ = 0;
};

/** The configuration of one node. */
class SimulatedServices : public ServiceSource {
 public:
  /** @return whether the version is newer than the current one. */
  bool apply(uint64_t version, ServiceId id, const Service& service) {
    if (version <= version_) {
      return false;
    }
    version_ = version;
    services_[id] = service;
    return true;
  }
  const Service* find(ServiceId id) const override {
    const auto known = services_.find(id);
    return known == services_.end() ? nullptr : &known->second;
  }
  void forEach(const std::function<void(ServiceId, const Service&)>& visitor) const override {
    for (const auto& [id, service] : services_) {
      visitor(id, service);
    }
  }

 private:
  uint64_t version_ = 0;
  std::map<ServiceId, Service> services_;
};

/** Sends messages over the simulated network. */
class SimulatedSink : public MessageSink {
 public:
  using Send = std::function<void(const Endpoint&, Message)>;
  explicit SimulatedSink(Send send) : send_(std::move(send)) {}
  void send(const Endpoint& to, Message message) override { send_(to, std::move(message)); }

 private:
  Send send_;
};

/** Returns held packets to the node's packet path. */
class SimulatedHeldSink : public HeldPacketSink {
 public:
  using Release = std::function<void(TimePoint, std::string, PacketSource)>;
  explicit SimulatedHeldSink(Release release) : release_(std::move(release)) {}
  void release(TimePoint now, std::string bytes, PacketSource source) override {
    release_(now, std::move(bytes), source);
  }

 private:
  Release release_;
};

}  // namespace umberhold
