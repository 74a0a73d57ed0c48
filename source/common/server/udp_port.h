/** @file A bound UDP socket that receives in batches and never blocks. */
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "common/base/endpoint.h"
#include "common/base/result.h"
#include "common/server/datagram_sender.h"

namespace umberhold {

/** Maximum number of datagrams per call of receive(). */
constexpr size_t kReceiveBatch = 32;
/** Maximum length of a received datagram, bytes: a jumbo frame. */
constexpr size_t kMaxReceivedBytes = 9216;

/** Why a port could not be opened. */
struct PortError {
  Endpoint endpoint;
  /** The system's error text, for humans. */
  std::string detail;
};

/** Counters of datagrams that could not be sent or received. */
struct UdpCounters {
  /** Datagrams not sent because the send buffer was full or the system returned an error. */
  uint64_t sendFailures = 0;
  /** Received datagrams longer than kMaxReceivedBytes. */
  uint64_t tooLong = 0;
};

/** One UDP socket. Not thread safe. */
class UdpPort : public DatagramSender {
 public:
  using Receiver = std::function<void(const Endpoint& from, std::string_view bytes)>;

  /** Binds the endpoint; port 0 binds a free port. */
  static Result<std::unique_ptr<UdpPort>, PortError> open(const Endpoint& local);
  ~UdpPort() override;
  UdpPort(const UdpPort&) = delete;
  UdpPort& operator=(const UdpPort&) = delete;

  /** @return the bound endpoint. */
  Endpoint local() const { return local_; }
  /** @return the descriptor, for poll(2). */
  int descriptor() const { return descriptor_; }
  /** Passes up to kReceiveBatch received datagrams to the receiver. @return their number. */
  size_t receive(const Receiver& receiver);
  /** Sends the datagram; a failure is only counted. */
  void send(const Endpoint& to, std::string_view bytes) override;
  const UdpCounters& counters() const { return counters_; }

 private:
  struct Socket;
  struct Buffers;
  explicit UdpPort(std::unique_ptr<Socket> socket);

  std::unique_ptr<Socket> socket_;
  std::unique_ptr<Buffers> buffers_;
  Endpoint local_;
  int descriptor_ = -1;
  UdpCounters counters_;
};

}  // namespace umberhold
