#include "common/membership/prober.h"

#include <algorithm>

#include "common/wire/message.h"

namespace umberhold {

std::vector<ProbeVerdict> Prober::tick(TimePoint now) {
  std::vector<ProbeVerdict> verdicts;
  std::erase_if(probes_,
                [&](Probe& probe) { return now >= probe.nextStep && !step(now, probe, verdicts); });
  if (now >= nextProbe_) {
    const bool late = now - nextProbe_ > context_.options.probePeriod;
    nextProbe_ = (late ? now : nextProbe_) + context_.options.probePeriod;
    probeNext(now);
  }
  return verdicts;
}

void Prober::reset(TimePoint now) {
  probes_.clear();
  nextProbe_ = now;
}

void Prober::probeNext(TimePoint now) {
  if (const NodeId target = nextTarget(); target != context_.table.self().id) {
    probe(now, target);
  }
}

NodeId Prober::nextTarget() {
  const NodeId self = context_.table.self().id;
  for (int pass = 0; pass < 2; ++pass) {
    while (!probeOrder_.empty()) {
      const NodeId id = probeOrder_.back();
      probeOrder_.pop_back();
      const MemberEntry* entry = context_.table.find(id);
      if (entry != nullptr && isLiveEntry(*entry)) {
        return id;
      }
    }
    for (const MemberEntry& entry : context_.table.entries()) {
      if (isLiveEntry(entry) && entry.member.id != self) {
        probeOrder_.push_back(entry.member.id);
      }
    }
    std::shuffle(probeOrder_.begin(), probeOrder_.end(), context_.random.engine());
  }
  return self;
}

void Prober::probe(TimePoint now, NodeId target) {
  const MemberEntry* entry = context_.table.find(target);
  const bool running = std::any_of(probes_.begin(), probes_.end(),
                                   [&](const Probe& probe) { return probe.target == target; });
  if (entry == nullptr || running || probes_.size() >= context_.options.activeProbes) {
    return;
  }
  Probe probe;
  probe.target = target;
  probe.incarnation = entry->member.incarnation;
  probe.sequence = context_.nextSequence();
  probe.startedAt = now;
  probe.nextStep = now + context_.options.retryAfter;
  sendPing(probe);
  probes_.push_back(std::move(probe));
}

std::optional<NodeId> Prober::onAck(uint32_t sequence, NodeId subject) {
  const auto found = std::find_if(probes_.begin(), probes_.end(), [&](const Probe& probe) {
    return probe.sequence == sequence && probe.target == subject;
  });
  if (found == probes_.end()) {
    return std::nullopt;
  }
  probes_.erase(found);
  return subject;
}

void Prober::onNack(uint32_t sequence, NodeId helper) {
  for (Probe& probe : probes_) {
    const bool known = std::find(probe.confirmations.begin(), probe.confirmations.end(), helper) !=
                       probe.confirmations.end();
    if (probe.sequence == sequence && !known &&
        probe.confirmations.size() < context_.options.confirmations) {
      probe.confirmations.push_back(helper);
    }
  }
}

bool Prober::step(TimePoint now, Probe& probe, std::vector<ProbeVerdict>& verdicts) {
  const MemberEntry* entry = context_.table.find(probe.target);
  if (entry == nullptr || !isLiveEntry(*entry) || entry->member.incarnation != probe.incarnation) {
    return false;
  }
  const MembershipOptions& options = context_.options;
  switch (probe.stage) {
    case Stage::kPinged:
      sendPing(probe);
      probe.stage = Stage::kPingedAgain;
      probe.nextStep = probe.startedAt + options.indirectAfter;
      return true;
    case Stage::kPingedAgain:
      sendRequests(probe);
      probe.stage = Stage::kIndirect;
      probe.nextStep = probe.startedAt + options.suspectAfter;
      return true;
    case Stage::kIndirect:
      probe.stage = Stage::kSuspect;
      probe.suspectedAt = now;
      verdicts.push_back({probe.target, probe.incarnation, MemberState::kSuspect});
      break;
    case Stage::kSuspect:
      break;
  }
  return stepSuspect(now, probe, verdicts);
}

bool Prober::stepSuspect(TimePoint now, Probe& probe, std::vector<ProbeVerdict>& verdicts) {
  const Duration suspectedFor = now - probe.suspectedAt;
  const bool due = suspectedFor >= context_.options.suspicionTime;
  if (due && isConfirmed(probe)) {
    verdicts.push_back({probe.target, probe.incarnation, MemberState::kDead});
    return false;
  }
  sendPing(probe);
  sendRequests(probe);
  // Without confirmations this node may itself be partitioned: continue at a decreasing rate.
  const Duration slower = due ? suspectedFor / 2 : Duration::zero();
  probe.nextStep = now + context_.options.verifyPeriod + slower;
  return true;
}

bool Prober::isConfirmed(const Probe& probe) const {
  const NodeId self = context_.table.self().id;
  size_t helpers = 0;
  for (const MemberEntry& entry : context_.table.entries()) {
    const bool possible = entry.member.id != self && entry.member.id != probe.target;
    helpers += possible && isTrustedEntry(entry) ? 1 : 0;
  }
  return probe.confirmations.size() >= std::min(helpers, context_.options.confirmations);
}

void Prober::sendPing(const Probe& probe) {
  const MemberEntry* entry = context_.table.find(probe.target);
  context_.sink.send(entry->member.controlEndpoint(),
                     Message{Ping{probe.sequence, context_.piggyback()}});
}

void Prober::sendRequests(const Probe& probe) {
  const MemberEntry* entry = context_.table.find(probe.target);
  std::vector<NodeId> chosen;
  for (size_t index = 0; index < context_.options.helpers; ++index) {
    const Member* helper = pickHelper(probe, index == 0);
    if (helper == nullptr || std::find(chosen.begin(), chosen.end(), helper->id) != chosen.end()) {
      continue;
    }
    chosen.push_back(helper->id);
    context_.sink.send(
        helper->controlEndpoint(),
        Message{PingRequest{probe.sequence, probe.target, entry->member.controlEndpoint()}});
  }
}

const Member* Prober::pickHelper(const Probe& probe, bool ownZone) {
  const ZoneId zone = context_.table.self().zone;
  const auto fits = [&](const MemberEntry& entry) {
    return isTrustedEntry(entry) && entry.member.id != probe.target;
  };
  const auto fitsOwnZone = [&](const MemberEntry& entry) {
    return fits(entry) && entry.member.zone == zone;
  };
  const Member* helper = ownZone ? context_.table.pick(context_.random, fitsOwnZone) : nullptr;
  return helper != nullptr ? helper : context_.table.pick(context_.random, fits);
}

}  // namespace umberhold
