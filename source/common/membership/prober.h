/**
 * @file Detection of unresponsive members.
 *
 * SWIM's round-robin probe order over a shuffled list, direct probes before indirect ones. A
 * suspicion is local to the node that raised it: the node continues to probe, directly and through
 * helpers, and declares the member dead only after the suspicion time and only if enough helpers
 * have reported that they cannot reach it either. A node that is partitioned or slow receives no
 * such confirmations and declares no member dead (compare Lifeguard: Dadgar, Phillips, Currey,
 * 2017).
 */
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "common/membership/membership_context.h"

namespace umberhold {

/** Result of a probe. The prober itself does not change the table. */
struct ProbeVerdict {
  NodeId id;
  uint64_t incarnation = 0;
  /** kSuspect or kDead. */
  MemberState state = MemberState::kSuspect;
};

/** Runs the probes of one node. */
class Prober {
 public:
  explicit Prober(MembershipContext& context) : context_(context) {}

  /** Starts and continues probes; @return members that became suspect or dead. */
  std::vector<ProbeVerdict> tick(TimePoint now);
  /** Starts a probe of the member now, unless one is running or too many are. */
  void probe(TimePoint now, NodeId target);
  /** Processes an acknowledgement; @return the acknowledged member if the probe is this node's. */
  std::optional<NodeId> onAck(uint32_t sequence, NodeId subject);
  /** Records a helper's report that the target did not answer it. */
  void onNack(uint32_t sequence, NodeId helper);
  /** Discards all probes, for example after a pause, when their results are stale. */
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
  /** @return whether the probe continues. */
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
