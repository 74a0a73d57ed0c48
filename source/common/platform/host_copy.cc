#include "common/platform/host_copy.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "common/wire/codec.h"

namespace umberhold {

Result<HostCopy, EncodeError> makeHostCopy(uint64_t version, const std::vector<HostEvent>& hosts) {
  HostCopy copy{version, {}};
  size_t begin = 0;
  do {
    const size_t end = std::min(begin + kHostsPerCopyPart, hosts.size());
    const auto first = hosts.begin() + static_cast<std::ptrdiff_t>(begin);
    const auto last = hosts.begin() + static_cast<std::ptrdiff_t>(end);
    auto encoded = encodeHostCopyPart({{first, last}});
    if (!isOk(encoded)) {
      return errorOf(encoded);
    }
    copy.parts.push_back(std::move(valueOf(encoded)));
    begin = end;
  } while (begin < hosts.size());
  return copy;
}

void HostCopies::add(HostCopy copy) {
  copies_.push_back(std::move(copy));
  if (copies_.size() > kMaxCopies) {
    copies_.pop_front();
  }
}

const std::string* HostCopies::part(uint64_t version, uint32_t index) const {
  for (const HostCopy& copy : copies_) {
    if (copy.version == version && index < copy.parts.size()) {
      return &copy.parts[index];
    }
  }
  return nullptr;
}

}  // namespace umberhold
