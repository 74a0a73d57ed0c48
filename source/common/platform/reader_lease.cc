#include "common/platform/reader_lease.h"

#include <Poco/Exception.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>

#include <sstream>

namespace umberhold {
namespace {

constexpr const char* kHolder = "holder";
constexpr const char* kRenewal = "renewal";
constexpr const char* kDuration = "duration_ms";

}  // namespace

std::string leaseName(uint8_t slot) {
  return "reader-" + std::to_string(slot);
}

std::string formatLease(const ReaderLease& lease) {
  const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(lease.duration);
  Poco::JSON::Object object;
  object.set(kHolder, lease.holder.value);
  object.set(kRenewal, static_cast<Poco::UInt64>(lease.renewal));
  object.set(kDuration, static_cast<Poco::Int64>(milliseconds.count()));
  std::ostringstream text;
  object.stringify(text);
  return text.str();
}

std::optional<ReaderLease> parseLease(const std::string& specification) {
  try {
    const auto object =
        Poco::JSON::Parser().parse(specification).extract<Poco::JSON::Object::Ptr>();
    ReaderLease lease;
    lease.holder = NodeId{object->getValue<Poco::UInt32>(kHolder)};
    lease.renewal = object->getValue<Poco::UInt64>(kRenewal);
    lease.duration = std::chrono::milliseconds(object->getValue<Poco::UInt32>(kDuration));
    return lease;
  } catch (const Poco::Exception&) {
    return std::nullopt;
  }
}

}  // namespace umberhold
