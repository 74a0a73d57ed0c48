/**
 * @file Stand-ins for the cases of the second review: the platform's store, a link that can be cut,
 * hosts, clients, the router's readiness question, and edge node processes.
 *
 * Everything is on loopback and on the real clock. The store, the hosts and the clients speak what
 * PROTOCOL.md says, written from that page and not from the product's code.
 */
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace review {

/** The case could not run, which is neither a pass nor a failure. */
constexpr int kCouldNotRun = 2;

inline double nowSeconds() {
  static const auto start = std::chrono::steady_clock::now();
  return std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
}

inline void sleepFor(double seconds) {
  std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

/** The record of what was sent, answered and run. */
class Record {
 public:
  static Record& get() {
    static Record record;
    return record;
  }
  void open(const char* path) { file_ = std::fopen(path, "w"); }
  void line(const char* format, ...) __attribute__((format(printf, 2, 3))) {
    const std::lock_guard lock(mutex_);
    if (file_ == nullptr) {
      return;
    }
    std::fprintf(file_, "%8.3f ", nowSeconds());
    va_list arguments;
    va_start(arguments, format);
    std::vfprintf(file_, format, arguments);
    va_end(arguments);
    std::fputc('\n', file_);
    std::fflush(file_);
  }

 private:
  std::mutex mutex_;
  FILE* file_ = nullptr;
};

#define NOTE(...) review::Record::get().line(__VA_ARGS__)

[[noreturn]] inline void couldNotRun(const char* why) {
  NOTE("could not run: %s", why);
  std::fprintf(stderr, "could not run: %s\n", why);
  std::_Exit(kCouldNotRun);
}

inline sockaddr_in endpoint(const std::string& address, uint16_t port) {
  sockaddr_in result{};
  result.sin_family = AF_INET;
  result.sin_port = htons(port);
  inet_pton(AF_INET, address.c_str(), &result.sin_addr);
  return result;
}

inline uint32_t numberOf(const std::string& address) {
  return ntohl(endpoint(address, 0).sin_addr.s_addr);
}

inline int listenOn(const std::string& address, uint16_t port) {
  const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int enabled = 1;
  ::setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled);
  const sockaddr_in at = endpoint(address, port);
  if (::bind(descriptor, reinterpret_cast<const sockaddr*>(&at), sizeof at) != 0 ||
      ::listen(descriptor, 256) != 0) {
    couldNotRun("a port could not be opened");
  }
  return descriptor;
}

inline int connectTo(const std::string& address, uint16_t port) {
  const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in at = endpoint(address, port);
  if (::connect(descriptor, reinterpret_cast<const sockaddr*>(&at), sizeof at) != 0) {
    ::close(descriptor);
    return -1;
  }
  const int enabled = 1;
  ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
  return descriptor;
}

inline int openUdp(const std::string& address, uint16_t port) {
  const int descriptor = ::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  const int bytes = 4 << 20;
  ::setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof bytes);
  const sockaddr_in at = endpoint(address, port);
  if (::bind(descriptor, reinterpret_cast<const sockaddr*>(&at), sizeof at) != 0) {
    couldNotRun("a datagram port could not be opened");
  }
  return descriptor;
}

/** @return a port that is free for TCP and UDP on all given addresses. */
inline uint16_t freePort(const std::vector<std::string>& addresses) {
  for (uint16_t port = static_cast<uint16_t>(20000 + ::getpid() % 8000); port < 32000; ++port) {
    bool isFree = true;
    for (const std::string& address : addresses) {
      for (const int type : {SOCK_STREAM, SOCK_DGRAM}) {
        const int descriptor = ::socket(AF_INET, type, 0);
        const sockaddr_in at = endpoint(address, port);
        isFree = isFree && ::bind(descriptor, reinterpret_cast<const sockaddr*>(&at), sizeof at) == 0;
        ::close(descriptor);
      }
    }
    static std::set<uint16_t> given;
    if (isFree && given.insert(port).second) {
      return port;
    }
  }
  couldNotRun("no free port");
}

// ---------------------------------------------------------------------------------------------
// The platform's store.

/** Objects by kind and name, with one counter of revisions, lists and watches. */
class Store {
 public:
  explicit Store(const std::string& address) : address_(address) {
    listener_ = listenOn(address, 0);
    sockaddr_in at{};
    socklen_t length = sizeof at;
    ::getsockname(listener_, reinterpret_cast<sockaddr*>(&at), &length);
    port_ = ntohs(at.sin_port);
    std::thread([this] { accept(); }).detach();
  }
  uint16_t port() const { return port_; }
  const std::string& address() const { return address_; }

  /** Makes or replaces an object. @return the revision, which is the acknowledgement. */
  uint64_t put(const std::string& kind, const std::string& name, const std::string& spec) {
    const std::lock_guard lock(mutex_);
    Object& object = objects_[kind][name];
    const bool isNew = object.revision == 0;
    if (!isNew && object.spec == spec) {
      return object.revision;  // A change of nothing raises no revision.
    }
    object.name = name;
    object.spec = spec;
    object.revision = ++revision_;
    object.made = isNew ? object.revision : object.made;
    history_.push_back({kind, object, false, revision_});
    changed_.notify_all();
    return object.revision;
  }
  void remove(const std::string& kind, const std::string& name) {
    const std::lock_guard lock(mutex_);
    const auto found = objects_[kind].find(name);
    if (found == objects_[kind].end()) {
      return;
    }
    Object object = found->second;
    objects_[kind].erase(found);
    object.revision = ++revision_;
    history_.push_back({kind, object, true, revision_});
    changed_.notify_all();
  }

 private:
  struct Object {
    std::string name;
    std::string spec;
    uint64_t revision = 0;
    uint64_t made = 0;
  };
  struct Event {
    std::string kind;
    Object object;
    bool gone = false;
    uint64_t at = 0;
  };

  static std::string json(const Object& object) {
    return "{\"meta\":{\"name\":\"" + object.name +
           "\",\"revision\":" + std::to_string(object.revision) +
           ",\"made\":" + std::to_string(object.made) +
           ",\"finalizers\":[],\"deleting\":false},\"spec\":" + object.spec + ",\"status\":{}}";
  }

  void accept() {
    while (true) {
      const int descriptor = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
      if (descriptor < 0) {
        return;
      }
      const int enabled = 1;
      ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
      std::thread([this, descriptor] { serve(descriptor); }).detach();
    }
  }

  void serve(int descriptor) {
    std::string in;
    char buffer[65536];
    while (true) {
      size_t end = in.find("\r\n\r\n");
      while (end == std::string::npos) {
        const ssize_t count = ::recv(descriptor, buffer, sizeof buffer, 0);
        if (count <= 0) {
          ::close(descriptor);
          return;
        }
        in.append(buffer, static_cast<size_t>(count));
        end = in.find("\r\n\r\n");
      }
      const std::string head = in.substr(0, end);
      size_t length = 0;
      const size_t field = head.find("Content-Length:");
      if (field != std::string::npos) {
        length = static_cast<size_t>(std::atol(head.c_str() + field + 15));
      }
      while (in.size() < end + 4 + length) {
        const ssize_t count = ::recv(descriptor, buffer, sizeof buffer, 0);
        if (count <= 0) {
          ::close(descriptor);
          return;
        }
        in.append(buffer, static_cast<size_t>(count));
      }
      const std::string body = in.substr(end + 4, length);
      in.erase(0, end + 4 + length);
      const size_t space = head.find(' ');
      const std::string method = head.substr(0, space);
      const std::string target = head.substr(space + 1, head.find(' ', space + 1) - space - 1);
      const auto [status, text] = answer(method, target, body);
      const std::string out = "HTTP/1.1 " + status +
                              "\r\nContent-Type: application/json\r\nContent-Length: " +
                              std::to_string(text.size()) + "\r\n\r\n" + text;
      if (::send(descriptor, out.data(), out.size(), MSG_NOSIGNAL) < 0) {
        ::close(descriptor);
        return;
      }
    }
  }

  static std::string parameter(const std::string& query, const std::string& key) {
    size_t at = ("&" + query).find("&" + key + "=");
    if (at == std::string::npos) {
      return "";
    }
    at += key.size() + 1;
    return query.substr(at, query.find('&', at) - at);
  }

  std::pair<std::string, std::string> answer(const std::string& method, const std::string& target,
                                             const std::string& body) {
    sleepFor(0.004);
    const std::string prefix = "/api/objects/";
    if (target.rfind(prefix, 0) != 0) {
      return {"404 Not Found", "{}"};
    }
    const size_t question = target.find('?');
    const std::string path = target.substr(prefix.size(), question - prefix.size());
    const std::string query = question == std::string::npos ? "" : target.substr(question + 1);
    const size_t slash = path.find('/');
    const std::string kind = path.substr(0, slash);
    const std::string name = slash == std::string::npos ? "" : path.substr(slash + 1);
    if (method == "POST" || method == "PUT") {
      return write(method, kind, name, body);
    }
    if (!name.empty()) {
      const std::lock_guard lock(mutex_);
      const auto found = objects_[kind].find(name);
      return found == objects_[kind].end()
                 ? std::pair<std::string, std::string>{"404 Not Found", "{}"}
                 : std::pair<std::string, std::string>{"200 OK", json(found->second)};
    }
    const std::string since = parameter(query, "watch");
    return since.empty() ? list(kind)
                         : watch(kind, std::strtoull(since.c_str(), nullptr, 10),
                                 std::atof(parameter(query, "wait_ms").c_str()) / 1000.0);
  }

  std::pair<std::string, std::string> write(const std::string& method, const std::string& kind,
                                            std::string name, const std::string& body) {
    const size_t spec = body.find("\"spec\":");
    if (spec == std::string::npos) {
      return {"400 Bad Request", "{}"};
    }
    if (name.empty()) {
      const size_t at = body.find("\"name\":\"");
      name = body.substr(at + 8, body.find('"', at + 8) - at - 8);
    }
    // The object's specification is one flat object here: it ends at its first closing brace.
    const std::string text = body.substr(spec + 7, body.find('}', spec) - spec - 6);
    {
      const std::lock_guard lock(mutex_);
      const auto found = objects_[kind].find(name);
      if (method == "POST" && found != objects_[kind].end()) {
        return {"409 Conflict", json(found->second)};
      }
      if (method == "PUT" && found == objects_[kind].end()) {
        return {"404 Not Found", "{}"};
      }
    }
    put(kind, name, text);
    const std::lock_guard lock(mutex_);
    return {"200 OK", json(objects_[kind][name])};
  }

  std::pair<std::string, std::string> list(const std::string& kind) {
    const std::lock_guard lock(mutex_);
    std::string items;
    for (const auto& [name, object] : objects_[kind]) {
      items += (items.empty() ? "" : ",") + json(object);
    }
    return {"200 OK", "{\"items\":[" + items + "],\"more\":false,\"at\":" +
                          std::to_string(revision_) + "}"};
  }

  std::pair<std::string, std::string> watch(const std::string& kind, uint64_t since, double wait) {
    std::unique_lock lock(mutex_);
    const auto until = std::chrono::steady_clock::now() + std::chrono::duration<double>(wait);
    while (true) {
      std::string events;
      for (const Event& event : history_) {
        if (event.kind == kind && event.at > since) {
          events += (events.empty() ? "" : ",") + std::string("{\"gone\":") +
                    (event.gone ? "true" : "false") + ",\"object\":" + json(event.object) + "}";
        }
      }
      if (!events.empty() || std::chrono::steady_clock::now() >= until) {
        return {"200 OK",
                "{\"events\":[" + events + "],\"at\":" + std::to_string(revision_) + "}"};
      }
      changed_.wait_until(
          lock, std::chrono::time_point_cast<std::chrono::steady_clock::duration>(until));
    }
  }

  std::string address_;
  int listener_ = -1;
  uint16_t port_ = 0;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, std::map<std::string, Object>> objects_;
  std::deque<Event> history_;
  uint64_t revision_ = 100;
};

/** An entry of a host as hosts write it. */
inline std::string hostEntry(const std::string& service, const std::string& address,
                             const std::string& zone, const std::string& state) {
  return "{\"service\":\"" + service + "\",\"address\":\"" + address + "\",\"zone\":\"" + zone +
         "\",\"version\":\"1.0\",\"slots\":2,\"state\":\"" + state +
         "\",\"cold_remaining_ms\":0,\"sequence\":1}";
}

/** One route of a configuration. */
struct RouteText {
  std::string name;
  std::string host;
  uint16_t port = 0;
  std::string service;
  std::string kind = "unsafe";
};

inline std::string configurationText(uint64_t version, const std::vector<RouteText>& routes,
                                     const std::string& service) {
  std::string list;
  for (const RouteText& route : routes) {
    list += (list.empty() ? "" : ",") + std::string("{\"name\":\"") + route.name +
            "\",\"host\":\"" + route.host + "\",\"path_prefix\":\"/" + std::to_string(route.port) +
            "/\",\"service\":\"" + route.service + "\",\"kind\":\"" + route.kind +
            "\",\"timeout_ms\":2500,\"target_latency_ms\":150,\"max_attempts\":1,\"priority\":1}";
  }
  return "{\"version\":" + std::to_string(version) + ",\"routes\":[" + list +
         "],\"services\":[{\"name\":\"" + service +
         "\",\"health_path\":\"/health\",\"max_connections\":2000}],"
         "\"limits\":{\"idle_timeout_ms\":12000}}";
}

// ---------------------------------------------------------------------------------------------
// A link between one node and the store that can be cut.

/**
 * Passes TCP connections on to the store. While it is cut it says nothing: bytes of connections
 * that were open are held and pass on once the link heals; a connection that begins during the cut
 * never says anything, because its opening packet would be sent again only after seconds.
 */
class Link {
 public:
  Link(const std::string& address, const Store& store) : store_(store) {
    listener_ = listenOn(address, 0);
    sockaddr_in at{};
    socklen_t length = sizeof at;
    ::getsockname(listener_, reinterpret_cast<sockaddr*>(&at), &length);
    port_ = ntohs(at.sin_port);
    std::thread([this] { accept(); }).detach();
  }
  uint16_t port() const { return port_; }
  void setCut(bool cut) { cut_ = cut; }

 private:
  void accept() {
    while (true) {
      const int near = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
      if (near < 0) {
        return;
      }
      const int enabled = 1;
      ::setsockopt(near, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
      const bool isDead = cut_;
      std::thread([this, near, isDead] { pass(near, isDead); }).detach();
    }
  }

  void pass(int near, bool isDead) {
    if (isDead) {
      char buffer[4096];
      while (::recv(near, buffer, sizeof buffer, 0) > 0) {
      }
      ::close(near);
      return;
    }
    const int far = connectTo(store_.address(), store_.port());
    if (far < 0) {
      ::close(near);
      return;
    }
    char buffer[65536];
    pollfd both[2] = {{near, POLLIN, 0}, {far, POLLIN, 0}};
    bool ended = false;
    while (!ended) {
      ::poll(both, 2, 50);
      for (int side = 0; side < 2 && !ended; ++side) {
        if (both[side].revents == 0) {
          continue;
        }
        while (cut_) {
          sleepFor(0.002);
        }
        const ssize_t count = ::recv(both[side].fd, buffer, sizeof buffer, MSG_DONTWAIT);
        if (count < 0 && (errno == EAGAIN || errno == EINTR)) {
          continue;
        }
        ended = count <= 0 || ::send(both[1 - side].fd, buffer, static_cast<size_t>(count),
                                     MSG_NOSIGNAL) < 0;
      }
    }
    ::close(near);
    ::close(far);
  }

  const Store& store_;
  int listener_ = -1;
  uint16_t port_ = 0;
  std::atomic<bool> cut_{false};
};

// ---------------------------------------------------------------------------------------------
// Packets.

constexpr uint8_t kSyn = 128;
constexpr uint8_t kAck = 2;
constexpr uint8_t kFin = 64;
constexpr uint8_t kRst = 4;
constexpr size_t kHead = 31;

struct Packet {
  uint32_t sum = 0;
  uint8_t flags = 0;
  uint32_t echo = 0;
  uint32_t seq = 0;
  uint32_t ack = 0;
  uint16_t sport = 0;
  uint16_t dport = 0;
  uint32_t src = 0;
  uint32_t dst = 0;
  std::string data;
};

template <class Integer>
void putNumber(std::string& bytes, Integer value) {
  for (int shift = static_cast<int>(sizeof(Integer)) * 8 - 8; shift >= 0; shift -= 8) {
    bytes.push_back(static_cast<char>((uint64_t{value} >> shift) & 0xFF));
  }
}

template <class Integer>
Integer takeNumber(const std::string& bytes, size_t& at) {
  uint64_t value = 0;
  for (size_t index = 0; index < sizeof(Integer); ++index) {
    value = (value << 8) | static_cast<uint8_t>(bytes[at++]);
  }
  return static_cast<Integer>(value);
}

inline std::string encode(const Packet& packet) {
  std::string bytes;
  putNumber(bytes, packet.sum);
  putNumber(bytes, packet.flags);
  putNumber(bytes, packet.echo);
  putNumber(bytes, packet.seq);
  putNumber(bytes, packet.ack);
  putNumber(bytes, packet.sport);
  putNumber(bytes, packet.dport);
  putNumber(bytes, packet.src);
  putNumber(bytes, packet.dst);
  putNumber(bytes, static_cast<uint16_t>(packet.data.size()));
  return bytes + packet.data;
}

/** The keyed sum over everything but `echo`; only clients and hosts know it. */
inline uint32_t sumOf(Packet packet) {
  packet.sum = 0;
  packet.echo = 0;
  uint32_t sum = 0x9E3779B9U;
  for (const char each : encode(packet)) {
    sum = (sum ^ static_cast<uint8_t>(each)) * 16777619U;
  }
  return sum == 0 ? 1 : sum;
}

inline std::string sealed(Packet packet) {
  packet.sum = sumOf(packet);
  return encode(packet);
}

inline bool decode(const std::string& bytes, Packet& packet) {
  if (bytes.size() < kHead) {
    return false;
  }
  size_t at = 0;
  packet.sum = takeNumber<uint32_t>(bytes, at);
  packet.flags = takeNumber<uint8_t>(bytes, at);
  packet.echo = takeNumber<uint32_t>(bytes, at);
  packet.seq = takeNumber<uint32_t>(bytes, at);
  packet.ack = takeNumber<uint32_t>(bytes, at);
  packet.sport = takeNumber<uint16_t>(bytes, at);
  packet.dport = takeNumber<uint16_t>(bytes, at);
  packet.src = takeNumber<uint32_t>(bytes, at);
  packet.dst = takeNumber<uint32_t>(bytes, at);
  const auto length = takeNumber<uint16_t>(bytes, at);
  packet.data = bytes.substr(at);
  return packet.data.size() == length;
}

inline void sendTo(int descriptor, const std::string& address, uint16_t port,
                   const std::string& bytes) {
  const sockaddr_in at = endpoint(address, port);
  ::sendto(descriptor, bytes.data(), bytes.size(), 0, reinterpret_cast<const sockaddr*>(&at),
           sizeof at);
}

// ---------------------------------------------------------------------------------------------
// Hosts and clients; one thread, which calls tick() of the world.

/** What a host took or ran. */
struct Taken {
  std::string host;
  /** Address of the node that sent the packet. */
  std::string node;
  uint32_t client = 0;
  uint16_t port = 0;
  double at = 0;
};

class Host {
 public:
  /** @param id hex digits that stand after the dash of the host's name. */
  Host(const std::string& name, uint64_t id, const std::string& service, const std::string& address,
       uint16_t port, uint16_t clientPort)
      : name_(name), service_(service), address_(address), id_(id), port_(port),
        clientPort_(clientPort), descriptor_(openUdp(address, port)) {}
  ~Host() { ::close(descriptor_); }
  const std::string& name() const { return name_; }
  std::string endpointText() const { return address_ + ":" + std::to_string(port_); }
  int descriptor() const { return descriptor_; }
  bool isLive() const { return live_; }
  /** The process ends: it forgets its flows and says nothing more. */
  void end() {
    live_ = false;
    flows_.clear();
  }
  bool holds(uint32_t client, uint16_t port) const {
    const auto found = flows_.find({client, port});
    return found != flows_.end() && found->second.open;
  }

  void receive(const std::function<void(const Taken&)>& onOpening,
               const std::function<void(const Taken&, const std::string&)>& onRun) {
    char buffer[2048];
    sockaddr_in from{};
    while (true) {
      socklen_t length = sizeof from;
      const ssize_t count = ::recvfrom(descriptor_, buffer, sizeof buffer, MSG_DONTWAIT,
                                       reinterpret_cast<sockaddr*>(&from), &length);
      if (count < 0) {
        return;
      }
      Packet packet;
      size_t at = 0;
      const std::string bytes(buffer, static_cast<size_t>(count));
      if (!live_ || bytes.size() < 8) {
        continue;
      }
      const auto meant = takeNumber<uint64_t>(bytes, at);
      if ((meant != 0 && meant != id_) || !decode(bytes.substr(8), packet) ||
          packet.sum != sumOf(packet)) {
        continue;
      }
      char node[32];
      ::inet_ntop(AF_INET, &from.sin_addr, node, sizeof node);
      onPacket(packet, {name_, node, packet.src, packet.sport, nowSeconds()}, onOpening, onRun);
    }
  }

 private:
  struct Flow {
    uint32_t seq = 0;
    uint32_t expected = 0;
    bool open = false;
  };

  void onPacket(const Packet& packet, const Taken& taken,
                const std::function<void(const Taken&)>& onOpening,
                const std::function<void(const Taken&, const std::string&)>& onRun) {
    Packet answer;
    answer.echo = packet.echo;
    answer.src = packet.dst;
    answer.sport = packet.dport;
    answer.dst = packet.src;
    answer.dport = packet.sport;
    const auto key = std::pair(packet.src, packet.sport);
    if ((packet.flags & kSyn) != 0) {
      onOpening(taken);
      const auto [found, isNew] = flows_.try_emplace(key);
      if (isNew) {
        found->second.seq = static_cast<uint32_t>(std::rand()) * 7919U;
        found->second.expected = packet.seq + 1;
      }
      answer.flags = kSyn | kAck;
      answer.seq = found->second.seq;
      answer.ack = packet.seq + 1;
      send(answer);
      return;
    }
    const auto found = flows_.find(key);
    if (found == flows_.end()) {
      if ((packet.flags & kRst) != 0) {
        return;
      }
      answer.flags = (packet.flags & kFin) != 0 ? kAck : kRst;
      answer.seq = packet.ack;
      answer.ack = packet.seq + 1;
      send(answer);
      return;
    }
    Flow& flow = found->second;
    if ((packet.flags & kRst) != 0) {
      flows_.erase(found);
      return;
    }
    if (!flow.open && packet.ack != flow.seq + 1) {
      return;
    }
    if (!flow.open) {
      flow.open = true;
      flow.seq += 1;
    }
    answer.flags = kAck;
    if (!packet.data.empty() && packet.seq == flow.expected) {
      flow.expected += static_cast<uint32_t>(packet.data.size());
      onRun(taken, packet.data);
      answer.data = "HTTP/1.1 200 OK\r\nUmberhold-Response-Signature: " + name_ +
                    "\r\nContent-Length: 2\r\n\r\nok";
    }
    answer.seq = flow.seq;
    answer.ack = flow.expected;
    flow.seq += static_cast<uint32_t>(answer.data.size());
    if ((packet.flags & kFin) != 0) {
      answer.flags = kAck | kFin;
      answer.ack = flow.expected + 1;
      flows_.erase(found);
    }
    send(answer);
  }

  void send(const Packet& packet) {
    in_addr client{};
    client.s_addr = htonl(packet.dst);
    char text[32];
    ::inet_ntop(AF_INET, &client, text, sizeof text);
    sendTo(descriptor_, text, clientPort_, sealed(packet));
  }

  std::string name_;
  std::string service_;
  std::string address_;
  uint64_t id_ = 0;
  uint16_t port_ = 0;
  uint16_t clientPort_ = 0;
  int descriptor_ = -1;
  bool live_ = true;
  std::map<std::pair<uint32_t, uint16_t>, Flow> flows_;
};

/** How a flow of a client ended or stands. */
enum class Phase { kOpening, kOpen, kServed, kReset, kFailed };

/** One flow of a client. The caller sets `node` when the router would pick another node. */
struct Flow {
  uint16_t port = 0;
  std::string node;
  uint32_t dst = 0;
  uint16_t dport = 0;
  Phase phase = Phase::kOpening;
  double openedAt = 0;
  /** When the client first sent the opening packet. */
  double sentAt = 0;
  int copies = 0;
  uint32_t seq = 0;
  uint32_t ack = 0;
  uint32_t echo = 0;
  /** Data sent and not acknowledged yet. */
  std::string unacknowledged;
  double lastSentAt = 0;
  double resendAfter = 0.2;
  int answers = 0;
  /** Id of the last request. */
  std::string requestId;
  /** A reset without a sum, so one that the system sent. */
  bool bySystem = false;
  double resetAt = 0;
  /** Address that sent the reset. */
  std::string resetBy;
  bool keep = false;
  int group = 0;
};

/** All flows of one client address. */
class Client {
 public:
  Client(const std::string& address, uint16_t systemPort)
      : address_(address), systemPort_(systemPort), descriptor_(openUdp(address, systemPort)) {}
  int descriptor() const { return descriptor_; }
  uint32_t number() const { return numberOf(address_); }

  Flow& open(const std::string& node, const std::string& route, uint16_t routePort, bool keep,
             int group = 0) {
    Flow flow;
    flow.port = nextPort_++;
    flow.node = node;
    flow.dst = numberOf(route);
    flow.dport = routePort;
    flow.sentAt = nowSeconds();
    flow.seq = static_cast<uint32_t>(std::rand()) * 104729U;
    flow.keep = keep;
    flow.group = group;
    Flow& kept = flows_[flow.port] = flow;
    sendOpening(kept);
    return kept;
  }
  /** Sends a request on an open flow. */
  void request(Flow& flow) {
    flow.requestId = std::to_string(flow.port) + "-" + std::to_string(++requests_);
    flow.unacknowledged = "POST /r HTTP/1.1\r\nUmberhold-Request-Id: " + flow.requestId +
                          "\r\nContent-Length: 0\r\n\r\n";
    flow.resendAfter = 0.2;
    sendData(flow);
  }
  std::map<uint16_t, Flow>& flows() { return flows_; }
  /** Picks the node for each packet, as the platform's routers do; else a flow keeps its node. */
  void setRouter(std::function<std::string(const Flow&)> router) { router_ = std::move(router); }
  /** Ends an open flow from the client's side. */
  void finish(Flow& flow) {
    flow.phase = Phase::kServed;
    sendPacket(flow, kAck | kFin, "");
  }

  void receive() {
    char buffer[2048];
    sockaddr_in from{};
    while (true) {
      socklen_t length = sizeof from;
      const ssize_t count = ::recvfrom(descriptor_, buffer, sizeof buffer, MSG_DONTWAIT,
                                       reinterpret_cast<sockaddr*>(&from), &length);
      if (count < 0) {
        return;
      }
      Packet packet;
      if (!decode(std::string(buffer, static_cast<size_t>(count)), packet)) {
        continue;
      }
      const bool bySystem = packet.sum == 0 && packet.flags == kRst && packet.data.empty();
      const auto found = flows_.find(packet.dport);
      if (found == flows_.end() || (!bySystem && packet.sum != sumOf(packet))) {
        continue;
      }
      char sender[32];
      ::inet_ntop(AF_INET, &from.sin_addr, sender, sizeof sender);
      onPacket(found->second, packet, bySystem, sender);
    }
  }

  void tick() {
    const double now = nowSeconds();
    for (auto& [port, flow] : flows_) {
      if (flow.phase == Phase::kOpening) {
        if (now - flow.sentAt > 1.4) {
          flow.phase = Phase::kFailed;
        } else if ((flow.copies == 1 && now - flow.sentAt > 0.2) ||
                   (flow.copies == 2 && now - flow.sentAt > 0.6)) {
          sendOpening(flow);
        }
      } else if (flow.phase == Phase::kOpen && !flow.unacknowledged.empty() &&
                 now - flow.lastSentAt > flow.resendAfter) {
        flow.resendAfter = std::min(1.6, flow.resendAfter * 2);
        sendData(flow);
      }
    }
  }

 private:
  void onPacket(Flow& flow, const Packet& packet, bool bySystem, const char* sender) {
    if (flow.phase != Phase::kOpening && flow.phase != Phase::kOpen) {
      return;
    }
    if ((packet.flags & kRst) != 0) {
      const uint32_t offset = packet.seq - flow.ack;
      if (bySystem && flow.phase == Phase::kOpen && offset > 76800 && -offset > 76800) {
        return;
      }
      flow.bySystem = bySystem;
      flow.resetAt = nowSeconds();
      flow.resetBy = sender;
      flow.phase = flow.phase == Phase::kOpen ? Phase::kReset : Phase::kFailed;
      return;
    }
    if (flow.phase == Phase::kOpening) {
      if ((packet.flags & kSyn) == 0 || packet.ack != flow.seq + 1) {
        return;
      }
      flow.phase = Phase::kOpen;
      flow.openedAt = nowSeconds();
      flow.seq += 1;
      flow.ack = packet.seq + 1;
      flow.echo = packet.echo;
      request(flow);
      return;
    }
    if ((packet.flags & kSyn) != 0) {
      return;
    }
    flow.echo = packet.echo;
    if (!flow.unacknowledged.empty() &&
        packet.ack == flow.seq + static_cast<uint32_t>(flow.unacknowledged.size())) {
      flow.seq = packet.ack;
      flow.unacknowledged.clear();
    }
    if (packet.data.empty() || packet.seq != flow.ack) {
      return;
    }
    flow.ack += static_cast<uint32_t>(packet.data.size());
    ++flow.answers;
    if (!flow.keep) {
      flow.phase = Phase::kServed;
      sendPacket(flow, kAck | kFin, "");
    } else {
      sendPacket(flow, kAck, "");
    }
  }
  void sendOpening(Flow& flow) {
    Packet packet = packetOf(flow, kSyn);
    packet.ack = static_cast<uint32_t>(flow.copies++);
    packet.echo = 0;
    send(flow, packet);
  }
  void sendData(Flow& flow) {
    flow.lastSentAt = nowSeconds();
    sendPacket(flow, kAck, flow.unacknowledged);
  }
  void sendPacket(Flow& flow, uint8_t flags, const std::string& data) {
    Packet packet = packetOf(flow, flags);
    packet.data = data;
    send(flow, packet);
  }
  void send(Flow& flow, const Packet& packet) {
    if (router_) {
      flow.node = router_(flow);
    }
    sendTo(descriptor_, flow.node, systemPort_, sealed(packet));
  }
  Packet packetOf(const Flow& flow, uint8_t flags) const {
    Packet packet;
    packet.flags = flags;
    packet.echo = flow.echo;
    packet.seq = flow.seq;
    packet.ack = flow.ack;
    packet.src = number();
    packet.sport = flow.port;
    packet.dst = flow.dst;
    packet.dport = flow.dport;
    return packet;
  }

  std::string address_;
  uint16_t systemPort_ = 0;
  int descriptor_ = -1;
  uint16_t nextPort_ = 10000;
  uint64_t requests_ = 0;
  std::function<std::string(const Flow&)> router_;
  std::map<uint16_t, Flow> flows_;
};

// ---------------------------------------------------------------------------------------------
// Edge nodes.

struct NodePlan {
  std::string name;
  std::string zone;
  std::string address;
  uint16_t dataPort = 0;
  uint16_t readyPort = 0;
  uint16_t controlPort = 0;
  uint16_t metricsPort = 0;
  std::string storeAddress;
  uint16_t storePort = 0;
  std::vector<std::string> seeds;
};

class Node {
 public:
  Node(NodePlan plan, std::string program, std::string folder)
      : plan_(std::move(plan)), program_(std::move(program)), folder_(std::move(folder)) {}
  ~Node() { kill(); }
  const NodePlan& plan() const { return plan_; }
  std::string logPath() const { return folder_ + "/" + plan_.name + ".log"; }

  /** @param firstStart whether the whole system starts for the first time. */
  void start(bool firstStart) {
    writeSettings(firstStart);
    const std::string settings = folder_ + "/" + plan_.name + ".toml";
    process_ = ::fork();
    if (process_ == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int out = ::open(logPath().c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      ::dup2(out, 1);
      ::dup2(out, 2);
      ::setenv("UMBERHOLD_CONFIG", settings.c_str(), 1);
      ::execl(program_.c_str(), program_.c_str(), nullptr);
      std::_Exit(127);
    }
  }
  void signal(int number) const {
    if (process_ > 0) {
      ::kill(process_, number);
    }
  }
  void kill() {
    if (process_ > 0) {
      ::kill(process_, SIGKILL);
      ::waitpid(process_, nullptr, 0);
      process_ = -1;
    }
  }
  /** @return whether the process ended by itself. */
  bool hasEnded() {
    if (process_ > 0 && ::waitpid(process_, nullptr, WNOHANG) == process_) {
      process_ = -1;
    }
    return process_ < 0;
  }
  /** @return the answer of the readiness question. */
  bool isReady() const {
    const int descriptor = connectTo(plan_.address, plan_.readyPort);
    if (descriptor < 0) {
      return false;
    }
    const std::string request = "GET /api/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
    ::send(descriptor, request.data(), request.size(), MSG_NOSIGNAL);
    char buffer[256] = {};
    pollfd one{descriptor, POLLIN, 0};
    ssize_t count = 0;
    if (::poll(&one, 1, 300) > 0) {
      count = ::recv(descriptor, buffer, sizeof buffer - 1, 0);
    }
    ::close(descriptor);
    return count > 12 && std::string(buffer).find(" 200 ") != std::string::npos;
  }
  bool awaitReady(double seconds) const {
    const double until = nowSeconds() + seconds;
    while (nowSeconds() < until) {
      if (isReady()) {
        return true;
      }
      sleepFor(0.05);
    }
    return false;
  }

 private:
  /** The settings as deploy/settings.template.toml gives them for a small deployment. */
  void writeSettings(bool firstStart) const {
    FILE* file = std::fopen((folder_ + "/" + plan_.name + ".toml").c_str(), "w");
    if (file == nullptr) {
      couldNotRun("no settings file");
    }
    std::string seeds;
    for (const std::string& seed : plan_.seeds) {
      seeds += (seeds.empty() ? "\"" : ",\"") + seed + "\"";
    }
    std::fprintf(file,
                 "node = \"%s\"\nregion = \"hobart\"\nzone = \"%s\"\ndata = \"%s:%u\"\n"
                 "readiness = \"%s:%u\"\nreadiness_path = \"/api/readiness\"\n"
                 "metrics = \"%s:%u\"\nrequest_header = \"Umberhold-Request-Id\"\n"
                 "store = \"%s:%u\"\npeer_address = \"%s:%u\"\npeers = [%s]\ncapacity = 0.25\n%s"
                 "change_bound_milliseconds = 3000\ndrain_bound_milliseconds = 3000\n"
                 "store_history_seconds = 20\nflow_life_seconds = 60\noverflow = \"by_room\"\n",
                 plan_.name.c_str(), plan_.zone.c_str(), plan_.address.c_str(), plan_.dataPort,
                 plan_.address.c_str(), plan_.readyPort, plan_.address.c_str(), plan_.metricsPort,
                 plan_.storeAddress.c_str(), plan_.storePort, plan_.address.c_str(),
                 plan_.controlPort, seeds.c_str(), firstStart ? "first_start = true\n" : "");
    std::fclose(file);
  }

  NodePlan plan_;
  std::string program_;
  std::string folder_;
  pid_t process_ = -1;
};

}  // namespace review
