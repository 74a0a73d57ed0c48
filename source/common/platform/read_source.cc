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
    case ReadCause::kServesOthers:
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
      rosterDeadline_(now + options.rosterWait),
      confirmedAt_(now) {}

void ReadSource::setRoster(TimePoint now, const ReaderRoster& roster, bool isUpToDate) {
  const bool hadCandidates = !candidates_.empty();
  if (!hasRoster_) {
    // No peer could be polled before the roster was known; the list made at the start is
    // confirmed within twice the usual time.
    const TimePoint latest = isUpToDate ? now : startedAt_ + options_.unconfirmedTimeout;
    confirmedAt_ = std::max(confirmedAt_, std::min(now, latest));
  }
  hasRoster_ = true;
  readsItself_ = roster.readsItself();
  candidates_ = readsItself_ ? roster.higherRankedReaders() : roster.candidates();
  if (candidates_.empty()) {
    nextRequestAt_ = TimePoint::max();
  } else if (!hadCandidates) {
    nextRequestAt_ = now;
  }
}

ReadCause ReadSource::cause(TimePoint now) const {
  if (!hasRoster_) {
    return now < rosterDeadline_ ? ReadCause::kUndecided : ReadCause::kNoPeers;
  }
  if (readsItself_) {
    return ReadCause::kReader;
  }
  if (candidates_.empty()) {
    return ReadCause::kNoPeers;
  }
  if (servesOthers(now)) {
    return ReadCause::kServesOthers;
  }
  return isUnconfirmed(now) ? ReadCause::kUnconfirmed : ReadCause::kFollowsPeer;
}

bool ReadSource::readsStore(TimePoint now) const {
  const ReadCause readCause = cause(now);
  return readCause != ReadCause::kFollowsPeer && readCause != ReadCause::kUndecided;
}

bool ReadSource::servesOthers(TimePoint now) const {
  return lastPeerRequestAt_ && now - *lastPeerRequestAt_ < options_.serveOthersDuration;
}

bool ReadSource::isUnconfirmed(TimePoint now) const {
  return now >= unconfirmedAt();
}

bool ReadSource::listsImmediately(TimePoint now) const {
  if (!hasRoster_) {
    return false;
  }
  return candidates_.empty() || (!readsItself_ && servesOthers(now));
}

TimePoint ReadSource::nextRequestAt(TimePoint now) const {
  if (candidates_.empty() || (readsItself_ && synchronized_)) {
    return TimePoint::max();
  }
  if (readsItself_) {
    return nextRequestAt_;
  }
  return servesOthers(now)
             ? std::max(nextRequestAt_, *lastPeerRequestAt_ + options_.serveOthersDuration)
             : nextRequestAt_;
}

std::optional<RosterNode> ReadSource::selectPeer(TimePoint now) {
  if (storeUnresponsive_ && !candidates_.empty()) {
    polledPeer_ = candidates_.front().name;
    return candidates_.front();
  }
  const auto usable = std::find_if(
      candidates_.begin(), candidates_.end(), [this, now](const RosterNode& candidate) {
        const auto penalty = penalties_.find(candidate.name);
        return penalty == penalties_.end() || penalty->second.until <= now;
      });
  if (usable == candidates_.end()) {
    nextRequestAt_ = now + (synchronized_ ? options_.retryInterval : options_.startingPenalty);
    return std::nullopt;
  }
  if (polledPeer_ != usable->name) {
    polledPeer_ = usable->name;
    startingTries_ = 0;
    progress_ = 0;
  }
  return *usable;
}

void ReadSource::onConfirmed(TimePoint now, TimePoint confirmedAt) {
  startingTries_ = 0;
  if (now - confirmedAt > options_.maxConfirmationAge) {
    skipPeer(now, options_.unconfirmedPenalty);
    scheduleNextPeer(now);
    return;
  }
  penalties_.erase(polledPeer_);
  storeUnresponsive_ = false;
  confirmedAt_ = std::max(confirmedAt_, confirmedAt);
  nextRequestAt_ = now + jittered(options_.pollInterval, options_.pollJitter, random_);
}

bool ReadSource::onPeerStarting(TimePoint now, uint64_t progress) {
  const bool hasProgressed = progress != progress_;
  progress_ = progress;
  startingTries_ = hasProgressed ? 0 : startingTries_ + 1;
  if (startingTries_ < options_.maxStartingPeerTries) {
    nextRequestAt_ = now + options_.startingPeerRetry;
    return hasProgressed;
  }
  startingTries_ = 0;
  skipPeer(now, options_.unconfirmedPenalty);
  scheduleNextPeer(now);
  return hasProgressed;
}

void ReadSource::onFailure(TimePoint now) {
  if (!synchronized_) {
    skipPeer(now, options_.startingPenalty);
    scheduleNextPeer(now);
    return;
  }
  Penalty& penalty = penalties_[polledPeer_];
  const Duration time = std::max(penalty.next, options_.initialPenalty);
  penalty.next = std::min(time * 2, options_.maxPenalty);
  skipPeer(now, time);
  scheduleNextPeer(now);
}

void ReadSource::skipPeer(TimePoint now, Duration time) {
  penalties_[polledPeer_].until = now + time;
}

void ReadSource::scheduleNextPeer(TimePoint now) {
  if (synchronized_) {
    nextRequestAt_ = isUnconfirmed(now) ? now + options_.retryInterval : now;
  } else {
    nextRequestAt_ = storeUnresponsive_ ? now + options_.startingPenalty : now;
  }
}

}  // namespace umberhold
