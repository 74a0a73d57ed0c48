#include "common/spread/record_fetcher.h"

#include <utility>

#include "common/wire/message.h"

namespace umberhold {
namespace {

/** Maximum number of concurrent fetches; further records are obtained by digest comparison. */
constexpr size_t kMaxFetches = 256;
constexpr int kMaxAttempts = 4;

}  // namespace

void RecordFetcher::onAnnouncement(TimePoint now, const Endpoint& from,
                                   const std::vector<RecordVersion>& newer) {
  RecordRequest request;
  for (const RecordVersion& record : newer) {
    const auto known = fetches_.find(record.key);
    if (known != fetches_.end() && known->second.version >= record.version) {
      known->second.announcer = from;
    } else if (known != fetches_.end() || fetches_.size() < kMaxFetches) {
      fetches_[record.key] = Fetch{record.version, now, 1, from};
      request.keys.push_back(record.key);
    }
  }
  if (!request.keys.empty()) {
    sink_.send(from, Message{std::move(request)});
  }
}

bool RecordFetcher::onArrival(const RecordKey& key, uint64_t version) {
  const auto known = fetches_.find(key);
  if (known == fetches_.end() || known->second.version > version) {
    return false;
  }
  fetches_.erase(known);
  return true;
}

void RecordFetcher::tick(TimePoint now) {
  for (auto fetch = fetches_.begin(); fetch != fetches_.end();) {
    Fetch& state = fetch->second;
    const bool overdue = now - state.askedAt >= timeout_;
    if (overdue && state.attempts == kMaxAttempts) {
      fetch = fetches_.erase(fetch);
      continue;
    }
    if (overdue) {
      sink_.send(state.announcer, Message{RecordRequest{{fetch->first}}});
      state.askedAt = now;
      ++state.attempts;
    }
    ++fetch;
  }
}

}  // namespace umberhold
