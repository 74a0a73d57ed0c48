#include "common/platform/host_event_log.h"

#include <algorithm>
#include <utility>

namespace umberhold {

void HostEventLog::beginAt(uint64_t version) {
  begin_ = std::max(version, begin_.value_or(0));
  for (const HostEvent& event : events_) {
    begin_ = std::max(*begin_, event.version);
  }
  events_.clear();
}

void HostEventLog::add(HostEvent event) {
  events_.push_back(std::move(event));
  if (events_.size() > mostEvents_) {
    begin_ = std::max(begin_.value_or(0), events_.front().version);
    events_.pop_front();
  }
}

std::optional<std::vector<HostEvent>> HostEventLog::since(uint64_t version) const {
  if (!begin_ || version < *begin_) {
    return std::nullopt;
  }
  std::vector<HostEvent> later;
  std::copy_if(events_.begin(), events_.end(), std::back_inserter(later),
               [version](const HostEvent& event) { return event.version > version; });
  return later;
}

}  // namespace umberhold
