/** @file Announced records that this node is fetching, so that each is asked for once at a time. */
#pragma once

#include <map>
#include <vector>

#include "common/base/endpoint.h"
#include "common/base/time.h"
#include "common/messages/spread_messages.h"
#include "common/wire/message_sink.h"

namespace umberhold {

/** Fetches announced records, and turns to another announcer where no answer comes. */
class RecordFetcher {
 public:
  RecordFetcher(Duration timeout, MessageSink& sink) : timeout_(timeout), sink_(sink) {}

  /** Takes an announcement of records that are newer than this node's. */
  void onAnnouncement(TimePoint now, const Endpoint& from, const std::vector<RecordVersion>& newer);
  /** @return whether the record was being fetched; it no longer is. */
  bool onArrival(const RecordKey& key, uint64_t version);
  /** Asks again where an answer is overdue: another announcer where there was one. */
  void tick(TimePoint now);

 private:
  struct Fetch {
    uint64_t version = 0;
    TimePoint askedAt;
    int attempts = 1;
    /** The latest announcer. */
    Endpoint announcer;
  };

  Duration timeout_;
  MessageSink& sink_;
  std::map<RecordKey, Fetch> fetches_;
};

}  // namespace umberhold
