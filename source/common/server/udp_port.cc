/** @file UDP with POCO's socket and batched reception by recvmmsg. */
#include "common/server/udp_port.h"

#include <Poco/Net/DatagramSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <array>

namespace umberhold {
namespace {

/** Requested receive buffer, bytes; the system may grant less. It holds datagrams that arrive while
 * the loop pauses. */
constexpr int kReceiveBufferBytes = 4 << 20;
constexpr int kSendBufferBytes = 1 << 20;

sockaddr_in toSystem(const Endpoint& endpoint) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(endpoint.address);
  address.sin_port = htons(endpoint.port);
  return address;
}

Endpoint fromSystem(const sockaddr_in& address) {
  return Endpoint{ntohl(address.sin_addr.s_addr), ntohs(address.sin_port)};
}

}  // namespace

struct UdpPort::Socket {
  Poco::Net::DatagramSocket datagrams{Poco::Net::SocketAddress::IPv4};
};

/** Buffers for one batch. */
struct UdpPort::Buffers {
  std::array<std::array<char, kMaxReceivedBytes>, kReceiveBatch> bytes;
  std::array<sockaddr_in, kReceiveBatch> senders{};
  std::array<iovec, kReceiveBatch> vectors{};
  std::array<mmsghdr, kReceiveBatch> messages{};

  /** recvmmsg modifies the headers, so they are reset before each call. */
  void prepare() {
    for (size_t index = 0; index < kReceiveBatch; ++index) {
      vectors[index] = {bytes[index].data(), bytes[index].size()};
      messages[index] = {};
      messages[index].msg_hdr.msg_name = &senders[index];
      messages[index].msg_hdr.msg_namelen = sizeof(sockaddr_in);
      messages[index].msg_hdr.msg_iov = &vectors[index];
      messages[index].msg_hdr.msg_iovlen = 1;
    }
  }
};

UdpPort::UdpPort(std::unique_ptr<Socket> socket)
    : socket_(std::move(socket)), buffers_(new Buffers) {
  const auto address = socket_->datagrams.address();
  local_ = Endpoint{parseAddress(address.host().toString()).value_or(0), address.port()};
  descriptor_ = socket_->datagrams.impl()->sockfd();
}

UdpPort::~UdpPort() = default;

Result<std::unique_ptr<UdpPort>, PortError> UdpPort::open(const Endpoint& local) {
  try {
    auto socket = std::make_unique<Socket>();
    socket->datagrams.bind(Poco::Net::SocketAddress(addressToString(local.address), local.port));
    socket->datagrams.setReceiveBufferSize(kReceiveBufferBytes);
    socket->datagrams.setSendBufferSize(kSendBufferBytes);
    return std::unique_ptr<UdpPort>(new UdpPort(std::move(socket)));
  } catch (const Poco::Exception& exception) {
    return PortError{local, exception.displayText()};
  }
}

size_t UdpPort::receive(const Receiver& receiver) {
  buffers_->prepare();
  const int count =
      ::recvmmsg(descriptor_, buffers_->messages.data(), kReceiveBatch, MSG_DONTWAIT, nullptr);
  for (int index = 0; index < count; ++index) {
    const mmsghdr& message = buffers_->messages[index];
    if ((message.msg_hdr.msg_flags & MSG_TRUNC) != 0) {
      ++counters_.tooLong;
      continue;
    }
    receiver(fromSystem(buffers_->senders[index]),
             std::string_view(buffers_->bytes[index].data(), message.msg_len));
  }
  return count < 0 ? 0 : static_cast<size_t>(count);
}

void UdpPort::send(const Endpoint& to, std::string_view bytes) {
  const sockaddr_in address = toSystem(to);
  const ssize_t sent = ::sendto(descriptor_, bytes.data(), bytes.size(), MSG_DONTWAIT,
                                reinterpret_cast<const sockaddr*>(&address), sizeof address);
  if (sent < 0) {
    ++counters_.sendFailures;
  }
}

}  // namespace umberhold
