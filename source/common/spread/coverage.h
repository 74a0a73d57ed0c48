/**
 * @file On how many nodes of each region the configuration is effective.
 *
 * The members of a region, by rising id, form a tree of kCoverageFanIn children a node. Each node
 * reports the sum of its part to its parent: soon after it changes, and once in a while. The first
 * member is the root; roots tell other regions through the contacts. Whoever wants to know asks its
 * root, so that nothing is spent on telling everybody.
 */
#pragma once

#include <map>
#include <optional>
#include <vector>

#include "common/base/random.h"
#include "common/base/time.h"
#include "common/membership/membership_view.h"
#include "common/messages/spread_messages.h"
#include "common/spread/contact_book.h"
#include "common/wire/message_sink.h"

namespace umberhold {

/** Children of one node in the tree. */
constexpr size_t kCoverageFanIn = 8;

/** Periods of the coverage reports. */
struct CoverageOptions {
  /** A changed sum is reported at most this often. */
  Duration reportGap = std::chrono::seconds(1);
  /** The same from a region's root to the other regions. */
  Duration regionReportGap = std::chrono::seconds(3);
  /** After a change, a node waits this long per level below it, so that its children report first.
   */
  Duration aggregationDelay = std::chrono::milliseconds(250);
  /** An unchanged sum is reported again this often. */
  Duration reportPeriod = std::chrono::seconds(5);
  /** How often an interested node asks the root. */
  Duration queryPeriod = std::chrono::seconds(1);
  /** For how long a call of refresh() keeps this node interested. */
  Duration queryDuration = std::chrono::seconds(30);
};

/** One node's part in the sums. No I/O; not thread safe. */
class Coverage {
 public:
  /** All references are borrowed and must outlive this. */
  Coverage(const CoverageOptions& options, const MembershipView& view, const ContactBook& contacts,
           RandomSource& random, MessageSink& sink);

  /** @param effectiveVersion ConfigSpread::effectiveVersion() of this node. */
  void tick(TimePoint now, uint64_t effectiveVersion);
  void handle(TimePoint now, const Endpoint& from, NodeId sender, const CoverageReport& report);
  void handle(TimePoint now, const Endpoint& from, NodeId sender, const CoverageQuery& query);
  void handle(TimePoint now, const Endpoint& from, NodeId sender, const CoverageSummary& summary);

  /** Begins (or goes on) to ask the root for the summary. */
  void refresh(TimePoint now) { queryUntil_ = now + options_.queryDuration; }
  /** @return the last known sums, one per region; empty before the first answer. */
  const std::vector<CoverageReport>& summary() const { return summary_; }
  /** @return when summary() was received. */
  TimePoint summaryAt() const { return summaryAt_; }

 private:
  struct ChildReport {
    CoverageReport report;
    TimePoint at;
  };

  void refreshTree();
  CoverageReport ownSum(TimePoint now);
  std::vector<CoverageReport> allRegions(TimePoint now);
  void report(TimePoint now);
  bool isChild(NodeId node) const;
  void askRoot(TimePoint now);

  CoverageOptions options_;
  const MembershipView& view_;
  const ContactBook& contacts_;
  RandomSource& random_;
  MessageSink& sink_;

  std::optional<uint64_t> revision_;
  RegionId region_;
  /** Empty for the root itself, and for a node that is not counted. */
  std::optional<Member> parent_;
  std::optional<Member> root_;
  bool isRoot_ = false;
  std::vector<NodeId> children_;
  /** Levels of the tree below this node. */
  int height_ = 0;

  uint64_t inForceVersion_ = 0;
  std::map<NodeId, ChildReport> reports_;
  /** Kept by the root. */
  std::map<RegionId, ChildReport> otherRegions_;
  CoverageReport lastSent_;
  TimePoint lastSentAt_;
  /** When the sum first differed from what was sent. */
  std::optional<TimePoint> changedAt_;
  TimePoint queryUntil_;
  TimePoint nextQuery_;
  uint32_t lastQuery_ = 0;
  std::vector<CoverageReport> summary_;
  TimePoint summaryAt_;
};

}  // namespace umberhold
