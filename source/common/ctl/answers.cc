#include "common/ctl/answers.h"

#include <Poco/Exception.h>
#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>

#include <functional>

namespace umberhold {
namespace {

using Poco::JSON::Array;
using Poco::JSON::Object;

template <class Answer>
std::optional<Answer> parse(const std::string& body,
                            const std::function<Answer(const Object::Ptr&)>& read) {
  try {
    return read(Poco::JSON::Parser().parse(body).extract<Object::Ptr>());
  } catch (const Poco::Exception&) {
    return std::nullopt;
  }
}

std::optional<std::string> optionalText(const Object::Ptr& object, const std::string& key) {
  const Poco::Dynamic::Var value = object->get(key);
  return value.isEmpty() ? std::nullopt : std::optional<std::string>(value.convert<std::string>());
}

}  // namespace

std::optional<AcceptedAnswer> parseAccepted(const std::string& body) {
  return parse<AcceptedAnswer>(body, [](const Object::Ptr& object) {
    return AcceptedAnswer{object->getValue<Poco::UInt64>("version"),
                          object->getValue<std::string>("request_id")};
  });
}

std::optional<DryRunAnswer> parseDryRun(const std::string& body) {
  return parse<DryRunAnswer>(body, [](const Object::Ptr& object) {
    DryRunAnswer answer;
    answer.currentVersion = object->getValue<Poco::UInt64>("current_version");
    const Array::Ptr changes = object->getArray("changes");
    for (unsigned index = 0; !changes.isNull() && index < changes->size(); ++index) {
      const Object::Ptr change = changes->getObject(index);
      answer.changes.push_back({change->getValue<std::string>("field"),
                                optionalText(change, "before"), optionalText(change, "after")});
    }
    return answer;
  });
}

std::optional<CoverageAnswer> parseCoverage(const std::string& body) {
  return parse<CoverageAnswer>(body, [](const Object::Ptr& object) {
    return CoverageAnswer{object->getValue<Poco::UInt64>("nodes"),
                          object->getValue<Poco::UInt64>("in_force"),
                          object->getValue<bool>("complete")};
  });
}

std::optional<FlowOwnerAnswer> parseFlowOwner(const std::string& body) {
  return parse<FlowOwnerAnswer>(body, [](const Object::Ptr& object) {
    FlowOwnerAnswer answer;
    answer.knowledge = object->getValue<std::string>("knowledge");
    const Poco::Dynamic::Var owner = object->get("owner");
    if (!owner.isEmpty()) {
      answer.owner = NodeId{owner.convert<uint32_t>()};
    }
    return answer;
  });
}

std::optional<NodeId> parseNodeId(const std::string& body) {
  return parse<NodeId>(body, [](const Object::Ptr& object) {
    return NodeId{object->getValue<uint32_t>("node_id")};
  });
}

std::optional<uint64_t> parseObjectVersion(const std::string& body) {
  return parse<uint64_t>(body, [](const Object::Ptr& object) -> uint64_t {
    return object->getValue<Poco::UInt64>("version");
  });
}

ExitStatus exitStatusOf(int httpStatus) {
  switch (httpStatus) {
    case 200:
      return ExitStatus::kOk;
    case 401:
      return ExitStatus::kNotAuthorized;
    case 404:
      return ExitStatus::kNotFound;
    case 409:
      return ExitStatus::kConflict;
    case 504:
      return ExitStatus::kUnknownOutcome;
    default:
      return httpStatus >= 400 && httpStatus < 500 ? ExitStatus::kInvalid
                                                   : ExitStatus::kUnavailable;
  }
}

}  // namespace umberhold
