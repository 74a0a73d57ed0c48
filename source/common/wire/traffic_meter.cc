/** @file Counters of control traffic. */
#include "common/wire/traffic_meter.h"

#include <type_traits>

namespace umberhold {
namespace {

template <class Type, class... Types>
constexpr bool kIsOneOf = (std::is_same_v<Type, Types> || ...);

template <class Type>
constexpr bool kIsMembership =
    kIsOneOf<Type, Ping, PingAck, PingRequest, JoinRequest, JoinReply, MemberGossip, PingNack,
             MemberDigest, MemberDigestReply, MemberQuery>;
template <class Type>
constexpr bool kIsSpread = kIsOneOf<Type, RecordPush, DigestRequest, DigestReply, RecordRequest,
                                    CoverageReport, RecordFragment, CoverageQuery, CoverageSummary>;
template <class Type>
constexpr bool kIsShard = kIsOneOf<Type, OwnershipNotice, TakeoverRequest, TakeoverReply,
                                   SnapshotChunk, SnapshotAck, ReplicaAppend, ReplicaAck>;
template <class Type>
constexpr bool kIsLoad = kIsOneOf<Type, LoadShare, PermitRequest, PermitGrant>;

template <class Type>
constexpr TrafficClass classOf() {
  static_assert(kIsMembership<Type> || kIsSpread<Type> || kIsShard<Type> || kIsLoad<Type>,
                "add the new message to one of the lists above");
  if constexpr (kIsMembership<Type>) {
    return TrafficClass::kMembership;
  } else if constexpr (kIsSpread<Type>) {
    return TrafficClass::kSpread;
  } else if constexpr (kIsShard<Type>) {
    return TrafficClass::kShard;
  } else {
    return TrafficClass::kLoad;
  }
}

void addDatagram(TrafficCount& count, size_t payloadBytes) {
  ++count.datagrams;
  count.bytes += payloadBytes + kDatagramHeaderBytes;
}

size_t indexOf(TrafficClass trafficClass) {
  return static_cast<size_t>(trafficClass);
}

}  // namespace

TrafficClass trafficClassOf(const Message& message) {
  return std::visit([](const auto& body) { return classOf<std::remove_cvref_t<decltype(body)>>(); },
                    message.body);
}

std::string_view toString(TrafficClass trafficClass) {
  switch (trafficClass) {
    case TrafficClass::kMembership:
      return "membership";
    case TrafficClass::kSpread:
      return "spread";
    case TrafficClass::kShard:
      return "shard";
    case TrafficClass::kLoad:
      return "load";
    case TrafficClass::kAdmin:
      return "admin";
    case TrafficClass::kCount:
      break;
  }
  return "unknown";
}

void TrafficMeter::countSent(TrafficClass trafficClass, size_t payloadBytes) {
  addDatagram(sent_[indexOf(trafficClass)], payloadBytes);
}

void TrafficMeter::countSent(const Message& message, size_t payloadBytes) {
  countSent(trafficClassOf(message), payloadBytes);
  addDatagram(sentByType_[message.body.index()], payloadBytes);
}

void TrafficMeter::countReceived(TrafficClass trafficClass, size_t payloadBytes) {
  addDatagram(received_[indexOf(trafficClass)], payloadBytes);
}

const TrafficCount& TrafficMeter::sent(TrafficClass trafficClass) const {
  return sent_[indexOf(trafficClass)];
}

const TrafficCount& TrafficMeter::received(TrafficClass trafficClass) const {
  return received_[indexOf(trafficClass)];
}

}  // namespace umberhold
