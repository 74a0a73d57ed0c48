/** @file The contact nodes of each region, from the configuration records. */
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

/** Number of nodes that serve as contacts of one region. */
constexpr size_t kContactsPerRegion = 3;

/** A machine of the platform's list that can be selected as a contact. */
struct ContactCandidate {
  std::string region;
  RegionContact node;
};

/** Contacts by region; must be added to the store as an observer. */
class ContactBook : public RecordObserver {
 public:
  void onRecordApplied(const ConfigRecord& record) override;

  /** @return whether the node is a contact of its region. */
  bool isContact(RegionId region, NodeId node) const;
  /** @return whether the node is a contact of any region. */
  bool isContact(NodeId node) const;
  /** @return one random contact of each region other than `own`. */
  std::vector<RegionContact> pickOthers(RegionId own, RandomSource& random) const;
  /** @return a random contact of the region, or std::nullopt if it has none. */
  std::optional<RegionContact> pickOf(RegionId region, RandomSource& random) const;
  /** @return all regions with contacts other than `own`. */
  std::vector<RegionId> otherRegions(RegionId own) const;
  /** @return up to `count` of the other regions, in random order. */
  std::vector<RegionId> pickRegions(RegionId own, size_t count, RandomSource& random) const;
  /**
   * @return whether the contact is one of the `forwarders` that send the object to the region:
   * those of its region's contacts with the highest scores in rendezvous hashing over object and
   * region.
   */
  bool isForwarder(RegionId own, NodeId contact, const RecordKey& key, RegionId region,
                   size_t forwarders) const;

 private:
  std::map<RegionId, std::vector<RegionContact>> contacts_;
};

/**
 * Compares the effective contacts with a machine list: listed ones remain, others are replaced.
 * @return records to publish, for the regions whose contacts change. Their versions continue from
 * the known record's version; two readers may pick the same version, in which case all record
 * stores keep the same one of the two contents.
 */
std::vector<ConfigRecord> contactRecordsFor(const RecordStore& store,
                                            const std::vector<ContactCandidate>& machines);

}  // namespace umberhold
