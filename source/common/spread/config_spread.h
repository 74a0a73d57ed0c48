/**
 * @file Brings every configuration record to every node and keeps it there.
 *
 * New records travel as rumors (push by fan-out, as in Demers et al., 1987); comparisons of digests
 * heal what the rumors missed, feed starting nodes, and join regions through their contacts. A
 * claim travels with both: who has the same total as a node effective at a version has every change
 * up to that version.
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

/** One node's part in the spread. No I/O; not thread safe. */
class ConfigSpread {
 public:
  /** All references are borrowed and must outlive this; the store's records change only through
   * this. */
  ConfigSpread(const SpreadOptions& options, const MembershipView& view, RecordStore& store,
               RandomSource& random, MessageSink& sink);

  /**
   * Takes records that this node read from the store. A list must be handed in whole, and watched
   * changes in order: the highest version handed in is taken as complete once setStoreListed() was
   * called.
   */
  void publish(TimePoint now, const std::vector<ConfigRecord>& records);
  /**
   * Takes one record that this node knows to be in the store, without having read what else is new
   * there: it is effective and spreads at once, but completes no version.
   */
  void publishUnconfirmed(const ConfigRecord& record);
  /** This node has listed the store and handed everything in: it needs no peer to be caught up. */
  void setStoreListed();
  /** Publishes changed region contacts; for elected readers. */
  void setMachineList(TimePoint now, const std::vector<ContactCandidate>& machines);

  /** Runs what is due; call at least every 50 ms. */
  void tick(TimePoint now);
  void handle(TimePoint now, const Endpoint& from, NodeId sender, const RecordPush& push);
  void handle(TimePoint now, const Endpoint& from, NodeId sender, const RecordFragment& fragment);
  void handle(TimePoint now, const Endpoint& from, NodeId sender, const DigestRequest& request);
  void handle(TimePoint now, const Endpoint& from, NodeId sender, const DigestReply& reply);
  void handle(TimePoint now, const Endpoint& from, NodeId sender, const RecordRequest& request);

  /** @return whether this node once held what its peers, or the store, held; it stays true. */
  bool caughtUp() const { return caughtUp_; }
  /** @return the store version up to which every change is effective on this node. */
  uint64_t effectiveVersion() const { return inForceVersion_; }
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
  /** @return whether the member is known to have not caught up yet. */
  bool isPeerStarting(NodeId peer) const;
  /** @return whether this node began less than SpreadOptions::startTime ago. */
  bool isStarting(TimePoint now);
  void sendToOtherRegions(const std::vector<RecordKey>& keys);
  bool isTransferAllowed(TimePoint now, const DigestRequest& request, NodeId sender);
  void chargeTransfer(TimePoint now, NodeId peer, uint64_t recordBytesBefore, uint64_t otherBytes);
  /** @return how many times its budget a node may spend where members are few for the records. */
  double budgetFactor();
  void recordDifference(TimePoint now, const Endpoint& from, NodeId sender);
  Duration period(const std::optional<TimePoint>& difference, TimePoint now, Duration usual);
  void recordMatch(NodeId peer);
  bool isForeign(NodeId sender) const;
  RegionId ownRegion() const;
  CompletenessClaim claim() const { return {store_.total(), inForceVersion_}; }

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

  /** New records to pass on; true for those that also go to other regions. */
  std::map<RecordKey, bool> rumors_;
  /** The claim of the highest version that this node cannot yet confirm. */
  CompletenessClaim pendingClaim_;
  uint64_t inForceVersion_ = 0;
  uint64_t publishedVersion_ = 0;
  bool storeListed_ = false;
  bool caughtUp_ = false;
  /** Caught-up peers that held the same total. */
  std::set<NodeId> matches_;
  uint64_t matchedTotal_ = 0;
  /** When a comparison within the region, and with another region, last differed. */
  std::optional<TimePoint> regionDifference_;
  std::optional<TimePoint> foreignDifference_;
  /** Node of another region that this node last differed with. */
  Endpoint foreignSource_;
  std::optional<TimePoint> startedAt_;
  TimePoint nextDigest_;
  TimePoint nextContacts_;
};

}  // namespace umberhold
