#include "common/spread/contact_book.h"

#include <algorithm>

#include "common/base/hash.h"
#include "common/wire/codec.h"

namespace umberhold {
namespace {

bool isListed(const std::vector<RegionContact>& nodes, NodeId id) {
  return std::any_of(nodes.begin(), nodes.end(),
                     [id](const RegionContact& node) { return node.id == id; });
}

RegionContacts contactsIn(const std::optional<ConfigRecord>& record) {
  if (record) {
    auto decoded = decodeRegionContacts(record->payload);
    if (isOk(decoded)) {
      return valueOf(decoded);
    }
  }
  return {};
}

/** Keeps contacts whose entry in the list is unchanged, then adds nodes in the order of the list.
 */
RegionContacts choose(const RegionContacts& known, const std::vector<RegionContact>& listed) {
  RegionContacts chosen;
  for (const RegionContact& contact : known.contacts) {
    if (std::find(listed.begin(), listed.end(), contact) != listed.end()) {
      chosen.contacts.push_back(contact);
    }
  }
  for (const RegionContact& node : listed) {
    if (chosen.contacts.size() < kContactsPerRegion && !isListed(chosen.contacts, node.id)) {
      chosen.contacts.push_back(node);
    }
  }
  return chosen;
}

}  // namespace

void ContactBook::onRecordApplied(const ConfigRecord& record) {
  if (record.key.kind == ObjectKind::kRegionContacts) {
    contacts_[regionIdOf(record.key.name)] = contactsIn(record).contacts;
  }
}

bool ContactBook::isContact(RegionId region, NodeId node) const {
  const auto found = contacts_.find(region);
  return found != contacts_.end() && isListed(found->second, node);
}

bool ContactBook::isContact(NodeId node) const {
  return std::any_of(contacts_.begin(), contacts_.end(),
                     [node](const auto& entry) { return isListed(entry.second, node); });
}

std::vector<RegionContact> ContactBook::pickOthers(RegionId own, RandomSource& random) const {
  std::vector<RegionContact> picked;
  for (const auto& [region, contacts] : contacts_) {
    if (region != own && !contacts.empty()) {
      picked.push_back(contacts[random.below(contacts.size())]);
    }
  }
  return picked;
}

std::optional<RegionContact> ContactBook::pickOf(RegionId region, RandomSource& random) const {
  const auto found = contacts_.find(region);
  if (found == contacts_.end() || found->second.empty()) {
    return std::nullopt;
  }
  return found->second[random.below(found->second.size())];
}

std::vector<RegionId> ContactBook::otherRegions(RegionId own) const {
  std::vector<RegionId> regions;
  for (const auto& [region, contacts] : contacts_) {
    if (region != own && !contacts.empty()) {
      regions.push_back(region);
    }
  }
  return regions;
}

std::vector<RegionId> ContactBook::pickRegions(RegionId own, size_t count,
                                               RandomSource& random) const {
  std::vector<RegionId> regions = otherRegions(own);
  std::shuffle(regions.begin(), regions.end(), random.engine());
  regions.resize(std::min(regions.size(), count));
  return regions;
}

bool ContactBook::isForwarder(RegionId own, NodeId contact, const RecordKey& key, RegionId region,
                              size_t forwarders) const {
  const auto found = contacts_.find(own);
  if (found == contacts_.end()) {
    return false;
  }
  const uint64_t target = mixHash(hashBytes(key.name), region.value);
  const uint64_t ownScore = mixHash(target, contact.value);
  const auto better = std::count_if(
      found->second.begin(), found->second.end(),
      [&](const RegionContact& other) { return mixHash(target, other.id.value) > ownScore; });
  return static_cast<size_t>(better) < forwarders;
}

std::vector<ConfigRecord> contactRecordsFor(const RecordStore& store,
                                            const std::vector<ContactCandidate>& machines) {
  std::map<std::string, std::vector<RegionContact>> listed;
  for (const ContactCandidate& machine : machines) {
    listed[machine.region].push_back(machine.node);
  }
  std::vector<ConfigRecord> records;
  for (const auto& [region, nodes] : listed) {
    const RecordKey key{ObjectKind::kRegionContacts, region};
    const auto known = store.find(key);
    const RegionContacts chosen = choose(contactsIn(known), nodes);
    if (known && chosen == contactsIn(known)) {
      continue;
    }
    auto payload = encodeRegionContacts(chosen);
    if (isOk(payload)) {
      records.push_back({key, store.versionOf(key) + 1, false, valueOf(std::move(payload))});
    }
  }
  return records;
}

}  // namespace umberhold
