/** @file A TCP proxy in front of the platform, for partitioning a node or zone from it. */
#pragma once

#include <functional>
#include <memory>

#include "common/base/endpoint.h"

namespace umberhold::standins {

/** Forwards the bytes of each connection to the platform and back, on its own threads. */
class TcpFront {
 public:
  /**
   * @param listen endpoint at which the node reaches the platform; throws Poco::Exception if the
   * port is in use.
   * @param isCut called often and from several threads; while it returns true nothing is forwarded,
   * and connections hang as on a network that drops all packets.
   */
  TcpFront(const Endpoint& listen, const Endpoint& platform, std::function<bool()> isCut);
  ~TcpFront();
  TcpFront(const TcpFront&) = delete;
  TcpFront& operator=(const TcpFront&) = delete;

  Endpoint endpoint() const;

 private:
  struct Parts;
  std::unique_ptr<Parts> parts_;
};

}  // namespace umberhold::standins
