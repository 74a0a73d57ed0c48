/** @file Interface through which decision logic sends messages to other nodes. */
#pragma once

#include "common/base/endpoint.h"

namespace umberhold {

struct Message;

/** Purpose of a message; control traffic is counted and budgeted by class. */
enum class TrafficClass : unsigned char { kMembership, kSpread, kShard, kLoad, kAdmin, kCount };

/**
 * Accepts messages to send. The implementation encodes, authenticates and sends them as datagrams;
 * messages may be lost, duplicated or reordered, and a sender that needs an answer must retry.
 */
class MessageSink {
 public:
  virtual ~MessageSink() = default;
  /** @param to control endpoint of the receiver. @param message is moved into the sink. */
  virtual void send(const Endpoint& to, Message message) = 0;
};

}  // namespace umberhold
