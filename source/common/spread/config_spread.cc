#include "common/spread/config_spread.h"

#include <algorithm>
#include <utility>

#include "common/wire/message.h"

namespace umberhold {
namespace {

/** After a difference the comparisons run at a shorter period for this long. */
constexpr Duration kDifferenceRetention = std::chrono::milliseconds(500);
/** Number of peers with the same total that a starting node needs to count as caught up. */
constexpr size_t kRequiredMatches = 2;
/** Maximum number of keys in one RecordRequest or announcement. */
constexpr size_t kKeysPerMessage = 32;
/** Share of a starting node's comparisons that are with other starting nodes, if there are any. */
constexpr double kStartingPeerShare = 0.75;
/** Content that a caught-up node summarizes for a starting one in one exchange, bytes. */
constexpr size_t kStartingPeerBytesPerExchange = 2048;
/** Approximate size of the digests in one step of a comparison, bytes. */
constexpr uint64_t kDigestBytes = 400;

}  // namespace

ConfigSpread::ConfigSpread(const SpreadOptions& options, const MembershipView& view,
                           RecordStore& store, RandomSource& random, MessageSink& sink)
    : options_(options),
      view_(view),
      store_(store),
      random_(random),
      sink_(sink),
      peers_(view, random),
      sender_(store, sink),
      transferBudget_(options.transferBudget),
      fetcher_(options.fetchTimeout, sink),
      exchange_(store, sender_, random, sink) {
  store_.addObserver(&contacts_);
}

RegionId ConfigSpread::ownRegion() const {
  const Member* self = view_.find(view_.self());
  return self == nullptr ? RegionId{} : self->region;
}

/**
 * A sender that is not in the view is in another region, or has just joined this one. A starting
 * node has neither members nor contacts yet and treats any such sender as foreign.
 */
bool ConfigSpread::isForeign(NodeId sender) const {
  return view_.find(sender) == nullptr && (!caughtUp_ || contacts_.isContact(sender));
}

void ConfigSpread::publish(TimePoint /*now*/, const std::vector<ConfigRecord>& records) {
  const bool fewEnough = records.size() <= options_.rumorLimit;
  for (const ConfigRecord& record : records) {
    if (store_.apply(record) && fewEnough) {
      rumors_[record.key] = true;
    }
    if (record.key.kind != ObjectKind::kRegionContacts) {
      publishedVersion_ = std::max(publishedVersion_, record.version);
    }
  }
  if (storeListed_) {
    effectiveVersion_ = std::max(effectiveVersion_, publishedVersion_);
  }
  recheckPendingClaim();
}

void ConfigSpread::publishUnconfirmed(const ConfigRecord& record) {
  if (store_.apply(record)) {
    rumors_[record.key] = true;
    recheckPendingClaim();
  }
}

void ConfigSpread::setStoreListed() {
  storeListed_ = true;
  caughtUp_ = true;
  effectiveVersion_ = std::max(effectiveVersion_, publishedVersion_);
}

void ConfigSpread::setMachineList(TimePoint now, const std::vector<ContactCandidate>& machines) {
  publish(now, contactRecordsFor(store_, machines));
}

void ConfigSpread::tick(TimePoint now) {
  recheckPendingClaim();
  flushRumors();
  fetcher_.tick(now);
  if (now >= nextDigest_) {
    compareWithPeer(now);
  }
  if (now >= nextContacts_) {
    compareWithContacts(now);
  }
}

void ConfigSpread::handle(TimePoint /*now*/, const Endpoint& /*from*/, NodeId sender,
                          const RecordPush& push) {
  for (const ConfigRecord& record : push.records) {
    applyReceived(sender, record, push.rumor);
  }
  applyClaim(push.claim);
}

void ConfigSpread::handle(TimePoint /*now*/, const Endpoint& /*from*/, NodeId sender,
                          const RecordFragment& fragment) {
  if (fragment.version <= store_.versionOf(fragment.key)) {
    return;
  }
  if (const auto record = assembler_.add(fragment)) {
    applyReceived(sender, *record, false);
    recheckPendingClaim();
  }
}

void ConfigSpread::applyReceived(NodeId sender, const ConfigRecord& record, bool rumor) {
  const bool fetched = fetcher_.onArrival(record.key, record.version);
  const bool foreign = isForeign(sender);
  if (!store_.apply(record) || !caughtUp_) {
    return;
  }
  if (rumor || fetched || foreign) {
    // A record from another region's contact has already been sent by that region's own contacts to
    // all other regions.
    rumors_[record.key] = !foreign;
  }
}

void ConfigSpread::flushRumors() {
  if (rumors_.empty()) {
    return;
  }
  std::vector<RecordKey> small;
  std::vector<RecordKey> large;
  std::vector<RecordKey> forOtherRegions;
  for (const auto& [key, toOtherRegions] : std::exchange(rumors_, {})) {
    const auto record = store_.find(key);
    const bool eager = record && record->payload.size() <= options_.maxPushBytes;
    (eager ? small : large).push_back(key);
    if (toOtherRegions) {
      forOtherRegions.push_back(key);
    }
  }
  for (const Peer& peer : peers_.pick(options_.fanout)) {
    sendRumor(peer.control, small, true);
    sendRumor(peer.control, large, false);
  }
  sendToOtherRegions(forOtherRegions);
}

/** Each record is sent to each other region by some of this region's contacts, not by all. */
void ConfigSpread::sendToOtherRegions(const std::vector<RecordKey>& keys) {
  if (keys.empty() || !contacts_.isContact(ownRegion(), view_.self())) {
    return;
  }
  for (const RegionId region : contacts_.otherRegions(ownRegion())) {
    std::vector<RecordKey> assigned;
    for (const RecordKey& key : keys) {
      if (contacts_.isForwarder(ownRegion(), view_.self(), key, region, options_.forwarders)) {
        assigned.push_back(key);
      }
    }
    const auto contact = contacts_.pickOf(region, random_);
    if (contact && !assigned.empty()) {
      sendRumor(contact->control, assigned, true);
    }
  }
}

void ConfigSpread::sendRumor(const Endpoint& to, const std::vector<RecordKey>& keys, bool whole) {
  if (keys.empty()) {
    return;
  }
  if (whole) {
    sender_.send(to, keys, true, claim());
    return;
  }
  DigestReply announcement{claim(), caughtUp_, {}, {}};
  for (const RecordKey& key : keys) {
    if (announcement.versions.size() == kKeysPerMessage) {
      sink_.send(to, Message{std::exchange(announcement, DigestReply{claim(), caughtUp_, {}, {}})});
    }
    announcement.versions.push_back({key, store_.versionOf(key)});
  }
  sink_.send(to, Message{std::move(announcement)});
}

void ConfigSpread::handle(TimePoint now, const Endpoint& from, NodeId sender,
                          const DigestRequest& request) {
  applyClaim(request.claim);
  if (!isTransferAllowed(now, request, sender)) {
    return;
  }
  const uint64_t sentBefore = sender_.bytesSent();
  const DigestOutcome outcome = exchange_.onRequest(
      from, request, claim(), caughtUp_,
      caughtUp_ && isPeerStarting(sender) ? kStartingPeerBytesPerExchange : kBytesPerExchange);
  const bool serveStartingPeer = caughtUp_ && isPeerStarting(sender);
  if (outcome == DigestOutcome::kDiffers && !serveStartingPeer) {
    recordDifference(now, from, sender);
  }
  chargeTransfer(now, sender, sentBefore, outcome == DigestOutcome::kDiffers ? kDigestBytes : 0);
  const bool peerIsBehind = request.claim.version < effectiveVersion_;
  if (outcome == DigestOutcome::kEqual && (request.wantsReply || peerIsBehind)) {
    sink_.send(from, Message{DigestReply{claim(), caughtUp_, {}, {}}});
  }
}

void ConfigSpread::handle(TimePoint now, const Endpoint& from, NodeId sender,
                          const DigestReply& reply) {
  applyClaim(reply.claim);
  if (reply.claim.total == store_.total() && reply.caughtUp) {
    recordMatch(sender);
  }
  const bool mayPush =
      reply.caughtUp || isForeign(sender) || !caughtUp_ || transferBudget_.hasTokens(now);
  const uint64_t sentBefore = sender_.bytesSent();
  const auto newer = exchange_.onSummary(from, reply, claim(), mayPush);
  if (!reply.caughtUp) {
    chargeTransfer(now, sender, sentBefore, 0);
  }
  if (reply.buckets.empty()) {
    fetcher_.onAnnouncement(now, from, newer);
    return;
  }
  RecordRequest request;
  for (const RecordVersion& record : newer) {
    request.keys.push_back(record.key);
    if (request.keys.size() == kKeysPerMessage) {
      sink_.send(from, Message{std::exchange(request, {})});
    }
  }
  if (!request.keys.empty()) {
    sink_.send(from, Message{std::move(request)});
  }
}

void ConfigSpread::handle(TimePoint now, const Endpoint& from, NodeId sender,
                          const RecordRequest& request) {
  const uint64_t sentBefore = sender_.bytesSent();
  sender_.send(from, request.keys, false, claim());
  chargeTransfer(now, sender, sentBefore, 0);
}

/**
 * Limits long comparisons with starting nodes to the transfer budget. Exempt are caught-up peers,
 * which may be serving stale configuration; other regions, for which this node may be the only
 * source; and this node itself while it is starting, since it serves no packets yet.
 */
bool ConfigSpread::isTransferAllowed(TimePoint now, const DigestRequest& request, NodeId sender) {
  const bool isLong = !store_.changesSince(request.claim.total);
  const bool peerStarts = request.wantsReply;
  const bool isUnlimited = !caughtUp_ && isStarting(now);
  return !isLong || !peerStarts || isUnlimited || isForeign(sender) ||
         transferBudget_.hasTokens(now);
}

bool ConfigSpread::isPeerStarting(NodeId peer) const {
  const Member* member = view_.find(peer);
  return member != nullptr ? member->state == MemberState::kJoining : !isForeign(peer);
}

bool ConfigSpread::isStarting(TimePoint now) {
  startedAt_ = startedAt_.value_or(now);
  return now - *startedAt_ < options_.startTime;
}

/** Transfers to other regions are unlimited, so they are not charged to the budget for this
 * region's members. */
void ConfigSpread::chargeTransfer(TimePoint now, NodeId peer, uint64_t recordBytesBefore,
                                  uint64_t otherBytes) {
  if (isForeign(peer)) {
    return;
  }
  const uint64_t bytes = sender_.bytesSent() - recordBytesBefore + otherBytes;
  transferBudget_.consume(now, static_cast<double>(bytes) / budgetFactor());
}

double ConfigSpread::budgetFactor() {
  const auto members = static_cast<double>(std::max<size_t>(peers_.caughtUpPeerCount(), 1));
  const double seconds = std::chrono::duration<double>(options_.fullCopyTime).count();
  const double wanted = static_cast<double>(store_.bytes()) / seconds / members;
  return std::max(1.0, wanted / std::max(1.0, options_.transferBudget.bytesPerSecond));
}

void ConfigSpread::recordDifference(TimePoint now, const Endpoint& from, NodeId sender) {
  if (isForeign(sender)) {
    foreignDifference_ = now;
    foreignSource_ = from;
  } else {
    regionDifference_ = now;
    nextDigest_ =
        std::min(nextDigest_, now + period(regionDifference_, now, options_.digestPeriod));
  }
}

/** @return the time until the next comparison, which is shorter after a recent difference. */
Duration ConfigSpread::period(const std::optional<TimePoint>& difference, TimePoint now,
                              Duration usual) {
  if (!difference || now - *difference >= kDifferenceRetention) {
    return usual;
  }
  return !caughtUp_ && isStarting(now) ? options_.transferPeriod : options_.healingPeriod;
}

void ConfigSpread::compareWithPeer(TimePoint now) {
  const Duration usual = caughtUp_ ? options_.digestPeriod : options_.healingPeriod;
  const Duration wait = period(regionDifference_, now, usual);
  // Jitter of one eighth to either side desynchronizes nodes that started together.
  const auto jitter = Duration(
      static_cast<Duration::rep>(random_.below(static_cast<uint64_t>(wait.count()) / 4 + 1)));
  nextDigest_ = now + wait - wait / 8 + jitter;
  if (const auto peer = pickForComparison(now)) {
    exchange_.begin(peer->control, claim(), !caughtUp_);
  }
}

/**
 * Starting nodes initiate their own comparisons, so a caught-up node does not pick them. If many
 * nodes start at once, most of the bytes have to come from other starting nodes, because the budget
 * of caught-up nodes is small.
 */
std::optional<Peer> ConfigSpread::pickForComparison(TimePoint now) {
  if (caughtUp_) {
    return peers_.pickCaughtUp();
  }
  if (isStarting(now) && random_.unit() < kStartingPeerShare) {
    if (const auto peer = peers_.pickStarting()) {
      return peer;
    }
  }
  return peers_.pick();
}

void ConfigSpread::compareWithContacts(TimePoint now) {
  const Duration usual = caughtUp_ ? options_.contactPeriod : options_.healingPeriod;
  const Duration wait = period(foreignDifference_, now, usual);
  nextContacts_ = now + wait;
  if (!caughtUp_ && foreignSource_ != Endpoint{} && peers_.caughtUpPeerCount() == 0) {
    // The first nodes of a region fetch everything from the foreign node that contacted them.
    exchange_.begin(foreignSource_, claim(), true);
    return;
  }
  // A starting contact fetches from its own region, because transfers from other regions are not
  // limited.
  const bool fetchesFromOwnRegion = !caughtUp_ && peers_.caughtUpPeerCount() > 0;
  if (fetchesFromOwnRegion || !contacts_.isContact(ownRegion(), view_.self())) {
    return;
  }
  if (caughtUp_ && wait < usual) {
    exchange_.begin(foreignSource_, claim(), false);
    return;
  }
  for (const RegionId region :
       contacts_.pickRegions(ownRegion(), options_.contactsCompared, random_)) {
    if (const auto contact = contacts_.pickOf(region, random_)) {
      exchange_.begin(contact->control, claim(), !caughtUp_);
    }
  }
}

void ConfigSpread::recordMatch(NodeId peer) {
  if (matchedTotal_ != store_.total()) {
    matches_.clear();
    matchedTotal_ = store_.total();
  }
  matches_.insert(peer);
  const size_t wanted = std::clamp<size_t>(peers_.caughtUpPeerCount(), 1, kRequiredMatches);
  caughtUp_ = caughtUp_ || matches_.size() >= wanted;
  if (caughtUp_) {
    matches_.clear();
  }
}

/** A claim is confirmed if this node has the claimed total now or had it recently. */
void ConfigSpread::applyClaim(const CompletenessClaim& received) {
  if (received.version <= effectiveVersion_) {
    return;
  }
  if (store_.changesSince(received.total)) {
    effectiveVersion_ = received.version;
  } else if (received.version >= pendingClaim_.version) {
    pendingClaim_ = received;
  }
  recheckPendingClaim();
}

void ConfigSpread::recheckPendingClaim() {
  if (pendingClaim_.version > effectiveVersion_ && store_.changesSince(pendingClaim_.total)) {
    effectiveVersion_ = pendingClaim_.version;
  }
}

}  // namespace umberhold
