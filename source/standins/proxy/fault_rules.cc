#include "standins/proxy/fault_rules.h"

#include <algorithm>

namespace umberhold::standins {
namespace {

constexpr uint32_t kMicrosPerMilli = 1000;

bool includes(const std::string& end, const ProxyParty& party) {
  return end == "*" || end == party.name || end == party.zone;
}

bool matches(const FaultRule& rule, const ProxyParty& from, const ProxyParty& to) {
  return includes(rule.from, from) && includes(rule.to, to);
}

}  // namespace

void FaultRules::set(const FaultRule& rule) {
  std::erase_if(rules_, [&](const FaultRule& existing) {
    return existing.from == rule.from && existing.to == rule.to;
  });
  rules_.push_back(rule);
}

bool FaultRules::isCut(const ProxyParty& from, const ProxyParty& to) const {
  return std::any_of(rules_.begin(), rules_.end(),
                     [&](const FaultRule& rule) { return rule.cut && matches(rule, from, to); });
}

std::vector<uint32_t> FaultRules::deliveryDelays(const ProxyParty& from, const ProxyParty& to,
                                                 RandomSource& random) const {
  uint32_t delay = 0;
  size_t copies = 1;
  for (const FaultRule& rule : rules_) {
    if (!matches(rule, from, to)) {
      continue;
    }
    if (rule.cut || random.unit() < rule.dropShare) {
      return {};
    }
    copies += random.unit() < rule.repeatShare ? 1 : 0;
    delay += rule.delayMicros;
    if (random.unit() < rule.reorderShare) {
      delay += kMicrosPerMilli * static_cast<uint32_t>(random.below(rule.reorderMillis + 1));
    }
  }
  return std::vector<uint32_t>(copies, delay);
}

}  // namespace umberhold::standins
