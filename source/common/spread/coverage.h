/**
 * @file Aggregation of the number of nodes per region on which a configuration is effective.
 *
 * The members of a region, in ascending order of ids, form a tree with kCoverageFanIn children per
 * node. Each node reports the sum of its subtree to its parent, soon after a change and
 * periodically. The first member is the root; roots report to other regions through the contacts.
 * Nodes query the root of their region on demand, which saves sending the summary to all nodes.
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

/** Maximum number of children of one node in the tree. */
constexpr size_t kCoverageFanIn = 8;

/** Intervals of the coverage reports. */
struct CoverageOptions {
  /** Minimum interval between two reports of a changed sum. */
  Duration reportGap = std::chrono::seconds(1);
  /** The same for reports from a region's root to other regions. */
  Duration regionReportGap = std::chrono::seconds(3);
  /** Delay of a report after a change, per tree level below the node, so that its children report
   * first. */
  Duration aggregationDelay = std::chrono::milliseconds(250);
  /** Interval at which an unchanged sum is reported again. */
  Duration reportPeriod = std::chrono::seconds(5);
  /** Interval of the queries to the root. */
  Duration queryPeriod = std::chrono::seconds(1);
  /** Time for which a node continues to query the root after a call of refresh(). */
  Duration queryDuration = std::chrono::seconds(30);
};

/** Coverage aggregation of one node. No I/O; not thread safe. */
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

  /** Starts or extends the periodic queries of the root for the summary. */
  void refresh(TimePoint now) { queryUntil_ = now + options_.queryDuration; }
  /** @return the last received sums, one per region; empty before the first answer. */
  const std::vector<CoverageReport>& summary() const { return summary_; }
  /** @return the time at which summary() was received. */
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
  void queryRoot(TimePoint now);

  CoverageOptions options_;
  const MembershipView& view_;
  const ContactBook& contacts_;
  RandomSource& random_;
  MessageSink& sink_;

  std::optional<uint64_t> revision_;
  RegionId region_;
  /** Empty for the root, and for a node that is not counted. */
  std::optional<Member> parent_;
  std::optional<Member> root_;
  bool isRoot_ = false;
  std::vector<NodeId> children_;
  /** Number of tree levels below this node. */
  int height_ = 0;

  uint64_t effectiveVersion_ = 0;
  std::map<NodeId, ChildReport> reports_;
  /** Latest reports of other regions; only on the root. */
  std::map<RegionId, ChildReport> otherRegions_;
  CoverageReport lastSent_;
  TimePoint lastSentAt_;
  /** Time at which the sum first differed from the last report. */
  std::optional<TimePoint> changedAt_;
  TimePoint queryUntil_;
  TimePoint nextQuery_;
  uint32_t lastQuery_ = 0;
  std::vector<CoverageReport> summary_;
  TimePoint summaryAt_;
};

}  // namespace umberhold
