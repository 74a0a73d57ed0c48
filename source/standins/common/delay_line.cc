#include "standins/common/delay_line.h"

namespace umberhold::standins {

void DelayLine::send(uint32_t delayMicros, SocketIndex socket, const Endpoint& to,
                     std::string_view bytes) {
  if (delayMicros == 0) {
    loop_.send(socket, to, bytes);
    return;
  }
  const auto due = Clock::now() + std::chrono::microseconds(delayMicros);
  delayed_.push(DelayedDatagram{due, ++lastOrder_, socket, to, std::string(bytes)});
}

void DelayLine::deliverDue() {
  // Includes datagrams whose nearest tick is this one.
  const auto dueUntil = Clock::now() + kTickPeriod / 2;
  while (!delayed_.empty() && delayed_.top().due <= dueUntil) {
    const DelayedDatagram& datagram = delayed_.top();
    loop_.send(datagram.socket, datagram.to, datagram.bytes);
    delayed_.pop();
  }
}

}  // namespace umberhold::standins
