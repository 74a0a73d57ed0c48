/** @file Flows, requests and counters that a host recorded; input of the oracle. */
#pragma once

#include <string>
#include <vector>

#include "standins/backend/virtual_host.h"

namespace umberhold::standins {

/** The record of one host. */
struct HostRecord {
  std::string service;
  std::string host;
  /** Number of open connections. */
  uint64_t connections = 0;
  HostCounters counters;
  std::vector<RunRecord> runs;
  /** Flows that were open when the host stopped. */
  std::vector<LostFlow> lostFlows;
};

/** @return the host's current record. */
HostRecord recordOf(const VirtualHost& host);

/** @return the records as a JSON array. */
std::string toJson(const std::vector<HostRecord>& records);

/** Why a text can't be parsed as records. */
enum class RecordError : uint8_t { kMalformed };

/** Parses the output of toJson(). */
Result<std::vector<HostRecord>, RecordError> recordsFromJson(const std::string& text);

}  // namespace umberhold::standins
