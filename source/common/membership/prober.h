/**
 * @file Finds members that stopped answering.
 *
 * SWIM's round-robin probe order over a shuffled list, direct then indirect. A suspicion stays with
 * the node that raised it: it goes on probing, directly and through helpers, and the member is
 * declared dead only after the suspicion time and only if enough helpers, which themselves
 * answered, did not reach it either. A node that is cut off or slow gets no such witnesses and
 * declares nobody dead (compare Lifeguard: Dadgar, Phillips, Currey, 2017).
 */
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "common/membership/membership_context.h"

namespace umberhold {

/** What a probe has shown about a member; the table is not changed by the prober. */
struct ProbeVerdict {
  NodeId id;
  uint64_t incarnation = 0;
  /** kSuspect or kDead. */
  MemberState state = MemberState::kSuspect;
};

/** The probes of one node. */
class Prober {
 public:
  explicit Prober(MembershipContext& context) : context_(context) {}

  /** Starts and continues probes. */
  std::vector<ProbeVerdict> tick(TimePoint now);
  /** Begins a probe of the member now, unless one is running. */
  void probe(TimePoint now, NodeId target);
  /** Takes an answer; @return the member that it was about, where the probe is ours. */
  std::optional<NodeId> onAck(uint32_t sequence, NodeId subject);
  /** Takes a helper's word that the target did not answer it. */
  void onNack(uint32_t sequence, NodeId helper);
  /** Forgets every probe: what they have seen is worth nothing after a pause. */
  void reset(TimePoint now);

 private:
  enum class Stage : uint8_t { kPinged, kPingedAgain, kIndirect, kSuspect };
  struct Probe {
    NodeId target;
    uint64_t incarnation = 0;
    uint32_t sequence = 0;
    Stage stage = Stage::kPinged;
    TimePoint startedAt;
    TimePoint suspectedAt;
    TimePoint nextStep;
    std::vector<NodeId> confirmations;
  };

  void probeNext(TimePoint now);
  NodeId nextTarget();
  /** @return whether the probe goes on. */
  bool step(TimePoint now, Probe& probe, std::vector<ProbeVerdict>& verdicts);
  bool stepSuspect(TimePoint now, Probe& probe, std::vector<ProbeVerdict>& verdicts);
  bool isConfirmed(const Probe& probe) const;
  void sendPing(const Probe& probe);
  void sendRequests(const Probe& probe);
  const Member* pickHelper(const Probe& probe, bool ownZone);

  MembershipContext& context_;
  std::vector<Probe> probes_;
  std::vector<NodeId> probeOrder_;
  TimePoint nextProbe_;
};

}  // namespace umberhold
