#include "common/settings/token_node_settings.h"

#include <toml++/toml.h>

#include <fstream>
#include <iterator>
#include <optional>
#include <set>

namespace umberhold {
namespace {

constexpr int64_t kMaxFlowLifeSeconds = 86400;
constexpr int64_t kMaxLingerMilliseconds = 60000;
/** Processor cores. */
constexpr double kMaxCapacity = 1024.0;
constexpr int64_t kMaxBoundMilliseconds = 60000;
constexpr int64_t kMaxStoreHistorySeconds = 86400;
/** Fraction of the time after which callers give up. */
constexpr double kMaxWaitPart = 1.0;
/** Fraction of the new flows of a split. */
constexpr double kMaxOverflowPart = 1.0;
/** Fraction of the target latency of a service. */
constexpr double kMaxHostTimePart = 1.0;
/** Larger than any ratio of response times. */
constexpr double kMaxRatio = 1000.0;

/** Reads values from a table and keeps the first error. */
class TableReader {
 public:
  explicit TableReader(const toml::table& table) : table_(table) {}

  void text(const char* key, std::string& value, bool required) {
    const toml::node* node = find(key, required);
    if (node == nullptr) {
      return;
    }
    const auto found = node->value_exact<std::string>();
    if (!found || found->empty()) {
      fail(SettingsErrorCode::kWrongType, key, lineOf(*node), "a non-empty string");
      return;
    }
    value = *found;
  }
  void endpoint(const char* key, Endpoint& value, bool required = true) {
    std::string words;
    text(key, words, required);
    if (words.empty() && !required) {
      return;
    }
    const auto found = parseEndpoint(words);
    if (!found) {
      fail(SettingsErrorCode::kWrongType, key, 0, "\"a.b.c.d:port\"");
      return;
    }
    value = *found;
  }
  void endpoints(const char* key, std::vector<Endpoint>& values) {
    const toml::node* node = find(key, false);
    if (node == nullptr) {
      return;
    }
    const toml::array* list = node->as_array();
    if (list == nullptr) {
      fail(SettingsErrorCode::kWrongType, key, lineOf(*node), "a list of \"a.b.c.d:port\"");
      return;
    }
    for (const toml::node& member : *list) {
      const auto words = member.value_exact<std::string>();
      const auto found = words ? parseEndpoint(*words) : std::nullopt;
      if (!found) {
        fail(SettingsErrorCode::kWrongType, key, lineOf(*node), "a list of \"a.b.c.d:port\"");
        return;
      }
      values.push_back(*found);
    }
  }
  void number(const char* key, uint32_t& value, int64_t maximum, int64_t minimum = 1) {
    const toml::node* node = find(key, false);
    if (node == nullptr) {
      return;
    }
    const auto found = node->value_exact<int64_t>();
    if (!found) {
      fail(SettingsErrorCode::kWrongType, key, lineOf(*node), "an integer");
    } else if (*found < minimum || *found > maximum) {
      fail(SettingsErrorCode::kOutOfRange, key, lineOf(*node),
           std::to_string(minimum) + " to " + std::to_string(maximum));
    } else {
      value = static_cast<uint32_t>(*found);
    }
  }
  void flag(const char* key, bool& value) {
    const toml::node* node = find(key, false);
    if (node == nullptr) {
      return;
    }
    const auto found = node->value_exact<bool>();
    if (!found) {
      fail(SettingsErrorCode::kWrongType, key, lineOf(*node), "true or false");
    } else {
      value = *found;
    }
  }
  void overflowMode(const char* key, OverflowMode& value) {
    const toml::node* node = find(key, false);
    if (node == nullptr) {
      return;
    }
    const auto words = node->value_exact<std::string>();
    const auto found = words ? parseOverflowMode(*words) : std::nullopt;
    if (!found) {
      fail(words ? SettingsErrorCode::kOutOfRange : SettingsErrorCode::kWrongType, key,
           lineOf(*node), "\"off\", \"by_room\" or \"repeatable\"");
    } else {
      value = *found;
    }
  }
  /** @param mayBeZero whether 0 is a valid value. */
  void fraction(const char* key, double& value, double maximum, bool mayBeZero = false) {
    const toml::node* node = find(key, false);
    if (node == nullptr) {
      return;
    }
    const auto found = node->value<double>();
    if (!found) {
      fail(SettingsErrorCode::kWrongType, key, lineOf(*node), "a number");
    } else if (!(mayBeZero ? *found >= 0.0 : *found > 0.0) || *found > maximum) {
      fail(SettingsErrorCode::kOutOfRange, key, lineOf(*node),
           std::string(mayBeZero ? "from 0 to " : "above 0, at most ") +
               std::to_string(static_cast<int>(maximum)));
    } else {
      value = *found;
    }
  }
  void rejectUnknownKeys() {
    for (const auto& [key, node] : table_) {
      if (knownKeys_.count(std::string(key.str())) == 0) {
        fail(SettingsErrorCode::kUnknownKey, std::string(key.str()), lineOf(node),
             "no such option");
      }
    }
  }
  const std::optional<SettingsError>& error() const { return error_; }

 private:
  static uint32_t lineOf(const toml::node& node) { return node.source().begin.line; }

  const toml::node* find(const char* key, bool required) {
    knownKeys_.insert(key);
    const toml::node* node = table_.get(key);
    if (node == nullptr && required) {
      fail(SettingsErrorCode::kMissingKey, key, 0, "must be set");
    }
    return node;
  }
  void fail(SettingsErrorCode code, const std::string& key, uint32_t line,
            const std::string& detail) {
    if (!error_) {
      error_ = SettingsError{code, key, line, detail};
    }
  }

  const toml::table& table_;
  std::set<std::string> knownKeys_;
  std::optional<SettingsError> error_;
};

}  // namespace

Result<TokenNodeSettings, SettingsError> parseTokenNodeSettings(std::string_view text) {
  try {
    const toml::table table = toml::parse(text);
    TableReader reader(table);
    TokenNodeSettings settings;
    reader.text("node", settings.node, true);
    reader.text("region", settings.region, true);
    reader.text("zone", settings.zone, true);
    reader.endpoint("data", settings.data);
    reader.endpoint("readiness", settings.readiness);
    reader.text("readiness_path", settings.readinessPath, false);
    reader.endpoint("metrics", settings.metrics, false);
    reader.text("metrics_path", settings.metricsPath, false);
    reader.text("request_header", settings.requestHeader, false);
    reader.endpoint("store", settings.store);
    reader.endpoint("peer_address", settings.peerAddress, false);
    reader.endpoints("peers", settings.peers);
    reader.fraction("capacity", settings.capacity, kMaxCapacity);
    reader.flag("first_start", settings.firstStart);
    reader.number("change_bound_milliseconds", settings.changeBoundMilliseconds,
                  kMaxBoundMilliseconds);
    reader.number("drain_bound_milliseconds", settings.drainBoundMilliseconds,
                  kMaxBoundMilliseconds);
    reader.number("evacuation_bound_milliseconds", settings.evacuationBoundMilliseconds,
                  kMaxBoundMilliseconds, 0);
    reader.number("disturbance_grace_milliseconds", settings.disturbanceGraceMilliseconds,
                  kMaxBoundMilliseconds, 0);
    reader.number("store_history_seconds", settings.storeHistorySeconds, kMaxStoreHistorySeconds);
    reader.number("flow_life_seconds", settings.flowLifeSeconds, kMaxFlowLifeSeconds);
    reader.number("linger_milliseconds", settings.lingerMilliseconds, kMaxLingerMilliseconds);
    reader.flag("share_observations", settings.sharesObservations);
    PlacementOptions& placement = settings.placement;
    reader.flag("prefer_own_zone", placement.prefersOwnZone);
    reader.fraction("weighed_ratio", placement.weighedRatio, kMaxRatio);
    reader.fraction("zone_leaves_ratio", placement.zoneLeavesRatio, kMaxRatio);
    reader.fraction("full_zone_load", placement.fullZoneLoad, kMaxRatio);
    reader.flag("learn_speeds", placement.learnsSpeeds);
    reader.fraction("openings_per_slot", settings.openings.openingsPerSlot, kMaxRatio, true);
    reader.fraction("opening_wait_part", settings.openings.maxWaitPart, kMaxWaitPart, true);
    reader.overflowMode("overflow", settings.overflow.mode);
    reader.fraction("overflow_part", settings.overflow.maxPart, kMaxOverflowPart, true);
    reader.fraction("host_time_part", settings.room.hostTimePart, kMaxHostTimePart, true);
    reader.fraction("cold_rate_factor", settings.coldHosts.rateFactor, kMaxRatio, true);
    reader.fraction("cold_rate_allowance", settings.coldHosts.rateAllowance, kMaxRatio, true);
    reader.rejectUnknownKeys();
    if (reader.error()) {
      return *reader.error();
    }
    return settings;
  } catch (const toml::parse_error& error) {
    return SettingsError{SettingsErrorCode::kSyntax, "", error.source().begin.line,
                         std::string(error.description())};
  }
}

std::vector<SettingChange> settingChanges(const TokenNodeSettings& before,
                                          const TokenNodeSettings& after) {
  std::vector<SettingChange> changes;
  const auto compare = [&](const char* key, auto member, bool whileRunning) {
    if (before.*member != after.*member) {
      changes.push_back({key, whileRunning});
    }
  };
  using S = TokenNodeSettings;
  compare("node", &S::node, false);
  compare("region", &S::region, false);
  compare("zone", &S::zone, false);
  compare("data", &S::data, false);
  compare("readiness", &S::readiness, false);
  compare("readiness_path", &S::readinessPath, false);
  compare("metrics", &S::metrics, false);
  compare("metrics_path", &S::metricsPath, false);
  compare("request_header", &S::requestHeader, true);
  compare("store", &S::store, false);
  compare("peer_address", &S::peerAddress, false);
  compare("peers", &S::peers, false);
  compare("capacity", &S::capacity, false);
  compare("first_start", &S::firstStart, false);
  compare("change_bound_milliseconds", &S::changeBoundMilliseconds, false);
  compare("drain_bound_milliseconds", &S::drainBoundMilliseconds, false);
  compare("evacuation_bound_milliseconds", &S::evacuationBoundMilliseconds, false);
  compare("disturbance_grace_milliseconds", &S::disturbanceGraceMilliseconds, false);
  compare("store_history_seconds", &S::storeHistorySeconds, false);
  compare("flow_life_seconds", &S::flowLifeSeconds, true);
  compare("linger_milliseconds", &S::lingerMilliseconds, true);
  compare("share_observations", &S::sharesObservations, false);
  const auto comparePlacement = [&](const char* key, auto member) {
    if (before.placement.*member != after.placement.*member) {
      changes.push_back({key, false});
    }
  };
  comparePlacement("prefer_own_zone", &PlacementOptions::prefersOwnZone);
  comparePlacement("weighed_ratio", &PlacementOptions::weighedRatio);
  comparePlacement("zone_leaves_ratio", &PlacementOptions::zoneLeavesRatio);
  comparePlacement("full_zone_load", &PlacementOptions::fullZoneLoad);
  comparePlacement("learn_speeds", &PlacementOptions::learnsSpeeds);
  const auto compareOpenings = [&](const char* key, auto member) {
    if (before.openings.*member != after.openings.*member) {
      changes.push_back({key, false});
    }
  };
  compareOpenings("openings_per_slot", &OpeningLimits::openingsPerSlot);
  compareOpenings("opening_wait_part", &OpeningLimits::maxWaitPart);
  const auto compareOverflow = [&](const char* key, auto member) {
    if (before.overflow.*member != after.overflow.*member) {
      changes.push_back({key, false});
    }
  };
  compareOverflow("overflow", &OverflowOptions::mode);
  compareOverflow("overflow_part", &OverflowOptions::maxPart);
  if (before.room != after.room) {
    changes.push_back({"host_time_part", false});
  }
  const auto compareCold = [&](const char* key, auto member) {
    if (before.coldHosts.*member != after.coldHosts.*member) {
      changes.push_back({key, false});
    }
  };
  compareCold("cold_rate_factor", &ColdHostOptions::rateFactor);
  compareCold("cold_rate_allowance", &ColdHostOptions::rateAllowance);
  return changes;
}

Result<TokenNodeSettings, SettingsError> loadTokenNodeSettings(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) {
    return SettingsError{SettingsErrorCode::kUnreadableFile, "", 0, path};
  }
  const std::string text{std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
  return parseTokenNodeSettings(text);
}

}  // namespace umberhold
