/** @file A caller of the platform: opens flows, sends and retries requests, checks answers. No I/O.
 */
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "common/base/random.h"
#include "test/soak/world/soak_host.h"

namespace umberhold::soak {

/** Kind and timing of the requests that a caller repeats. */
struct CallerProfile {
  Endpoint service;
  bool repeatable = true;
  /** Whether each request has its own flow; otherwise one flow carries many, with pauses. */
  bool flowPerRequest = false;
  uint32_t answerBytes = 2000;
  Duration pause = std::chrono::milliseconds(200);
  /** Age from which a flow takes no further request; well below the maximum lifetime of a flow. */
  Duration maxFlowAge = std::chrono::seconds(20);
  Duration deadline = std::chrono::seconds(3);
  uint32_t retries = 2;
};

/** Counters of the requests and their results. */
struct CallerCounts {
  uint64_t asked = 0;
  uint64_t served = 0;
  uint64_t failed = 0;
  uint64_t tries = 0;
  uint64_t openingsRefused = 0;
  uint64_t openingsUnanswered = 0;
  uint64_t systemResets = 0;
  /** Resets with a number outside the window of the open flow, such as for a repeated opening. */
  uint64_t strayResets = 0;
  uint64_t hostResets = 0;
  /** Tries that hosts rejected. */
  uint64_t rejected = 0;
};

/** Callbacks of a caller. All must be set. */
struct CallerHooks {
  std::function<void(const std::string& packet)> send;
  /** A reset that was not sent by a host ended a flow that was open since the given time. */
  std::function<void(const FlowName& flow, TimePoint openedAt)> openFlowReset;
  /** A packet with an invalid checksum, or an answer with an unexpected id or body, arrived. */
  std::function<void(const std::string& detail)> wrongAnswer;
  /** A try ended, and the caller can conclude that it has not run and will not run. */
  std::function<void(uint64_t request)> notRun;
  /** A request ended. @param at time of its start. */
  std::function<void(TimePoint at, bool served)> ended;
};

/** See the file comment. Not thread safe. */
class SoakCaller {
 public:
  /** @param address receives answers; unique per caller. @param number index of this caller. */
  SoakCaller(uint32_t address, uint32_t number, CallerProfile profile, CallerHooks hooks,
             RandomSource& random);

  void onDatagram(TimePoint now, std::string_view bytes);
  void tick(TimePoint now);
  /** Starts no further request until start(). */
  void stop() { stopping_ = true; }
  void start() { stopping_ = false; }
  const CallerCounts& counts() const { return counts_; }
  uint32_t address() const { return address_; }

 private:
  enum class Phase : uint8_t { kNone, kOpening, kOpen };
  struct PendingRequest {
    Request request;
    TimePoint startedAt;
    uint32_t tries = 0;
  };

  void begin(TimePoint now);
  void tryOnce(TimePoint now);
  void openFlow(TimePoint now);
  void sendOpening();
  void sendRequest(TimePoint now);
  void onOpeningAnswer(TimePoint now, const EchoPacket& packet);
  void onReset(TimePoint now, const EchoPacket& packet);
  void onSegment(TimePoint now, const EchoPacket& packet);
  void checkAnswer(TimePoint now, const Answer& answer);
  /** Handles a failed try. @param ran whether it may have run. */
  void failTry(TimePoint now, bool mayHaveRun);
  void endRequest(TimePoint now, bool served);
  void closeFlow(TimePoint now);
  void sendAll(const std::vector<std::string>& packets);
  FlowName flow() const { return {{address_, port_}, profile_.service}; }

  const uint32_t address_;
  const uint32_t number_;
  const CallerProfile profile_;
  CallerHooks hooks_;
  RandomSource& random_;
  CallerCounts counts_;
  bool stopping_ = false;
  uint16_t port_;
  uint64_t nextRequest_ = 0;
  TimePoint nextRequestAt_{};
  std::optional<PendingRequest> pending_;

  Phase phase_ = Phase::kNone;
  TimePoint openedAt_{};
  uint32_t firstSequence_ = 0;
  uint32_t openingsSent_ = 0;
  std::optional<StreamEnd> stream_;
  std::string received_;
};

}  // namespace umberhold::soak
