/** @file Interface through which a transport sends datagrams. */
#pragma once

#include <string_view>

#include "common/base/endpoint.h"

namespace umberhold {

/** Sends datagrams without reporting losses. */
class DatagramSender {
 public:
  virtual ~DatagramSender() = default;
  /** @param bytes valid only during the call. */
  virtual void send(const Endpoint& to, std::string_view bytes) = 0;
};

}  // namespace umberhold
