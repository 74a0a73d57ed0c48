// Parts of the stand-ins that the cases share: packets, the platform's store, starting nodes.
// Written from the users' pages only; shares no code with the product. Every address is a loopback
// address.
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

#include <array>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <fstream>
#include <functional>
#include <map>
#include <mutex>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <unordered_map>
#include <vector>

namespace {

// ---- the deployment -----------------------------------------------------------------------------
// Chosen at the start by findAddresses().
uint16_t dataPort = 0, readyPort = 0, controlPort = 0, hostPort = 0, storePort = 0, metricsPort = 0;
// Bounds as on the pages of the small deployments, milliseconds.
constexpr int kContact = 4000, kPropagation = 3000, kDrain = 3000, kIdleTimeout = 15000,
              kMaxFlow = 60000, kDeadline = 1200, kHistory = 20000;

using Clock = std::chrono::steady_clock;
Clock::time_point zero;
int64_t nowMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - zero).count();
}

std::mutex recordMutex;
FILE* recordFile = nullptr;
void record(const char* form, ...) {
  char text[512];
  va_list args;
  va_start(args, form);
  vsnprintf(text, sizeof text, form, args);
  va_end(args);
  const std::lock_guard lock(recordMutex);
  fprintf(recordFile, "%9.3f  %s\n", static_cast<double>(nowMs()) / 1000.0, text);
  fflush(recordFile);
}

std::string subnet;  // "127.a.b."
std::string ip(int last) { return subnet + std::to_string(last); }
std::string nodeIp(int node) { return ip(10 + node); }
std::string hostIp(int host) { return ip(50 + host); }
std::string callerIp(int caller) { return ip(100 + caller); }
std::string storeIp() { return ip(1); }
// Routes: only ever values in packet heads and in the configuration, nothing is there.
std::string routeIp() { return ip(200); }
[[maybe_unused]] std::string secondRouteIp() { return ip(201); }
constexpr uint16_t kRoutePort = 8443;
std::string hostId(int host) {
  char text[32];
  snprintf(text, sizeof text, "i-%08x", 0x5a000000U + 0x01010101U * static_cast<unsigned>(host + 1));
  return text;
}
uint64_t incarnation(int host) { return 0x5a000000U + 0x01010101U * static_cast<unsigned>(host + 1); }

sockaddr_in address(const std::string& text, uint16_t port) {
  sockaddr_in result{};
  result.sin_family = AF_INET;
  result.sin_port = htons(port);
  inet_pton(AF_INET, text.c_str(), &result.sin_addr);
  return result;
}
uint32_t number(const std::string& text) {
  in_addr parsed{};
  inet_pton(AF_INET, text.c_str(), &parsed);
  return ntohl(parsed.s_addr);
}

// ---- packets ------------------------------------------------------------------------------------
constexpr uint8_t kSyn = 128, kAck = 2, kFin = 64, kRst = 4;
struct Packet {
  uint32_t sum = 0;
  uint8_t flags = 0;
  uint32_t echo = 0, seq = 0, ack = 0;
  uint16_t sport = 0, dport = 0;
  uint32_t src = 0, dst = 0;
  std::string data;
};
void put(std::string& out, uint64_t value, int bytes) {
  for (int shift = (bytes - 1) * 8; shift >= 0; shift -= 8) {
    out.push_back(static_cast<char>(value >> shift));
  }
}
uint64_t get(const char* at, int bytes) {
  uint64_t value = 0;
  for (int index = 0; index < bytes; ++index) {
    value = value << 8 | static_cast<uint8_t>(at[index]);
  }
  return value;
}
/** Keyed sum over everything but echo; never 0, since 0 marks a reset of the system's own. */
uint32_t sumOf(const Packet& packet) {
  std::string text = "stand-in key";
  put(text, packet.flags, 1);
  put(text, packet.seq, 4);
  put(text, packet.ack, 4);
  put(text, packet.sport, 2);
  put(text, packet.dport, 2);
  put(text, packet.src, 4);
  put(text, packet.dst, 4);
  text += packet.data;
  uint32_t sum = 2166136261U;
  for (const char character : text) {
    sum = (sum ^ static_cast<uint8_t>(character)) * 16777619U;
  }
  return sum == 0 ? 1 : sum;
}
std::string encode(Packet packet) {
  packet.sum = sumOf(packet);
  std::string out;
  put(out, packet.sum, 4);
  put(out, packet.flags, 1);
  put(out, packet.echo, 4);
  put(out, packet.seq, 4);
  put(out, packet.ack, 4);
  put(out, packet.sport, 2);
  put(out, packet.dport, 2);
  put(out, packet.src, 4);
  put(out, packet.dst, 4);
  put(out, packet.data.size(), 2);
  return out + packet.data;
}
bool decode(const char* at, size_t size, Packet& packet) {
  if (size < 31 || size != 31 + get(at + 29, 2)) {
    return false;
  }
  packet.sum = static_cast<uint32_t>(get(at, 4));
  packet.flags = static_cast<uint8_t>(get(at + 4, 1));
  packet.echo = static_cast<uint32_t>(get(at + 5, 4));
  packet.seq = static_cast<uint32_t>(get(at + 9, 4));
  packet.ack = static_cast<uint32_t>(get(at + 13, 4));
  packet.sport = static_cast<uint16_t>(get(at + 17, 2));
  packet.dport = static_cast<uint16_t>(get(at + 19, 2));
  packet.src = static_cast<uint32_t>(get(at + 21, 4));
  packet.dst = static_cast<uint32_t>(get(at + 25, 4));
  packet.data.assign(at + 31, size - 31);
  return true;
}
int openUdp(const std::string& where, uint16_t port) {
  const int descriptor = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const int size = 4 << 20;
  setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &size, sizeof size);
  const sockaddr_in local = address(where, port);
  if (bind(descriptor, reinterpret_cast<const sockaddr*>(&local), sizeof local) != 0) {
    close(descriptor);
    return -1;
  }
  return descriptor;
}
void sendTo(int descriptor, const std::string& where, uint16_t port, const std::string& bytes) {
  const sockaddr_in to = address(where, port);
  sendto(descriptor, bytes.data(), bytes.size(), 0, reinterpret_cast<const sockaddr*>(&to),
         sizeof to);
}

// ---- the platform's store -----------------------------------------------------------------------
class Store {
 public:
  void create(const std::string& kind, const std::string& name, const std::string& spec) {
    const std::lock_guard lock(mutex_);
    write(kind, name, spec);
  }
  void remove(const std::string& kind, const std::string& name) {
    const std::lock_guard lock(mutex_);
    Object object = kinds_[kind][name];
    kinds_[kind].erase(name);
    object.revision = ++revision_;
    events_.push_back({revision_, kind, text(name, object), true, nowMs()});
    changed_.notify_all();
  }
  /** Silent: calls that arrive get no answer, and their connections say nothing more. */
  void setSilent(bool silent) { silent_ = silent; }
  bool listen() {
    listener_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in local = address(storeIp(), storePort);
    if (bind(listener_, reinterpret_cast<const sockaddr*>(&local), sizeof local) != 0 ||
        ::listen(listener_, 256) != 0) {
      return false;
    }
    std::thread([this] {
      while (true) {
        const int peer = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
        if (peer < 0) {
          return;
        }
        std::thread([this, peer] { serve(peer); }).detach();
      }
    }).detach();
    return true;
  }

 private:
  struct Object {
    uint64_t revision = 0, made = 0;
    std::string spec;
  };
  struct Event {
    uint64_t revision;
    std::string kind, text;
    bool gone;
    int64_t at;
  };
  std::string text(const std::string& name, const Object& object) const {
    return "{\"meta\":{\"name\":\"" + name + "\",\"revision\":" + std::to_string(object.revision) +
           ",\"made\":" + std::to_string(object.made) +
           ",\"finalizers\":[],\"deleting\":false},\"spec\":" + object.spec + ",\"status\":null}";
  }
  std::string write(const std::string& kind, const std::string& name, const std::string& spec) {
    Object& object = kinds_[kind][name];
    object.revision = ++revision_;
    object.made = object.made == 0 ? revision_ : object.made;
    object.spec = spec;
    const std::string whole = text(name, object);
    events_.push_back({revision_, kind, whole, false, nowMs()});
    changed_.notify_all();
    return whole;
  }
  void serve(int peer) {
    const int on = 1;
    setsockopt(peer, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    std::string input;
    char buffer[16384];
    while (true) {
      size_t end;
      while ((end = input.find("\r\n\r\n")) == std::string::npos) {
        const ssize_t count = recv(peer, buffer, sizeof buffer, 0);
        if (count <= 0) {
          close(peer);
          return;
        }
        input.append(buffer, static_cast<size_t>(count));
      }
      const std::string head = input.substr(0, end);
      size_t length = 0;
      const size_t at = head.find("Content-Length: ");
      if (at != std::string::npos) {
        length = strtoul(head.c_str() + at + 16, nullptr, 10);
      }
      while (input.size() < end + 4 + length) {
        const ssize_t count = recv(peer, buffer, sizeof buffer, 0);
        if (count <= 0) {
          close(peer);
          return;
        }
        input.append(buffer, static_cast<size_t>(count));
      }
      const std::string body = input.substr(end + 4, length);
      input.erase(0, end + 4 + length);
      int status = 200;
      if (silent_) {
        while (recv(peer, buffer, sizeof buffer, 0) > 0) {
        }
        close(peer);
        return;
      }
      const std::string answer = handle(head.substr(0, head.find('\r')), body, status);
      std::this_thread::sleep_for(std::chrono::milliseconds(4));
      const std::string bytes =
          "HTTP/1.1 " + std::to_string(status) + (status == 200 ? " OK" : " No") +
          "\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(answer.size()) +
          "\r\n\r\n" + answer;
      if (send(peer, bytes.data(), bytes.size(), MSG_NOSIGNAL) < 0) {
        close(peer);
        return;
      }
    }
  }
  std::string handle(const std::string& line, const std::string& body, int& status) {
    std::istringstream words(line);
    std::string method, target;
    words >> method >> target;
    std::string query;
    const size_t mark = target.find('?');
    if (mark != std::string::npos) {
      query = "&" + target.substr(mark + 1);
      target.resize(mark);
    }
    const std::string prefix = "/api/objects/";
    if (target.rfind(prefix, 0) != 0) {
      status = 404;
      return "{}";
    }
    std::string kind = target.substr(prefix.size()), name;
    const size_t slash = kind.find('/');
    if (slash != std::string::npos) {
      name = kind.substr(slash + 1);
      kind.resize(slash);
    }
    std::unique_lock lock(mutex_);
    if (method == "POST" || method == "PUT") {
      if (name.empty()) {
        const size_t from = body.find("\"name\":\"") + 8;
        name = body.substr(from, body.find('"', from) - from);
      }
      const size_t from = body.find("\"spec\":") + 7;
      const std::string spec = body.substr(from, body.rfind('}') - from);
      const bool exists = kinds_[kind].count(name) > 0;
      if (method == "POST" && exists) {
        status = 409;
        return text(name, kinds_[kind][name]);
      }
      return write(kind, name, spec);
    }
    if (!name.empty()) {
      const auto found = kinds_[kind].find(name);
      if (found == kinds_[kind].end()) {
        status = 404;
        return "{}";
      }
      return text(name, found->second);
    }
    const size_t watch = query.find("&watch=");
    if (watch == std::string::npos) {
      std::string items;
      for (const auto& [each, object] : kinds_[kind]) {
        items += (items.empty() ? "" : ",") + text(each, object);
      }
      return "{\"items\":[" + items + "],\"more\":false,\"at\":" + std::to_string(revision_) + "}";
    }
    const uint64_t since = strtoull(query.c_str() + watch + 7, nullptr, 10);
    const size_t wait = query.find("&wait_ms=");
    const auto until = Clock::now() + std::chrono::milliseconds(
        wait == std::string::npos ? 0 : strtol(query.c_str() + wait + 9, nullptr, 10));
    std::string found;
    const auto collect = [&] {
      found.clear();
      for (const Event& event : events_) {
        if (event.revision > since && event.kind == kind) {
          found += (found.empty() ? "" : ",") + (event.gone ? std::string("{\"gone\":true")
                                                            : std::string("{\"gone\":false")) +
                   ",\"object\":" + event.text + "}";
        }
      }
      return !found.empty() || isForgotten(since);
    };
    changed_.wait_until(lock, until, collect);
    if (isForgotten(since) && (!found.empty() || Clock::now() < until)) {
      status = 410;
      return "{}";
    }
    return "{\"events\":[" + found + "],\"at\":" + std::to_string(revision_) + "}";
  }

  /** @return whether a change after the revision is older than the history that is kept. */
  bool isForgotten(uint64_t since) const {
    const int64_t oldest = nowMs() - kHistory;
    for (const Event& event : events_) {
      if (event.revision > since) {
        return event.at < oldest;
      }
    }
    return false;
  }

  std::atomic<bool> silent_{false};
  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, std::map<std::string, Object>> kinds_;
  std::vector<Event> events_;
  uint64_t revision_ = 10;
  int listener_ = -1;
};

// ---- hosts --------------------------------------------------------------------------------------
/** What the judge needs of a flow, by caller address and port. */
struct HostFlow {
  uint32_t next = 0;      // next byte expected of the caller
  uint32_t seq = 0;       // next byte of the host
  uint32_t echo = 0;
  bool open = false;      // the end of the handshake has arrived
  int64_t arrivedAt = 0;  // when the opening packet arrived that the host took
  bool working = false;   // on the request that came last
  std::string lastAnswer;
  uint32_t lastAnswerSeq = 0;
};
class Hosts {
 public:
  explicit Hosts(int count) : sockets_(count), flows_(count) {}
  /** Called when a host runs a request, with the flow's state. */
  std::function<void(int host, const Packet& request, const HostFlow& flow)> onRun;
  /** How long a host works on a request. */
  int workMs = 0;

  bool open() {
    for (int host = 0; host < count(); ++host) {
      sockets_[host] = openUdp(hostIp(host), hostPort);
      if (sockets_[host] < 0) {
        return false;
      }
    }
    return true;
  }
  void run() {
    while (!stop) {
      std::vector<pollfd> waits(sockets_.size());
      for (int host = 0; host < count(); ++host) {
        waits[host] = {sockets_[host], POLLIN, 0};
      }
      poll(waits.data(), waits.size(), 2);
      answerDue();
      char buffer[2048];
      for (int host = 0; host < count(); ++host) {
        ssize_t size;
        while ((size = recv(sockets_[host], buffer, sizeof buffer, 0)) > 0) {
          if (ended[host]) {
            continue;  // nothing is there any more
          }
          take(host, buffer, static_cast<size_t>(size));
        }
      }
    }
  }
  /** @return the host at which this flow is open; -1 if there is none. */
  int hostOf(uint32_t caller, uint16_t port) {
    const std::lock_guard lock(mutex_);
    for (int host = 0; host < count(); ++host) {
      const auto found = flows_[host].find(key(caller, port));
      if (found != flows_[host].end() && found->second.open) {
        return host;
      }
    }
    return -1;
  }
  /** Whether a host has ended: it then takes and says nothing. */
  std::array<std::atomic<bool>, 64> ended{};
  std::atomic<uint64_t> resets{0}, requests{0};
  std::atomic<bool> stop{false};

 private:
  int count() const { return static_cast<int>(sockets_.size()); }
  static uint64_t key(uint32_t caller, uint16_t port) { return uint64_t{caller} << 16 | port; }
  void answer(int host, const Packet& to, uint8_t flags, uint32_t seq, uint32_t ack, uint32_t echo,
              const std::string& data) {
    Packet packet;
    packet.flags = flags;
    packet.seq = seq;
    packet.ack = ack;
    packet.echo = echo;
    packet.sport = to.dport;
    packet.dport = to.sport;
    packet.src = to.dst;
    packet.dst = to.src;
    packet.data = data;
    in_addr caller{htonl(to.src)};
    sendTo(sockets_[host], inet_ntoa(caller), dataPort, encode(packet));
  }
  void take(int host, const char* bytes, size_t size) {
    Packet packet;
    if (size < 8 || !decode(bytes + 8, size - 8, packet) || packet.sum != sumOf(packet)) {
      record("host %d: a packet that nobody wrote in this form", host);
      return;
    }
    const uint64_t meant = get(bytes, 8);
    if (meant != 0 && meant != incarnation(host)) {
      return;
    }
    const std::lock_guard lock(mutex_);
    auto& flows = flows_[host];
    const auto found = flows.find(key(packet.src, packet.sport));
    if ((packet.flags & kRst) != 0) {
      if (found != flows.end()) {
        flows.erase(found);
      }
      return;
    }
    if ((packet.flags & kSyn) != 0) {
      HostFlow& flow = flows[key(packet.src, packet.sport)];
      if (flow.next == 0) {
        flow.next = packet.seq + 1;
        flow.seq = random_();
        flow.arrivedAt = nowMs();
      }
      flow.echo = packet.echo;
      answer(host, packet, kSyn | kAck, flow.seq, flow.next, flow.echo, "");
      return;
    }
    if (found == flows.end()) {
      ++resets;
      record("host %d resets a flow that it does not hold: port %u", host, packet.sport);
      answer(host, packet, kRst, packet.ack, packet.seq, packet.echo, "");
      return;
    }
    HostFlow& flow = found->second;
    flow.echo = packet.echo;
    if (!flow.open) {
      if (packet.ack != flow.seq + 1) {
        return;
      }
      flow.open = true;
      ++flow.seq;
    }
    if ((packet.flags & kFin) != 0) {
      answer(host, packet, kFin | kAck, flow.seq, packet.seq + 1, flow.echo, "");
      flows.erase(found);
      return;
    }
    if (packet.data.empty()) {
      return;
    }
    if (packet.seq == flow.next) {
      flow.next += static_cast<uint32_t>(packet.data.size());
      flow.working = true;
      ++requests;
      if (onRun) {
        onRun(host, packet, flow);
      }
      work_.push_back({nowMs() + workMs, host, packet});
    }
    if (flow.working) {
      answer(host, packet, kAck, flow.seq, flow.next, flow.echo, "");
    } else {
      answer(host, packet, kAck, flow.lastAnswerSeq, flow.next, flow.echo, flow.lastAnswer);
    }
  }
  /** Ends the work that is due and answers. */
  void answerDue() {
    const std::lock_guard lock(mutex_);
    for (; !work_.empty() && work_.front().at <= nowMs(); work_.pop_front()) {
      const Work& work = work_.front();
      const auto found = flows_[work.host].find(key(work.request.src, work.request.sport));
      if (ended[work.host] || found == flows_[work.host].end()) {
        continue;
      }
      HostFlow& flow = found->second;
      flow.working = false;
      flow.lastAnswer = "ok " + work.request.data;
      flow.lastAnswerSeq = flow.seq;
      flow.seq += static_cast<uint32_t>(flow.lastAnswer.size());
      answer(work.host, work.request, kAck, flow.lastAnswerSeq, flow.next, flow.echo,
             flow.lastAnswer);
    }
  }

  struct Work {
    int64_t at;
    int host;
    Packet request;
  };
  std::deque<Work> work_;

  std::vector<int> sockets_;
  std::mutex mutex_;
  std::vector<std::unordered_map<uint64_t, HostFlow>> flows_;
  std::mt19937 random_{7};
};

// ---- nodes --------------------------------------------------------------------------------------
std::vector<pid_t> nodes;
std::string folder;
void startNode(const std::string& program, int node) {
  const std::string name = "front-a-" + std::to_string(node + 1);
  const std::string settings = folder + "/" + name + ".toml";
  std::ofstream file(settings);
  file << "node = \"" << name << "\"\nregion = \"r\"\nzone = \"z-a\"\n"
       << "data = \"" << nodeIp(node) << ":" << dataPort << "\"\n"
       << "readiness = \"" << nodeIp(node) << ":" << readyPort << "\"\n"
       << "readiness_path = \"/api/readiness\"\n"
       << "metrics = \"" << nodeIp(node) << ":" << metricsPort << "\"\n"
       << "request_header = \"Umberhold-Request-Id\"\n"
       << "store = \"" << storeIp() << ":" << storePort << "\"\n"
       << "peer_address = \"" << nodeIp(node) << ":" << controlPort << "\"\n"
       << "peers = [\"" << nodeIp(0) << ":" << controlPort << "\",\"" << nodeIp(1) << ":"
       << controlPort << "\",\"" << nodeIp(2) << ":" << controlPort << "\"]\n"
       << "capacity = 0.25\nfirst_start = true\n"
       << "change_bound_milliseconds = " << kPropagation
       << "\ndrain_bound_milliseconds = " << kDrain << "\nflow_life_seconds = " << kMaxFlow / 1000
       << "\noverflow = \"by_room\"\n";
  file.close();
  const std::string log = folder + "/" + name + ".log";
  const pid_t child = fork();
  if (child == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);  // it ends with the process that started it
    const int output = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(output, 1);
    dup2(output, 2);
    const std::string variable = "UMBERHOLD_CONFIG=" + settings;
    char* arguments[] = {const_cast<char*>(program.c_str()), nullptr};
    char* environment[] = {const_cast<char*>(variable.c_str()),
                           const_cast<char*>("PATH=/usr/bin:/bin"), nullptr};
    execve(program.c_str(), arguments, environment);
    _exit(127);
  }
  nodes.push_back(child);
}
bool isReady(int node) {
  const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const timeval limit{0, 300000};
  setsockopt(descriptor, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
  const sockaddr_in to = address(nodeIp(node), readyPort);
  bool ready = false;
  if (connect(descriptor, reinterpret_cast<const sockaddr*>(&to), sizeof to) == 0) {
    const std::string ask =
        "GET /api/readiness HTTP/1.1\r\nHost: node\r\nConnection: close\r\n\r\n";
    char buffer[64] = {};
    ready = send(descriptor, ask.data(), ask.size(), MSG_NOSIGNAL) > 0 &&
            recv(descriptor, buffer, 12, 0) == 12 && strncmp(buffer + 9, "200", 3) == 0;
  }
  close(descriptor);
  return ready;
}
void endNodes() {
  for (const pid_t node : nodes) {
    kill(node, SIGKILL);
  }
  for (const pid_t node : nodes) {
    waitpid(node, nullptr, 0);
  }
  nodes.clear();
}
bool nodesAlive() {
  for (const pid_t node : nodes) {
    if (waitpid(node, nullptr, WNOHANG) != 0) {
      return false;
    }
  }
  return true;
}
bool isFree(const std::string& where, uint16_t port, int type) {
  const int descriptor = socket(AF_INET, type | SOCK_CLOEXEC, 0);
  const sockaddr_in local = address(where, port);
  const bool free = bind(descriptor, reinterpret_cast<const sockaddr*>(&local), sizeof local) == 0;
  close(descriptor);
  return free;
}
/** Finds a subnet of the loopback range and ports that are free there; opens the stand-ins. */
template <class Callers>
bool findAddresses(int nodeCount, Store& store, Hosts& hosts, Callers& callers) {
  for (unsigned tries = 0; tries < 20; ++tries) {
    const unsigned pick = static_cast<unsigned>(getpid()) * 7 + tries * 101;
    subnet = "127." + std::to_string(20 + pick % 200) + "." + std::to_string(pick / 200 % 250) + ".";
    const auto first = static_cast<uint16_t>(10000 + pick * 8 % 20000);  // below the ephemeral ports
    dataPort = first;
    readyPort = static_cast<uint16_t>(first + 1);
    controlPort = static_cast<uint16_t>(first + 2);
    metricsPort = static_cast<uint16_t>(first + 3);
    hostPort = static_cast<uint16_t>(first + 4);
    storePort = static_cast<uint16_t>(first + 5);
    bool free = true;
    for (int node = 0; node < nodeCount; ++node) {
      free = free && isFree(nodeIp(node), dataPort, SOCK_DGRAM) &&
             isFree(nodeIp(node), readyPort, SOCK_STREAM) &&
             isFree(nodeIp(node), controlPort, SOCK_STREAM) &&
             isFree(nodeIp(node), metricsPort, SOCK_STREAM);
    }
    if (free && store.listen() && hosts.open() && callers.open()) {
      return true;
    }
  }
  return false;
}
int cannotRun(const char* why) {
  record("the case could not run: %s", why);
  endNodes();
  _exit(2);
}

}  // namespace
