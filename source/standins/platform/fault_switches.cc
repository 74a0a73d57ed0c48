#include "standins/platform/fault_switches.h"

#include <Poco/Exception.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>

#include <sstream>

namespace umberhold::standins {
namespace {

using Poco::JSON::Object;

Duration readMilliseconds(const Object& object, const std::string& key, Duration defaultValue) {
  if (!object.has(key)) {
    return defaultValue;
  }
  return std::chrono::milliseconds(object.getValue<Poco::UInt32>(key));
}

std::string outageName(Outage outage) {
  switch (outage) {
    case Outage::kUnavailable:
      return "unavailable";
    case Outage::kRefused:
      return "refused";
    case Outage::kNone:
      break;
  }
  return "none";
}

Outage parseOutage(const std::string& name) {
  for (const Outage outage : {Outage::kNone, Outage::kUnavailable, Outage::kRefused}) {
    if (name == outageName(outage)) {
      return outage;
    }
  }
  throw Poco::DataFormatException("unknown outage", name);
}

Poco::Int64 toMilliseconds(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

}  // namespace

FaultSettings FaultSwitches::settings() const {
  const std::lock_guard lock(mutex_);
  return settings_;
}

void FaultSwitches::set(const FaultSettings& settings) {
  const std::lock_guard lock(mutex_);
  settings_ = settings;
}

ChangeFault FaultSwitches::nextChangeFault() {
  const std::lock_guard lock(mutex_);
  if (settings_.loseRequestsNext > 0) {
    --settings_.loseRequestsNext;
    return ChangeFault::kRequestLost;
  }
  if (settings_.lateChangesNext > 0) {
    --settings_.lateChangesNext;
    return ChangeFault::kLate;
  }
  if (settings_.loseAnswersNext > 0) {
    --settings_.loseAnswersNext;
    return ChangeFault::kAnswerLost;
  }
  std::bernoulli_distribution answerIsLost(settings_.loseAnswersProbability);
  return answerIsLost(random_) ? ChangeFault::kAnswerLost : ChangeFault::kNormal;
}

Result<FaultSettings, FaultError> mergeFaults(FaultSettings settings, const std::string& json) {
  try {
    const auto object = Poco::JSON::Parser().parse(json).extract<Object::Ptr>();
    settings.slow = readMilliseconds(*object, "slow_ms", settings.slow);
    settings.outage =
        parseOutage(object->optValue<std::string>("outage", outageName(settings.outage)));
    settings.retryAfterSeconds =
        object->optValue<Poco::UInt32>("retry_after_seconds", settings.retryAfterSeconds);
    settings.loseAnswersNext =
        object->optValue<Poco::UInt32>("lose_answers_next", settings.loseAnswersNext);
    settings.loseAnswersProbability =
        object->optValue<double>("lose_answers_probability", settings.loseAnswersProbability);
    settings.loseRequestsNext =
        object->optValue<Poco::UInt32>("lose_requests_next", settings.loseRequestsNext);
    settings.lateChangesNext =
        object->optValue<Poco::UInt32>("late_changes_next", settings.lateChangesNext);
    settings.lateBy = readMilliseconds(*object, "late_by_ms", settings.lateBy);
  } catch (const Poco::Exception& error) {
    return FaultError{error.displayText()};
  }
  if (!(settings.loseAnswersProbability >= 0 && settings.loseAnswersProbability <= 1)) {
    return FaultError{"lose_answers_probability must lie in 0 to 1"};
  }
  return settings;
}

std::string encodeFaults(const FaultSettings& settings) {
  Object object;
  object.set("slow_ms", toMilliseconds(settings.slow));
  object.set("outage", outageName(settings.outage));
  object.set("retry_after_seconds", settings.retryAfterSeconds);
  object.set("lose_answers_next", settings.loseAnswersNext);
  object.set("lose_answers_probability", settings.loseAnswersProbability);
  object.set("lose_requests_next", settings.loseRequestsNext);
  object.set("late_changes_next", settings.lateChangesNext);
  object.set("late_by_ms", toMilliseconds(settings.lateBy));
  std::ostringstream text;
  object.stringify(text);
  return text.str();
}

}  // namespace umberhold::standins
