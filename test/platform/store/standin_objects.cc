#include "test/platform/store/standin_objects.h"

namespace umberhold::test {

const StandinObjects::Snapshot& StandinObjects::snapshotFor(bool stale) const {
  if (!stale) {
    return current_;
  }
  if (staleSnapshot_) {
    return *staleSnapshot_;
  }
  const auto shownAt = std::chrono::steady_clock::now() - staleLag_;
  for (const auto& [replacedAt, snapshot] : past_) {
    if (replacedAt > shownAt) {
      return snapshot;
    }
  }
  return current_;
}

void StandinObjects::keepForStaleReads() {
  const auto now = std::chrono::steady_clock::now();
  while (!past_.empty() && past_.front().first <= now - staleLag_) {
    past_.pop_front();
  }
  if (staleLag_ > Duration{0}) {
    past_.emplace_back(now, current_);
  }
}

void StandinObjects::setStaleLag(Duration lag) {
  const std::lock_guard lock(mutex_);
  staleLag_ = lag;
}

StandinPage StandinObjects::list(const std::string& kind, const std::string& after, size_t limit,
                                 bool stale) const {
  const std::lock_guard lock(mutex_);
  const Snapshot& snapshot = snapshotFor(stale);
  StandinPage page;
  page.at = snapshot.revision;
  for (const auto& [key, object] : snapshot.objects) {
    if (key.first != kind || (!after.empty() && object.name <= after)) {
      continue;
    }
    if (page.items.size() == limit) {
      page.more = true;
      break;
    }
    page.items.push_back(object);
  }
  return page;
}

std::optional<StandinObject> StandinObjects::get(const std::string& kind, const std::string& name,
                                                 bool stale) const {
  const std::lock_guard lock(mutex_);
  const auto& objects = snapshotFor(stale).objects;
  const auto found = objects.find({kind, name});
  return found == objects.end() ? std::nullopt : std::optional(found->second);
}

StandinAnswer StandinObjects::create(const std::string& kind, const StandinObject& object) {
  const std::lock_guard lock(mutex_);
  const auto found = current_.objects.find({kind, object.name});
  if (found != current_.objects.end()) {
    return StandinConflict{found->second};
  }
  keepForStaleReads();
  StandinObject created = object;
  created.revision = ++current_.revision;
  created.made = created.revision;
  created.deleting = false;
  current_.objects[{kind, created.name}] = created;
  recordEvent(kind, created, false);
  return created;
}

StandinAnswer StandinObjects::replace(const std::string& kind, const StandinObject& object) {
  return change(kind, object, [&object](StandinObject& current) {
    current.spec = object.spec;
    current.finalizers = object.finalizers;
  });
}

StandinAnswer StandinObjects::replaceStatus(const std::string& kind, const StandinObject& object) {
  return change(kind, object,
                [&object](StandinObject& current) { current.status = object.status; });
}

StandinAnswer StandinObjects::remove(const std::string& kind, const std::string& name,
                                     uint64_t revision) {
  StandinObject required;
  required.name = name;
  required.revision = revision;
  return change(kind, required, [](StandinObject& current) { current.deleting = true; });
}

StandinAnswer StandinObjects::change(const std::string& kind, const StandinObject& required,
                                     const std::function<void(StandinObject&)>& apply) {
  const std::lock_guard lock(mutex_);
  const auto found = current_.objects.find({kind, required.name});
  if (found == current_.objects.end()) {
    return StandinNotFound{};
  }
  if (required.revision != 0 && required.revision != found->second.revision) {
    return StandinConflict{found->second};
  }
  keepForStaleReads();
  StandinObject changed = found->second;
  apply(changed);
  changed.revision = ++current_.revision;
  const bool gone = changed.deleting && changed.finalizers.empty();
  if (gone) {
    current_.objects.erase(found);
  } else {
    found->second = changed;
  }
  recordEvent(kind, changed, gone);
  return changed;
}

std::variant<StandinEvents, StandinHistoryGone> StandinObjects::watch(const std::string& kind,
                                                                      uint64_t since, Duration wait,
                                                                      bool stale) {
  std::unique_lock lock(mutex_);
  const uint64_t number = ++watchCount_;
  const auto collect = [this, &kind, since, stale] {
    StandinEvents found;
    found.at = snapshotFor(stale).revision;
    for (const StandinEvent& event : history_) {
      const uint64_t revision = event.object.revision;
      if (event.kind == kind && revision > since && revision <= found.at) {
        found.events.push_back(event);
      }
    }
    return found;
  };
  changed_.wait_for(lock, stale ? Duration{0} : wait, [this, &collect, &kind, since, number] {
    const auto muted = lastMutedWatch_.find(kind);
    if (muted != lastMutedWatch_.end() && number <= muted->second) {
      return stopped_;
    }
    return stopped_ || number <= lastEndedWatch_ || since < lastDroppedRevision_ ||
           !collect().events.empty();
  });
  if (since < lastDroppedRevision_) {
    return StandinHistoryGone{};
  }
  return collect();
}

uint64_t StandinObjects::set(const std::string& kind, const std::string& name,
                             const std::string& spec) {
  StandinObject object;
  object.name = name;
  object.spec = spec;
  auto answer = create(kind, object);
  if (std::holds_alternative<StandinConflict>(answer)) {
    answer = replace(kind, object);
  }
  return std::get<StandinObject>(answer).revision;
}

void StandinObjects::forgetHistory() {
  const std::lock_guard lock(mutex_);
  history_.clear();
  lastDroppedRevision_ = current_.revision;
  changed_.notify_all();
}

void StandinObjects::muteWatches(const std::string& kind) {
  const std::lock_guard lock(mutex_);
  lastMutedWatch_[kind] = watchCount_;
}

void StandinObjects::endWatches() {
  const std::lock_guard lock(mutex_);
  lastEndedWatch_ = watchCount_;
  changed_.notify_all();
}

void StandinObjects::freezeStaleReads() {
  const std::lock_guard lock(mutex_);
  staleSnapshot_ = current_;
}

void StandinObjects::stopWatches() {
  const std::lock_guard lock(mutex_);
  stopped_ = true;
  changed_.notify_all();
}

void StandinObjects::recordEvent(const std::string& kind, const StandinObject& object, bool gone) {
  history_.push_back({kind, object, gone});
  changed_.notify_all();
}

}  // namespace umberhold::test
