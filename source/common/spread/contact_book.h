/** @file Which nodes stand in for which region, as the records say. */
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "common/base/random.h"
#include "common/base/time.h"
#include "common/config/region_contacts.h"
#include "common/spread/record_store.h"

namespace umberhold {

/** Nodes that serve as contacts of one region. */
constexpr size_t kContactsPerRegion = 3;

/** A machine of the platform's list that may become a contact. */
struct ContactCandidate {
  std::string region;
  RegionContact node;
};

/** Contacts by region; add it to the store as an observer. */
class ContactBook : public RecordObserver {
 public:
  void onRecordApplied(const ConfigRecord& record) override;

  /** @return whether the node is a contact of its region. */
  bool isContact(RegionId region, NodeId node) const;
  /** @return whether the node is a contact of any region. */
  bool isContact(NodeId node) const;
  /** @return one random contact of each region but this. */
  std::vector<RegionContact> pickOthers(RegionId own, RandomSource& random) const;
  /** @return a random contact of the region, if it has any. */
  std::optional<RegionContact> pickOf(RegionId region, RandomSource& random) const;
  /** @return all regions with contacts but this. */
  std::vector<RegionId> otherRegions(RegionId own) const;
  /** @return up to `count` of them, in random order. */
  std::vector<RegionId> pickRegions(RegionId own, size_t count, RandomSource& random) const;
  /**
   * @return whether the contact is one of the `carriers` that bring the object to the region: the
   * best of its region's contacts by rendezvous hashing over object and region.
   */
  bool isForwarder(RegionId own, NodeId contact, const RecordKey& key, RegionId region,
               size_t forwarders) const;

 private:
  std::map<RegionId, std::vector<RegionContact>> contacts_;
};

/**
 * Compares the effective contacts with a machine list: listed ones stay, others are replaced.
 * @return records to publish, for the regions whose contacts change. Their versions count on from
 * the known record's; two readers may pick the same version, and the store then settles on one
 * content.
 */
std::vector<ConfigRecord> contactRecordsFor(const RecordStore& store,
                                            const std::vector<ContactCandidate>& machines);

}  // namespace umberhold
