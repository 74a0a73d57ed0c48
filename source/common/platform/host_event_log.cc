#include "common/platform/host_event_log.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace umberhold {

void HostEventLog::beginAt(uint64_t version) {
  startVersion_ = std::max(version, startVersion_.value_or(0));
  for (const HostEvent& event : events_) {
    startVersion_ = std::max(*startVersion_, event.version);
  }
  events_.clear();
  gaps_.clear();
}

void HostEventLog::onSkipped(uint64_t knownUpTo, uint64_t version) {
  if (!reaches(knownUpTo)) {
    beginAt(version);
    return;
  }
  addGap({knownUpTo, version});
}

void HostEventLog::addGap(VersionGap gap) {
  if (!startVersion_ || gap.before <= *startVersion_ ||
      std::find(gaps_.begin(), gaps_.end(), gap) != gaps_.end()) {
    return;
  }
  gaps_.push_back(gap);
  if (gaps_.size() > kMaxGaps) {
    startVersion_ = std::max(*startVersion_, gaps_.front().before);
    gaps_.pop_front();
  }
}

std::vector<VersionGap> HostEventLog::gapsAfter(uint64_t version) const {
  std::vector<VersionGap> later;
  std::copy_if(gaps_.begin(), gaps_.end(), std::back_inserter(later),
               [version](const VersionGap& gap) { return gap.before > version; });
  return later;
}

bool HostEventLog::reaches(uint64_t version) const {
  const auto isWithin = [version](const VersionGap& gap) {
    return gap.after < version && version < gap.before;
  };
  return startVersion_ && version >= *startVersion_ &&
         std::none_of(gaps_.begin(), gaps_.end(), isWithin);
}

void HostEventLog::add(HostEvent event) {
  events_.push_back(std::move(event));
  if (events_.size() > maxEvents_) {
    startVersion_ = std::max(startVersion_.value_or(0), events_.front().version);
    events_.pop_front();
  }
}

std::optional<std::vector<HostEvent>> HostEventLog::since(uint64_t version) const {
  if (!reaches(version)) {
    return std::nullopt;
  }
  std::vector<HostEvent> later;
  std::copy_if(events_.begin(), events_.end(), std::back_inserter(later),
               [version](const HostEvent& event) { return event.version > version; });
  return later;
}

}  // namespace umberhold
