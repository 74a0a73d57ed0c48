/** @file Since when nodes, hosts and the store are without trouble: bounds hold only then. */
#pragma once

#include <map>
#include <string>

#include "common/base/time.h"

namespace umberhold::soak {

/** Troubles by what they strike. Not thread safe. */
class ContactRecord {
 public:
  /** @param contact how long something must be without trouble for the bounds to hold. */
  explicit ContactRecord(Duration contact) : contact_(contact) {}

  void begin(const std::string& struck, TimePoint now) {
    Trouble& trouble = troubles_[struck];
    ++trouble.open;
    trouble.last = now;
  }
  void end(const std::string& struck, TimePoint now) {
    Trouble& trouble = troubles_[struck];
    --trouble.open;
    trouble.last = now;
  }
  /** A trouble without length. */
  void strike(const std::string& struck, TimePoint now) { troubles_[struck].last = now; }

  bool isInTouch(const std::string& name, TimePoint now) const {
    const auto found = troubles_.find(name);
    return found == troubles_.end() ||
           (found->second.open == 0 && now - found->second.last > contact_);
  }

 private:
  struct Trouble {
    int open = 0;
    TimePoint last{};
  };

  const Duration contact_;
  std::map<std::string, Trouble> troubles_;
};

}  // namespace umberhold::soak
