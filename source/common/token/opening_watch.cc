#include "common/token/opening_watch.h"

namespace umberhold {
namespace {

/** Callers retransmit an opening packet within this time. */
constexpr Duration kRepeatWindow = std::chrono::seconds(2);
/**
 * Several round trips, but less than the 200 ms after which callers retransmit an opening packet.
 */
constexpr Duration kFollowTimeout = std::chrono::milliseconds(150);

}  // namespace

void OpeningWatch::onPlaced(TimePoint now, FlowHash flow, uint32_t token) {
  entryOf(flow) = {flow, token, now, false};
  due_.push_back({now, flow});
  if (due_.size() > kEntries) {
    due_.pop_front();
  }
}

EarlierOpening OpeningWatch::earlierOf(TimePoint now, FlowHash flow) const {
  const Entry& entry = entryOf(flow);
  if (entry.flow != flow || now - entry.at > kRepeatWindow) {
    return {};
  }
  return {entry.token, entry.counted};
}

std::optional<Duration> OpeningWatch::sinceOpening(TimePoint now, FlowHash flow,
                                                   uint32_t token) const {
  const Entry& entry = entryOf(flow);
  return entry.flow == flow && entry.token == token && token != 0 ? std::optional(now - entry.at)
                                                                  : std::nullopt;
}

bool OpeningWatch::onFollowed(FlowHash flow, uint32_t token) {
  Entry& entry = entryOf(flow);
  if (entry.flow != flow || entry.token != token) {
    return false;
  }
  entry = {};
  return true;
}

void OpeningWatch::discardHost(uint32_t token) {
  for (Entry& entry : entries_) {
    if (entry.token == token) {
      entry = {};
    }
  }
}

std::vector<uint32_t> OpeningWatch::onCaughtUp(TimePoint now) {
  std::vector<uint32_t> unanswered;
  while (!due_.empty() && now - due_.front().at >= kFollowTimeout) {
    const Due due = due_.front();
    due_.pop_front();
    Entry& entry = entryOf(due.flow);
    if (entry.flow == due.flow && entry.at == due.at && entry.token != 0 && !entry.counted) {
      entry.counted = true;
      unanswered.push_back(entry.token);
    }
  }
  return unanswered;
}

}  // namespace umberhold
