/** @file The control-plane components of one node, connected as in a process, for tests. */
#pragma once

#include <memory>
#include <type_traits>
#include <variant>
#include <vector>

#include "common/membership/failure_detector.h"
#include "common/spread/config_spread.h"
#include "common/spread/coverage.h"
#include "test/support/message_network.h"

namespace umberhold {

/** Whether Handler has a handle() overload for the message. */
template <class Handler, class Body>
concept Handles = requires(Handler& handler, const Body& body) {
  handler.handle(TimePoint{}, Endpoint{}, NodeId{}, body);
};

/** Failure detector, record store, configuration spread and coverage of one simulated process. */
struct ControlNode {
  ControlNode(const Member& self, uint64_t seed, MessageSink& sink,
              const SpreadOptions& options = {})
      : random(seed),
        detector(MembershipOptions{}, self, random, sink),
        spread(options, detector, store, random, sink),
        coverage(CoverageOptions{}, detector, spread.contacts(), random, sink) {}

  void tick(TimePoint now) {
    detector.tick(now);
    spread.tick(now);
    if (spread.caughtUp() && detector.selfMember().state == MemberState::kJoining) {
      detector.announceReady(now);
    }
    coverage.tick(now, spread.effectiveVersion());
  }
  void onMessage(TimePoint now, const Endpoint& from, NodeId sender, const Message& message) {
    std::visit(
        [&](const auto& body) {
          using Body = std::decay_t<decltype(body)>;
          if constexpr (Handles<FailureDetector, Body>) {
            detector.handle(now, from, sender, body);
          } else if constexpr (Handles<ConfigSpread, Body>) {
            spread.handle(now, from, sender, body);
          } else if constexpr (Handles<Coverage, Body>) {
            coverage.handle(now, from, sender, body);
          }
        },
        message.body);
  }

  RandomSource random;
  RecordStore store;
  FailureDetector detector;
  ConfigSpread spread;
  Coverage coverage;
};

}  // namespace umberhold
