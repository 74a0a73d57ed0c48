/** @file Packing of records into datagrams, and reassembly of fragmented records. */
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "common/spread/record_store.h"
#include "common/wire/message_sink.h"

namespace umberhold {

/** Maximum size of the records in one datagram; it leaves room for headers below the 1,400 bytes
 * that every path carries. */
constexpr size_t kDatagramRecordBytes = 1150;

/** Sends records in as few datagrams as they need. */
class RecordSender {
 public:
  RecordSender(const RecordStore& store, MessageSink& sink) : store_(store), sink_(sink) {}

  /** Sends the records with these keys that the store holds, up to a limit on the total size. */
  void send(const Endpoint& to, const std::vector<RecordKey>& keys, bool rumor,
            const CompletenessClaim& claim);
  /** @return the total size of all records sent so far, bytes. */
  uint64_t bytesSent() const { return bytesSent_; }

 private:
  void sendFragments(const Endpoint& to, const ConfigRecord& record);

  const RecordStore& store_;
  MessageSink& sink_;
  uint64_t bytesSent_ = 0;
};

/** Reassembles fragmented records. If there are too many incomplete ones, the oldest is discarded.
 */
class RecordAssembler {
 public:
  /** @return the complete record if this was its last missing fragment. */
  std::optional<ConfigRecord> add(const RecordFragment& fragment);

 private:
  struct Partial {
    uint64_t version = 0;
    std::vector<std::string> pieces;
    size_t missing = 0;
    uint64_t startedAt = 0;
  };

  Partial& partialFor(const RecordFragment& fragment);

  std::map<RecordKey, Partial> partials_;
  uint64_t started_ = 0;
};

}  // namespace umberhold
