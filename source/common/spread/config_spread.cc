#include "common/spread/config_spread.h"

#include <algorithm>
#include <utility>

#include "common/wire/message.h"

namespace umberhold {
namespace {

/** For this long after a difference the comparisons follow each other faster. */
constexpr Duration kDifferenceMemory = std::chrono::milliseconds(500);
/** Peers that must hold the same before a starting node counts as caught up. */
constexpr size_t kMatchesWanted = 2;
/** Keys in one RecordRequest or announcement. */
constexpr size_t kKeysPerMessage = 32;
/** Share of comparisons that a starting node begins with other starting ones, if there are any. */
constexpr double kShareOfStartingPeers = 0.75;
/** Content that a settled node tells a starting one in one exchange, bytes. */
constexpr size_t kBytesToStartingPeer = 2048;
/** What the digests of one step of a comparison cost, bytes. */
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
      fetcher_(options.fetchPatience, sink),
      exchange_(store, sender_, random, sink) {
  store_.addObserver(&contacts_);
}

RegionId ConfigSpread::ownRegion() const {
  const Member* self = view_.find(view_.self());
  return self == nullptr ? RegionId{} : self->region;
}

/**
 * A sender that the view does not hold is of another region, or has just joined this one. A node
 * that starts knows neither members nor contacts and takes any such sender for foreign.
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
    inForceVersion_ = std::max(inForceVersion_, publishedVersion_);
  }
  recheckClaim();
}

void ConfigSpread::publishUnconfirmed(const ConfigRecord& record) {
  if (store_.apply(record)) {
    rumors_[record.key] = true;
    recheckClaim();
  }
}

void ConfigSpread::setStoreListed() {
  storeListed_ = true;
  caughtUp_ = true;
  inForceVersion_ = std::max(inForceVersion_, publishedVersion_);
}

void ConfigSpread::setMachineList(TimePoint now, const std::vector<ContactCandidate>& machines) {
  publish(now, contactRecordsFor(store_, machines));
}

void ConfigSpread::tick(TimePoint now) {
  recheckClaim();
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
    accept(sender, record, push.rumor);
  }
  learn(push.claim);
}

void ConfigSpread::handle(TimePoint /*now*/, const Endpoint& /*from*/, NodeId sender,
                          const RecordFragment& fragment) {
  if (fragment.version <= store_.versionOf(fragment.key)) {
    return;
  }
  if (const auto record = assembler_.add(fragment)) {
    accept(sender, *record, false);
    recheckClaim();
  }
}

void ConfigSpread::accept(NodeId sender, const ConfigRecord& record, bool rumor) {
  const bool fetched = fetcher_.arrived(record.key, record.version);
  const bool foreign = isForeign(sender);
  if (!store_.apply(record) || !caughtUp_) {
    return;
  }
  if (rumor || fetched || foreign) {
    // What a contact brought from another region has left that region's own contacts already.
    rumors_[record.key] = !foreign;
  }
}

void ConfigSpread::flushRumors() {
  if (rumors_.empty()) {
    return;
  }
  std::vector<RecordKey> small;
  std::vector<RecordKey> large;
  std::vector<RecordKey> crossing;
  for (const auto& [key, crosses] : std::exchange(rumors_, {})) {
    const auto record = store_.find(key);
    const bool eager = record && record->payload.size() <= options_.maxPushBytes;
    (eager ? small : large).push_back(key);
    if (crosses) {
      crossing.push_back(key);
    }
  }
  for (const Peer& peer : peers_.pick(options_.fanout)) {
    sendRumor(peer.control, small, true);
    sendRumor(peer.control, large, false);
  }
  sendToOtherRegions(crossing);
}

/** Each record crosses to each region through some of this region's contacts, not through all. */
void ConfigSpread::sendToOtherRegions(const std::vector<RecordKey>& keys) {
  if (keys.empty() || !contacts_.isContact(ownRegion(), view_.self())) {
    return;
  }
  for (const RegionId region : contacts_.otherRegions(ownRegion())) {
    std::vector<RecordKey> carried;
    for (const RecordKey& key : keys) {
      if (contacts_.carries(ownRegion(), view_.self(), key, region, options_.carriers)) {
        carried.push_back(key);
      }
    }
    const auto contact = contacts_.pickOf(region, random_);
    if (contact && !carried.empty()) {
      sendRumor(contact->control, carried, true);
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
  learn(request.claim);
  if (!mayTransfer(now, request, sender)) {
    return;
  }
  const uint64_t sentBefore = sender_.bytesSent();
  const DigestOutcome outcome = exchange_.onRequest(
      from, request, claim(), caughtUp_,
      caughtUp_ && startsNow(sender) ? kBytesToStartingPeer : kBytesPerExchange);
  const bool servesStart = caughtUp_ && startsNow(sender);
  if (outcome == DigestOutcome::kDiffers && !servesStart) {
    noteDifference(now, from, sender);
  }
  spendTransfer(now, sender, sentBefore, outcome == DigestOutcome::kDiffers ? kDigestBytes : 0);
  const bool newsForPeer = request.claim.version < inForceVersion_;
  if (outcome == DigestOutcome::kEqual && (request.wantsReply || newsForPeer)) {
    sink_.send(from, Message{DigestReply{claim(), caughtUp_, {}, {}}});
  }
}

void ConfigSpread::handle(TimePoint now, const Endpoint& from, NodeId sender,
                          const DigestReply& reply) {
  learn(reply.claim);
  if (reply.claim.total == store_.total() && reply.caughtUp) {
    noteMatch(sender);
  }
  const bool mayPush =
      reply.caughtUp || isForeign(sender) || !caughtUp_ || transferBudget_.hasTokens(now);
  const uint64_t sentBefore = sender_.bytesSent();
  const auto newer = exchange_.onSummary(from, reply, claim(), mayPush);
  if (!reply.caughtUp) {
    spendTransfer(now, sender, sentBefore, 0);
  }
  if (reply.buckets.empty()) {
    fetcher_.announced(now, from, newer);
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
  spendTransfer(now, sender, sentBefore, 0);
}

/**
 * A long comparison with a node that starts begins only within the budget. Nodes that have caught
 * up, and so may serve old news, are not held back; neither is another region, which has this node
 * alone to turn to; nor does a node hold back that has just started itself and serves no packets.
 */
bool ConfigSpread::mayTransfer(TimePoint now, const DigestRequest& request, NodeId sender) {
  const bool isLong = !store_.changesSince(request.claim.total);
  const bool peerStarts = request.wantsReply;
  const bool isUnlimited = !caughtUp_ && isStarting(now);
  return !isLong || !peerStarts || isUnlimited || isForeign(sender) || transferBudget_.hasTokens(now);
}

bool ConfigSpread::startsNow(NodeId peer) const {
  const Member* member = view_.find(peer);
  return member != nullptr ? member->state == MemberState::kJoining : !isForeign(peer);
}

bool ConfigSpread::isStarting(TimePoint now) {
  startedAt_ = startedAt_.value_or(now);
  return now - *startedAt_ < options_.startTime;
}

/** What goes to another region, without limit, must not take the budget of this one's members. */
void ConfigSpread::spendTransfer(TimePoint now, NodeId peer, uint64_t recordBytesBefore,
                                 uint64_t otherBytes) {
  if (isForeign(peer)) {
    return;
  }
  const uint64_t bytes = sender_.bytesSent() - recordBytesBefore + otherBytes;
  transferBudget_.consume(now, static_cast<double>(bytes) / regionShare());
}

double ConfigSpread::regionShare() {
  const auto members = static_cast<double>(std::max<size_t>(peers_.settledPeers(), 1));
  const double seconds = std::chrono::duration<double>(options_.copyTime).count();
  const double wanted = static_cast<double>(store_.bytes()) / seconds / members;
  return std::max(1.0, wanted / std::max(1.0, options_.transferBudget.bytesPerSecond));
}

void ConfigSpread::noteDifference(TimePoint now, const Endpoint& from, NodeId sender) {
  if (isForeign(sender)) {
    foreignDifference_ = now;
    foreignSource_ = from;
  } else {
    ownDifference_ = now;
    nextDigest_ = std::min(nextDigest_, now + period(ownDifference_, now, options_.digestPeriod));
  }
}

/** @return the time until the next comparison: less while the last ones differed. */
Duration ConfigSpread::period(const std::optional<TimePoint>& difference, TimePoint now,
                              Duration usual) {
  if (!difference || now - *difference >= kDifferenceMemory) {
    return usual;
  }
  return !caughtUp_ && isStarting(now) ? options_.transferPeriod : options_.healingPeriod;
}

void ConfigSpread::compareWithPeer(TimePoint now) {
  const Duration usual = caughtUp_ ? options_.digestPeriod : options_.healingPeriod;
  const Duration wait = period(ownDifference_, now, usual);
  // Jitter of an eighth to either side keeps nodes that started together apart.
  const auto jitter = Duration(
      static_cast<Duration::rep>(random_.below(static_cast<uint64_t>(wait.count()) / 4 + 1)));
  nextDigest_ = now + wait - wait / 8 + jitter;
  if (const auto peer = pickForComparison(now)) {
    exchange_.begin(peer->control, claim(), !caughtUp_);
  }
}

/**
 * Nodes that start turn to others themselves, so a settled node leaves them alone. In the rush of
 * many starts most of the bytes have to come from the other starting nodes: settled ones may spend
 * little.
 */
std::optional<Peer> ConfigSpread::pickForComparison(TimePoint now) {
  if (caughtUp_) {
    return peers_.pickSettled();
  }
  if (isStarting(now) && random_.unit() < kShareOfStartingPeers) {
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
  if (!caughtUp_ && foreignSource_ != Endpoint{} && peers_.settledPeers() == 0) {
    // The first nodes of a region fetch everything from the node that turned to them.
    exchange_.begin(foreignSource_, claim(), true);
    return;
  }
  // A contact that starts has its own region to fetch from; others would feed it without limit.
  const bool ownRegionFeeds = !caughtUp_ && peers_.settledPeers() > 0;
  if (ownRegionFeeds || !contacts_.isContact(ownRegion(), view_.self())) {
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

void ConfigSpread::noteMatch(NodeId peer) {
  if (matchedTotal_ != store_.total()) {
    matches_.clear();
    matchedTotal_ = store_.total();
  }
  matches_.insert(peer);
  const size_t wanted = std::clamp<size_t>(peers_.settledPeers(), 1, kMatchesWanted);
  caughtUp_ = caughtUp_ || matches_.size() >= wanted;
  if (caughtUp_) {
    matches_.clear();
  }
}

/** A claim counts where this node holds the claimed total now or held it a short while ago. */
void ConfigSpread::learn(const CompletenessClaim& heard) {
  if (heard.version <= inForceVersion_) {
    return;
  }
  if (store_.changesSince(heard.total)) {
    inForceVersion_ = heard.version;
  } else if (heard.version >= openClaim_.version) {
    openClaim_ = heard;
  }
  recheckClaim();
}

void ConfigSpread::recheckClaim() {
  if (openClaim_.version > inForceVersion_ && store_.changesSince(openClaim_.total)) {
    inForceVersion_ = openClaim_.version;
  }
}

}  // namespace umberhold
