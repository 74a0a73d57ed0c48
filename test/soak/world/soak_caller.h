/** @file A user of the platform: opens flows, sends requests, tries again, checks answers. No I/O.
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

/** What a user asks for, again and again. */
struct CallerHabit {
  Endpoint service;
  bool repeatable = true;
  /** A flow for each request; otherwise one for many, with pauses. */
  bool freshFlows = false;
  uint32_t answerBytes = 2000;
  Duration pause = std::chrono::milliseconds(200);
  Duration deadline = std::chrono::seconds(3);
  uint32_t retries = 2;
};

/** How requests ended. */
struct CallerCounts {
  uint64_t asked = 0;
  uint64_t served = 0;
  uint64_t failed = 0;
  uint64_t tries = 0;
  uint64_t openingsRefused = 0;
  uint64_t openingsUnanswered = 0;
  uint64_t systemResets = 0;
  /** Resets whose number no flow that is open takes, as of an opening sent again. */
  uint64_t strayResets = 0;
  uint64_t hostResets = 0;
  /** Tries that hosts turned away. */
  uint64_t turnedAway = 0;
};

/** What a caller tells the world. Each must be set. */
struct CallerHooks {
  std::function<void(const std::string& packet)> send;
  /** A reset that no host wrote ended an open flow. */
  std::function<void(const FlowName& flow)> openFlowReset;
  /** Something came that is no whole answer to what was asked, or was written by nobody. */
  std::function<void(const std::string& detail)> wrongAnswer;
  /** A try ended of which the caller knows that it has not run, and will not. */
  std::function<void(uint64_t request)> notRun;
  /** A request ended. @param at when it began. */
  std::function<void(TimePoint at, bool served)> ended;
};

/** See the file comment. Not thread safe. */
class SoakCaller {
 public:
  /** @param address where answers come; each caller has its own. @param number of this caller. */
  SoakCaller(uint32_t address, uint32_t number, CallerHabit habit, CallerHooks hooks,
             RandomSource& random);

  void onDatagram(TimePoint now, std::string_view bytes);
  void tick(TimePoint now);
  /** No further request begins, until start(). */
  void stop() { stopping_ = true; }
  void start() { stopping_ = false; }
  const CallerCounts& counts() const { return counts_; }
  uint32_t address() const { return address_; }

 private:
  enum class Phase : uint8_t { kNone, kOpening, kOpen };
  struct Wanted {
    Request request;
    TimePoint begunAt;
    uint32_t tries = 0;
  };

  void begin(TimePoint now);
  void tryOnce(TimePoint now);
  void openFlow(TimePoint now);
  void sendOpening();
  void sendRequest(TimePoint now);
  void onOpened(TimePoint now, const EchoPacket& packet);
  void onReset(TimePoint now, const EchoPacket& packet);
  void onOpen(TimePoint now, const EchoPacket& packet);
  void checkAnswer(TimePoint now, const Answer& answer);
  /** The try failed. @param ran whether it may have run. */
  void failTry(TimePoint now, bool ran);
  void endRequest(TimePoint now, bool served);
  void closeFlow(TimePoint now);
  void sendAll(const std::vector<std::string>& packets);
  FlowName flow() const { return {{address_, port_}, habit_.service}; }

  const uint32_t address_;
  const uint32_t number_;
  const CallerHabit habit_;
  CallerHooks hooks_;
  RandomSource& random_;
  CallerCounts counts_;
  bool stopping_ = false;
  uint16_t port_;
  uint64_t nextRequest_ = 0;
  TimePoint nextAt_{};
  std::optional<Wanted> wanted_;

  Phase phase_ = Phase::kNone;
  TimePoint openedAt_{};
  uint32_t firstSequence_ = 0;
  uint32_t openings_ = 0;
  std::optional<StreamEnd> stream_;
  std::string text_;
};

}  // namespace umberhold::soak
