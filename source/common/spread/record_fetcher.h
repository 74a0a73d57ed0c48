/** @file Fetches of announced records, with at most one outstanding request per record. */
#pragma once

#include <map>
#include <vector>

#include "common/base/endpoint.h"
#include "common/base/time.h"
#include "common/messages/spread_messages.h"
#include "common/wire/message_sink.h"

namespace umberhold {

/** Fetches announced records; after a timeout it retries with the latest announcer. */
class RecordFetcher {
 public:
  RecordFetcher(Duration timeout, MessageSink& sink) : timeout_(timeout), sink_(sink) {}

  /** Processes an announcement of records that are newer than this node's. */
  void onAnnouncement(TimePoint now, const Endpoint& from, const std::vector<RecordVersion>& newer);
  /** Ends the fetch of a record that has arrived; @return whether it was being fetched. */
  bool onArrival(const RecordKey& key, uint64_t version);
  /** Repeats requests that have timed out, to the latest announcer. */
  void tick(TimePoint now);

 private:
  struct Fetch {
    uint64_t version = 0;
    TimePoint askedAt;
    int attempts = 1;
    /** The node that announced the record last. */
    Endpoint announcer;
  };

  Duration timeout_;
  MessageSink& sink_;
  std::map<RecordKey, Fetch> fetches_;
};

}  // namespace umberhold
