#include "test/soak/world/soak_host.h"

#include <algorithm>
#include <utility>

namespace umberhold::soak {
namespace {

constexpr size_t kIncarnationBytes = 8;
constexpr unsigned kByteBits = 8;
/** Number of transmissions after which a host abandons a flow. */
constexpr uint32_t kMaxTransmissions = 9;
/** Timeout of an opening whose caller accepted another host's answer, or none. */
constexpr Duration kOpeningTimeout = std::chrono::seconds(3);

uint64_t incarnationOf(std::string_view bytes) {
  uint64_t incarnation = 0;
  for (size_t index = 0; index < kIncarnationBytes; ++index) {
    incarnation = (incarnation << kByteBits) | static_cast<uint8_t>(bytes[index]);
  }
  return incarnation;
}

/** @return the addresses of packets from the host to the caller. */
StreamAddresses addressesOf(const FlowName& flow) {
  return {flow.service.address, flow.caller.address, flow.service.port, flow.caller.port};
}

EchoPacket packetOf(const FlowName& flow, uint8_t flags) {
  const StreamAddresses addresses = addressesOf(flow);
  EchoPacket packet;
  packet.flags = flags;
  packet.source = addresses.source;
  packet.target = addresses.target;
  packet.sourcePort = addresses.sourcePort;
  packet.targetPort = addresses.targetPort;
  return packet;
}

}  // namespace

FlowName flowOfCaller(const EchoPacket& packet) {
  return {{packet.source, packet.sourcePort}, {packet.target, packet.targetPort}};
}

SoakHost::SoakHost(HostPlan plan, HostHooks hooks, RandomSource& random)
    : plan_(std::move(plan)), hooks_(std::move(hooks)), random_(random) {
  slotsFreeAt_.resize(plan_.slots);
}

void SoakHost::onDatagram(TimePoint now, const Endpoint& node, std::string_view bytes) {
  if (state_ == HostState::kEnded || bytes.size() < kIncarnationBytes) {
    return;
  }
  // Nodes prepend the incarnation of the host that they selected; 0 means any host.
  const uint64_t targetIncarnation = incarnationOf(bytes);
  const auto packet = decode(bytes.substr(kIncarnationBytes));
  if (targetIncarnation != 0 && targetIncarnation != plan_.incarnation) {
    return;
  }
  if (!packet || !isSealed(*packet)) {
    hooks_.forged(packet.value_or(EchoPacket{}));
    return;
  }
  if (packet->has(kSyn)) {
    onOpening(now, *packet, node);
    return;
  }
  const FlowName name = flowOfCaller(*packet);
  const auto found = flows_.find(name);
  if (found == flows_.end()) {
    if (!packet->has(kRst)) {
      sendReset(*packet);
    }
    return;
  }
  if (packet->has(kRst)) {
    flows_.erase(found);
    return;
  }
  onSegment(now, *packet, name, found->second);
}

void SoakHost::onOpening(TimePoint now, const EchoPacket& packet, const Endpoint& node) {
  const FlowName name = flowOfCaller(packet);
  hooks_.opening(name, node);
  auto found = flows_.find(name);
  if (found == flows_.end()) {
    if (plan_.maxFlows > 0 && openFlowCount() >= plan_.maxFlows) {
      hooks_.full();
      return;
    }
    const auto firstSequence = static_cast<uint32_t>(random_.below(UINT32_MAX));
    Flow flow{StreamEnd(addressesOf(name), firstSequence + 1, packet.sequence + 1),
              firstSequence,
              now,
              false,
              false,
              {},
              {}};
    found = flows_.emplace(name, std::move(flow)).first;
  }
  EchoPacket answer = packetOf(name, kSyn | kAck);
  answer.echo = packet.echo;
  answer.sequence = found->second.firstSequence;
  answer.acknowledged = packet.sequence + 1;
  hooks_.send(name.caller, encodeSealed(answer));
}

void SoakHost::onSegment(TimePoint now, const EchoPacket& packet, const FlowName& name,
                         Flow& flow) {
  if (!flow.open && packet.acknowledged != flow.firstSequence + 1) {
    return;  // The caller accepted another host's answer.
  }
  flow.open = true;
  std::vector<std::string> out;
  flow.received += flow.stream.onPacket(now, packet, out);
  acceptRequests(now, name, flow);
  if (flow.stream.isFinishedByOther() && !flow.closing) {
    flow.closing = true;
    flow.stream.finish();
    flow.stream.tick(now, out);
  }
  sendAll(name, out);
}

void SoakHost::acceptRequests(TimePoint now, const FlowName& name, Flow& flow) {
  while (const auto request = extractRequest(flow.received)) {
    const std::optional<TimePoint> doneAt = reserveSlot(now);
    if (doneAt) {
      hooks_.run(name, *request);
    } else {
      hooks_.rejected(*request);
    }
    flow.jobs.push_back({*request, doneAt.value_or(now), !doneAt});
  }
}

std::optional<TimePoint> SoakHost::reserveSlot(TimePoint now) {
  if (slotsFreeAt_.empty()) {
    return now + plan_.workTime;
  }
  while (!queuedUntil_.empty() && queuedUntil_.front() <= now) {
    queuedUntil_.pop_front();
  }
  const auto slot = std::min_element(slotsFreeAt_.begin(), slotsFreeAt_.end());
  if (*slot > now) {
    if (queuedUntil_.size() >= plan_.maxQueued) {
      return std::nullopt;
    }
    queuedUntil_.push_back(*slot);
  }
  *slot = std::max(*slot, now) + plan_.workTime;
  return *slot;
}

void SoakHost::answerDone(TimePoint now, Flow& flow) {
  while (!flow.jobs.empty() && flow.jobs.front().doneAt <= now) {
    const Job& job = flow.jobs.front();
    flow.stream.write(job.rejected ? rejectionText(job.request)
                                   : answerText(job.request, plan_.service));
    flow.jobs.erase(flow.jobs.begin());
    if (state_ == HostState::kDraining && flow.jobs.empty() && !flow.closing) {
      flow.closing = true;
      flow.stream.finish();
    }
  }
}

void SoakHost::tick(TimePoint now) {
  for (auto entry = flows_.begin(); entry != flows_.end();) {
    Flow& flow = entry->second;
    answerDone(now, flow);
    std::vector<std::string> out;
    flow.stream.tick(now, out);
    sendAll(entry->first, out);
    const bool closed = flow.closing && flow.stream.isDrained() && flow.stream.isFinishedByOther();
    const bool lost = flow.stream.transmissions() >= kMaxTransmissions;
    const bool unopened = !flow.open && now - flow.startedAt > kOpeningTimeout;
    entry = closed || lost || unopened ? flows_.erase(entry) : std::next(entry);
  }
}

void SoakHost::end() {
  state_ = HostState::kEnded;
  flows_.clear();
}

bool SoakHost::holds(const FlowName& flow) const {
  const auto found = flows_.find(flow);
  return found != flows_.end() && found->second.open;
}

size_t SoakHost::openFlowCount() const {
  return static_cast<size_t>(
      std::count_if(flows_.begin(), flows_.end(), [](const auto& nameAndFlow) {
        const Flow& flow = nameAndFlow.second;
        return flow.open && !flow.stream.isFinishedByOther();
      }));
}

void SoakHost::sendReset(const EchoPacket& packet) {
  const FlowName name = flowOfCaller(packet);
  EchoPacket reset = packetOf(name, kRst);
  reset.echo = packet.echo;
  reset.sequence = packet.acknowledged;
  hooks_.send(name.caller, encodeSealed(reset));
}

void SoakHost::sendAll(const FlowName& name, const std::vector<std::string>& packets) {
  for (const std::string& packet : packets) {
    hooks_.send(name.caller, packet);
  }
}

}  // namespace umberhold::soak
