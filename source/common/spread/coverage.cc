#include "common/spread/coverage.h"

#include <algorithm>
#include <utility>

#include "common/wire/message.h"

namespace umberhold {
namespace {

/** Number of report periods after which a child's report expires. */
constexpr int kReportPeriodsKept = 3;
/** Maximum number of stored reports: those of children, and of nodes whose parent was this node
 * until recently. */
constexpr size_t kMaxReports = 4 * kCoverageFanIn;

bool isCounted(const Member& member) {
  return member.state == MemberState::kAlive || member.state == MemberState::kSuspect;
}

/** Adds the report of a subtree. Nodes at an older version do not count for a newer one. */
void add(CoverageReport& sum, const CoverageReport& part) {
  if (part.version > sum.version) {
    sum.nodesAtVersion = 0;
    sum.version = part.version;
  }
  if (part.version == sum.version) {
    sum.nodesAtVersion += part.nodesAtVersion;
  }
  sum.nodes += part.nodes;
  if (part.slowestVersion < sum.slowestVersion) {
    sum.slowest = part.slowest;
    sum.slowestVersion = part.slowestVersion;
  }
}

}  // namespace

Coverage::Coverage(const CoverageOptions& options, const MembershipView& view,
                   const ContactBook& contacts, RandomSource& random, MessageSink& sink)
    : options_(options), view_(view), contacts_(contacts), random_(random), sink_(sink) {}

void Coverage::refreshTree() {
  if (revision_ == view_.revision()) {
    return;
  }
  revision_ = view_.revision();
  std::vector<Member> counted;
  view_.forEach([&](const Member& member) {
    if (member.id == view_.self()) {
      region_ = member.region;
    }
    if (isCounted(member)) {
      counted.push_back(member);
    }
  });
  std::sort(counted.begin(), counted.end(),
            [](const Member& left, const Member& right) { return left.id < right.id; });
  const auto self = std::find_if(counted.begin(), counted.end(),
                                 [&](const Member& member) { return member.id == view_.self(); });
  const std::optional<Member> formerParent = std::exchange(parent_, std::nullopt);
  root_.reset();
  children_.clear();
  isRoot_ = self != counted.end() && self == counted.begin();
  if (!counted.empty()) {
    root_ = counted.front();
  }
  if (self == counted.end()) {
    return;
  }
  const auto rank = static_cast<size_t>(self - counted.begin());
  if (rank > 0) {
    parent_ = counted[(rank - 1) / kCoverageFanIn];
  }
  if (parent_ != formerParent) {
    lastSent_ = CoverageReport{};
  }
  const size_t firstChild = rank * kCoverageFanIn + 1;
  height_ = 0;
  for (size_t below = firstChild; below < counted.size(); below = below * kCoverageFanIn + 1) {
    ++height_;
  }
  for (size_t child = firstChild; child < firstChild + kCoverageFanIn && child < counted.size();
       ++child) {
    children_.push_back(counted[child].id);
  }
}

bool Coverage::isChild(NodeId node) const {
  return std::find(children_.begin(), children_.end(), node) != children_.end();
}

CoverageReport Coverage::ownSum(TimePoint now) {
  const Duration lifetime = options_.reportPeriod * kReportPeriodsKept;
  std::erase_if(reports_, [&](const auto& entry) { return now - entry.second.at > lifetime; });
  CoverageReport sum{region_, effectiveVersion_, 1, 1, view_.self(), effectiveVersion_};
  for (const auto& [sender, report] : reports_) {
    if (isChild(sender)) {
      add(sum, report.report);
    }
  }
  return sum;
}

void Coverage::tick(TimePoint now, uint64_t effectiveVersion) {
  effectiveVersion_ = effectiveVersion;
  refreshTree();
  report(now);
  if (now < queryUntil_ && now >= nextQuery_) {
    queryRoot(now);
  }
}

void Coverage::report(TimePoint now) {
  const Duration waited = now - lastSentAt_;
  if (waited < (isRoot_ ? options_.regionReportGap : options_.reportGap) ||
      (!parent_ && !isRoot_)) {
    return;
  }
  const CoverageReport sum = ownSum(now);
  if (sum == lastSent_) {
    changedAt_.reset();
  } else if (!changedAt_) {
    changedAt_ = now;
  }
  const bool aggregated = changedAt_ && now - *changedAt_ >= options_.aggregationDelay * height_;
  if (!aggregated && waited < options_.reportPeriod) {
    return;
  }
  changedAt_.reset();
  lastSent_ = sum;
  lastSentAt_ = now;
  if (parent_) {
    sink_.send(parent_->controlEndpoint(), Message{sum});
    return;
  }
  for (const RegionContact& contact : contacts_.pickOthers(region_, random_)) {
    sink_.send(contact.control, Message{sum});
  }
}

void Coverage::queryRoot(TimePoint now) {
  nextQuery_ = now + options_.queryPeriod;
  if (isRoot_) {
    summary_ = allRegions(now);
    summaryAt_ = now;
  } else if (root_) {
    sink_.send(root_->controlEndpoint(), Message{CoverageQuery{++lastQuery_}});
  }
}

std::vector<CoverageReport> Coverage::allRegions(TimePoint now) {
  std::vector<CoverageReport> regions{ownSum(now)};
  for (const auto& [region, received] : otherRegions_) {
    regions.push_back(received.report);
  }
  return regions;
}

void Coverage::handle(TimePoint now, const Endpoint& /*from*/, NodeId sender,
                      const CoverageReport& report) {
  refreshTree();
  if (report.region == region_) {
    // Stored even if the sender is not a child in this node's view yet.
    if (reports_.size() < kMaxReports) {
      reports_[sender] = ChildReport{report, now};
    }
    return;
  }
  if (isRoot_) {
    otherRegions_[report.region] = ChildReport{report, now};
  } else if (root_ && view_.find(sender) == nullptr) {
    sink_.send(root_->controlEndpoint(), Message{report});
  }
}

void Coverage::handle(TimePoint now, const Endpoint& from, NodeId /*sender*/,
                      const CoverageQuery& /*query*/) {
  refreshTree();
  if (isRoot_) {
    sink_.send(from, Message{CoverageSummary{allRegions(now)}});
  }
}

void Coverage::handle(TimePoint now, const Endpoint& /*from*/, NodeId /*sender*/,
                      const CoverageSummary& summary) {
  summary_ = summary.regions;
  summaryAt_ = now;
}

}  // namespace umberhold
