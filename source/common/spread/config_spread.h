/**
 * @file Distribution of all configuration records to all nodes.
 *
 * New records are disseminated as rumors (push with a fan-out, as in Demers et al., 1987).
 * Anti-entropy by comparison of digests repairs what the rumors missed, transfers the records to
 * starting nodes, and connects regions through their contacts. Both carry a
 * CompletenessClaim: the digest of all records of a node ("total") and the store version up to
 * which they are complete. Any node whose records have the same digest is complete up to that
 * version.
 */
#pragma once

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "common/base/byte_budget.h"
#include "common/membership/membership_view.h"
#include "common/spread/contact_book.h"
#include "common/spread/digest_exchange.h"
#include "common/spread/peer_picker.h"
#include "common/spread/record_fetcher.h"
#include "common/spread/record_sender.h"
#include "common/spread/record_store.h"
#include "common/spread/spread_options.h"

namespace umberhold {

/** Configuration distribution of one node. No I/O; not thread safe. */
class ConfigSpread {
 public:
  /** All references are borrowed and must outlive this. Only this object changes the records of the
   * store. */
  ConfigSpread(const SpreadOptions& options, const MembershipView& view, RecordStore& store,
               RandomSource& random, MessageSink& sink);

  /**
   * Publishes records that this node read from the store. A list must be passed as a whole, and
   * watched changes in order: once setStoreListed() was called, this node counts as complete up to
   * the highest version passed.
   */
  void publish(TimePoint now, const std::vector<ConfigRecord>& records);
  /**
   * Publishes one record that is known to be in the store, while other new records there may not
   * have been read yet: it is effective and disseminated at once, but does not make its version
   * complete.
   */
  void publishUnconfirmed(const ConfigRecord& record);
  /** Marks that this node has listed the store and published everything: it is caught up without
   * any peer. */
  void setStoreListed();
  /** Publishes changed region contacts. Called by elected readers only. */
  void setMachineList(TimePoint now, const std::vector<ContactCandidate>& machines);

  /** Sends rumors, retries and comparisons that are due; call at least every 50 ms. */
  void tick(TimePoint now);
  void handle(TimePoint now, const Endpoint& from, NodeId sender, const RecordPush& push);
  void handle(TimePoint now, const Endpoint& from, NodeId sender, const RecordFragment& fragment);
  void handle(TimePoint now, const Endpoint& from, NodeId sender, const DigestRequest& request);
  void handle(TimePoint now, const Endpoint& from, NodeId sender, const DigestReply& reply);
  void handle(TimePoint now, const Endpoint& from, NodeId sender, const RecordRequest& request);

  /** @return whether this node has at some time held the same records as its peers, or the store.
   * Remains true afterwards. */
  bool caughtUp() const { return caughtUp_; }
  /** @return the store version up to which every change is effective on this node. */
  uint64_t effectiveVersion() const { return effectiveVersion_; }
  const ContactBook& contacts() const { return contacts_; }

 private:
  void applyReceived(NodeId sender, const ConfigRecord& record, bool rumor);
  void flushRumors();
  void sendRumor(const Endpoint& to, const std::vector<RecordKey>& keys, bool whole);
  void applyClaim(const CompletenessClaim& claim);
  void recheckPendingClaim();
  void compareWithPeer(TimePoint now);
  void compareWithContacts(TimePoint now);
  std::optional<Peer> pickForComparison(TimePoint now);
  /** @return whether the peer has not caught up yet, as far as known. */
  bool isPeerStarting(NodeId peer) const;
  /** @return whether this node started less than SpreadOptions::startTime ago. */
  bool isStarting(TimePoint now);
  void sendToOtherRegions(const std::vector<RecordKey>& keys);
  bool isTransferAllowed(TimePoint now, const DigestRequest& request, NodeId sender);
  void chargeTransfer(TimePoint now, NodeId peer, uint64_t recordBytesBefore, uint64_t otherBytes);
  /** @return the factor by which a node may exceed its budget if the region has few members
   * relative to the size of the records. */
  double budgetFactor();
  void recordDifference(TimePoint now, const Endpoint& from, NodeId sender);
  Duration period(const std::optional<TimePoint>& difference, TimePoint now, Duration usual);
  void recordMatch(NodeId peer);
  bool isForeign(NodeId sender) const;
  RegionId ownRegion() const;
  CompletenessClaim claim() const { return {store_.total(), effectiveVersion_}; }

  SpreadOptions options_;
  const MembershipView& view_;
  RecordStore& store_;
  RandomSource& random_;
  MessageSink& sink_;
  ContactBook contacts_;
  PeerPicker peers_;
  RecordSender sender_;
  ByteBudget transferBudget_;
  RecordAssembler assembler_;
  RecordFetcher fetcher_;
  DigestExchange exchange_;

  /** New records to be sent as rumors; true for those that are also sent to other regions. */
  std::map<RecordKey, bool> rumors_;
  /** The claim with the highest version that this node cannot confirm yet. */
  CompletenessClaim pendingClaim_;
  uint64_t effectiveVersion_ = 0;
  uint64_t publishedVersion_ = 0;
  bool storeListed_ = false;
  bool caughtUp_ = false;
  /** Peers that have caught up and reported the same total. */
  std::set<NodeId> matches_;
  uint64_t matchedTotal_ = 0;
  /** Time of the last differing comparison within the region and with another region. */
  std::optional<TimePoint> regionDifference_;
  std::optional<TimePoint> foreignDifference_;
  /** Node of another region in the last differing comparison. */
  Endpoint foreignSource_;
  std::optional<TimePoint> startedAt_;
  TimePoint nextDigest_;
  TimePoint nextContacts_;
};

}  // namespace umberhold
