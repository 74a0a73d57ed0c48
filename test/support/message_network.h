/** @file A simulated message network for tests: delay, loss, duplication, partitions and pauses. */
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <unordered_map>
#include <utility>
#include <vector>

#include "common/base/random.h"
#include "common/base/time.h"
#include "common/wire/message.h"
#include "common/wire/message_sink.h"

namespace umberhold {

/** Faults of the network; may be changed at any time. */
struct NetworkFaults {
  double loss = 0;
  /** Probability that a message is duplicated. */
  double repetition = 0;
  Duration shortestDelay = std::chrono::microseconds(1500);
  /** Delays are uniformly distributed between the two, so messages may be reordered. */
  Duration longestDelay = std::chrono::microseconds(1500);
  /** @return whether messages between the two nodes are dropped. */
  std::function<bool(NodeId from, NodeId to)> isCut;
};

/** Delivers messages between nodes in simulated time; reproducible from its seed. */
class MessageNetwork {
 public:
  using Receiver =
      std::function<void(TimePoint, const Endpoint& from, NodeId sender, const Message&)>;
  using SendListener = std::function<void(NodeId from, NodeId to, const Message&)>;

  explicit MessageNetwork(uint64_t seed) : random_(seed) {}

  NetworkFaults faults;
  /** Called for each message that a node sends, including lost ones. */
  SendListener onSend;

  /** Attaches a node and replaces an earlier one at the same endpoint. @return its sink. */
  MessageSink& attach(NodeId id, const Endpoint& endpoint, Receiver receiver) {
    auto port = std::make_unique<Port>(*this, id, endpoint, std::move(receiver));
    Port& attached = *port;
    replacedPorts_.push_back(std::exchange(ports_[endpoint], std::move(port)));
    return attached;
  }
  /** Detaches the node; messages to the endpoint are lost. */
  void detach(const Endpoint& endpoint) { ports_.at(endpoint)->receiver = nullptr; }
  /** While paused, messages to the endpoint are queued; the caller must not tick its node. */
  void setPaused(const Endpoint& endpoint, bool paused) {
    Port& port = *ports_.at(endpoint);
    port.paused = paused;
    for (auto& event : std::exchange(port.queuedEvents, {})) {
      events_.emplace(now_, std::move(event));
    }
  }

  TimePoint now() const { return now_; }
  /** Delivers the messages that are due until the instant and sets the clock to it. */
  void advanceTo(TimePoint instant) {
    while (!events_.empty() && events_.begin()->first <= instant) {
      auto event = events_.extract(events_.begin());
      now_ = std::max(now_, event.key());
      deliver(std::move(event.mapped()));
    }
    now_ = instant;
  }

 private:
  struct Event {
    Endpoint from;
    Endpoint to;
    NodeId sender;
    std::shared_ptr<const Message> message;
  };
  struct Port : MessageSink {
    Port(MessageNetwork& owner, NodeId node, const Endpoint& portEndpoint, Receiver portReceiver)
        : network(owner), id(node), endpoint(portEndpoint), receiver(std::move(portReceiver)) {}
    void send(const Endpoint& to, Message message) override {
      network.transmit(*this, to, std::move(message));
    }
    MessageNetwork& network;
    NodeId id;
    Endpoint endpoint;
    Receiver receiver;
    bool paused = false;
    std::vector<Event> queuedEvents;
  };

  void transmit(const Port& from, const Endpoint& to, Message message) {
    const auto port = ports_.find(to);
    const NodeId receiver = port == ports_.end() ? NodeId{} : port->second->id;
    if (onSend) {
      onSend(from.id, receiver, message);
    }
    const bool unreachable =
        port == ports_.end() || (faults.isCut && faults.isCut(from.id, receiver));
    if (unreachable || random_.unit() < faults.loss) {
      return;
    }
    const auto sharedMessage = std::make_shared<const Message>(std::move(message));
    const int copies = random_.unit() < faults.repetition ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
      const auto delayRange =
          static_cast<uint64_t>((faults.longestDelay - faults.shortestDelay).count());
      const Duration jitter(static_cast<Duration::rep>(random_.below(delayRange + 1)));
      events_.emplace(now_ + faults.shortestDelay + jitter,
                      Event{from.endpoint, to, from.id, sharedMessage});
    }
  }

  void deliver(Event event) {
    const auto port = ports_.find(event.to);
    if (port == ports_.end() || !port->second->receiver) {
      return;
    }
    if (port->second->paused) {
      port->second->queuedEvents.push_back(std::move(event));
      return;
    }
    // Copied because the receiver may attach a new node at its own endpoint.
    const Receiver receiver = port->second->receiver;
    receiver(now_, event.from, event.sender, *event.message);
  }

  RandomSource random_;
  TimePoint now_;
  std::multimap<TimePoint, Event> events_;
  std::unordered_map<Endpoint, std::unique_ptr<Port>> ports_;
  /** Kept, because nodes may still send through them. */
  std::vector<std::unique_ptr<Port>> replacedPorts_;
};

}  // namespace umberhold
