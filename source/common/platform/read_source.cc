#include "common/platform/read_source.h"

#include <algorithm>

#include "common/base/jitter.h"

namespace umberhold {

std::string_view toString(ReadCause cause) {
  switch (cause) {
    case ReadCause::kFollowsPeer:
      return "follows_peer";
    case ReadCause::kUndecided:
      return "undecided";
    case ReadCause::kReader:
      return "reader";
    case ReadCause::kNoPeers:
      return "alone";
    case ReadCause::kServesPeers:
      return "asked";
    case ReadCause::kUnconfirmed:
      return "unconfirmed";
  }
  return "unknown";
}

ReadSource::ReadSource(TimePoint now, ReadSourceOptions options, RandomSource& random)
    : options_(options),
      random_(random),
      startedAt_(now),
      decideBy_(now + options.rosterWait),
      confirmedAt_(now) {}

void ReadSource::setRoster(TimePoint now, const ReaderRoster& roster, bool isUpToDate) {
  const bool hadCandidates = !candidates_.empty();
  if (!hasRoster_) {
    // It could ask nobody before; the list of its start is confirmed within twice the usual time.
    const TimePoint latest = isUpToDate ? now : startedAt_ + options_.unconfirmedTimeout;
    confirmedAt_ = std::max(confirmedAt_, std::min(now, latest));
  }
  hasRoster_ = true;
  readsItself_ = roster.readsItself();
  candidates_ = readsItself_ ? roster.higherRankedReaders() : roster.candidates();
  if (candidates_.empty()) {
    nextQuestion_ = TimePoint::max();
  } else if (!hadCandidates) {
    nextQuestion_ = now;
  }
}

ReadCause ReadSource::cause(TimePoint now) const {
  if (!hasRoster_) {
    return now < decideBy_ ? ReadCause::kUndecided : ReadCause::kNoPeers;
  }
  if (readsItself_) {
    return ReadCause::kReader;
  }
  if (candidates_.empty()) {
    return ReadCause::kNoPeers;
  }
  if (servesOthers(now)) {
    return ReadCause::kServesPeers;
  }
  return isUnconfirmed(now) ? ReadCause::kUnconfirmed : ReadCause::kFollowsPeer;
}

bool ReadSource::readsStore(TimePoint now) const {
  const ReadCause why = cause(now);
  return why != ReadCause::kFollowsPeer && why != ReadCause::kUndecided;
}

bool ReadSource::servesOthers(TimePoint now) const {
  return askedAt_ && now - *askedAt_ < options_.servePeersDuration;
}

bool ReadSource::isUnconfirmed(TimePoint now) const {
  return now - confirmedAt_ > options_.unconfirmedTimeout;
}

bool ReadSource::listsImmediately(TimePoint now) const {
  if (!hasRoster_) {
    return false;
  }
  return candidates_.empty() || (!readsItself_ && servesOthers(now));
}

TimePoint ReadSource::nextRequestAt(TimePoint now) const {
  if (candidates_.empty() || (readsItself_ && holding_)) {
    return TimePoint::max();
  }
  if (readsItself_) {
    return nextQuestion_;
  }
  return servesOthers(now) ? std::max(nextQuestion_, *askedAt_ + options_.servePeersDuration)
                           : nextQuestion_;
}

std::optional<RosterNode> ReadSource::selectPeer(TimePoint now) {
  if (storeSilent_ && !candidates_.empty()) {
    asked_ = candidates_.front().name;
    return candidates_.front();
  }
  const auto free = std::find_if(
      candidates_.begin(), candidates_.end(), [this, now](const RosterNode& candidate) {
        const auto penalty = penalties_.find(candidate.name);
        return penalty == penalties_.end() || penalty->second.until <= now;
      });
  if (free == candidates_.end()) {
    nextQuestion_ = now + (holding_ ? options_.retryInterval : options_.startingPenalty);
    return std::nullopt;
  }
  if (asked_ != free->name) {
    asked_ = free->name;
    beginnings_ = 0;
    progress_ = 0;
  }
  return *free;
}

void ReadSource::onConfirmed(TimePoint now, TimePoint confirmedAt) {
  beginnings_ = 0;
  if (now - confirmedAt > options_.maxConfirmationAge) {
    passOver(now, options_.unconfirmedPenalty);
    askNext(now);
    return;
  }
  penalties_.erase(asked_);
  storeSilent_ = false;
  confirmedAt_ = std::max(confirmedAt_, confirmedAt);
  nextQuestion_ = now + jittered(options_.pollInterval, options_.pollJitter, random_);
}

bool ReadSource::onPeerStarting(TimePoint now, uint64_t progress) {
  const bool hasRisen = progress != progress_;
  progress_ = progress;
  beginnings_ = hasRisen ? 0 : beginnings_ + 1;
  if (beginnings_ < options_.maxStartingPeerTries) {
    nextQuestion_ = now + options_.startingPeerRetry;
    return hasRisen;
  }
  beginnings_ = 0;
  passOver(now, options_.unconfirmedPenalty);
  askNext(now);
  return hasRisen;
}

void ReadSource::onFailure(TimePoint now) {
  if (!holding_) {
    passOver(now, options_.startingPenalty);
    askNext(now);
    return;
  }
  Penalty& penalty = penalties_[asked_];
  const Duration time = std::max(penalty.next, options_.initialPenalty);
  penalty.next = std::min(time * 2, options_.maxPenalty);
  passOver(now, time);
  askNext(now);
}

void ReadSource::passOver(TimePoint now, Duration time) {
  penalties_[asked_].until = now + time;
}

void ReadSource::askNext(TimePoint now) {
  if (holding_) {
    nextQuestion_ = isUnconfirmed(now) ? now + options_.retryInterval : now;
  } else {
    nextQuestion_ = storeSilent_ ? now + options_.startingPenalty : now;
  }
}

}  // namespace umberhold
