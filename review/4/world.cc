/**
 * @file Case 4: during a rolling restart, open flows on a route that was removed and added again are
 * reset by nodes that do not know yet that it was added again.
 *
 * Seven edge nodes as the site has them, of which the three of one zone take part. The operator removes routes and adds them
 * again a while later, in quick succession. Meanwhile the nodes are stopped and started in turn, so
 * that the router moves open flows from node to node.
 */
#include "parts.h"

using namespace review;

namespace {

constexpr int kRounds = 6;
constexpr int kNodes = 3;
constexpr int kRoutes = 12;
constexpr double kStormGap = 0.33;
constexpr double kRollGap = 1.3;
/** Between the removal of the routes and the roll: longer than propagation_ms. */
constexpr double kRemovedFor = 4.0;
constexpr double kPollInterval = 0.5;
constexpr double kFlowLife = 2.5;
constexpr double kPause = 0.1;
constexpr const char* kRoute = "127.0.94.1";
constexpr uint16_t kFirstRoutePort = 4430;

uint64_t mix(uint64_t value) {
  value ^= value >> 33;
  value *= 0xff51afd7ed558ccdULL;
  value ^= value >> 33;
  value *= 0xc4ceb9fe1a85ec53ULL;
  return value ^ (value >> 33);
}

/** The platform's view of one node. */
struct Seen {
  bool in = true;
  int misses = 0;
};

}  // namespace

int main(int argc, char** argv) {
  if (argc < 4) {
    return kCouldNotRun;
  }
  const std::string program = argv[1];
  const std::string folder = argv[2];
  const bool trouble = std::string(argv[3]) != "0";
  Record::get().open("record.txt");
  nowSeconds();
  ::signal(SIGPIPE, SIG_IGN);

  std::vector<std::string> addresses;
  for (int index = 1; index <= kNodes; ++index) {
    addresses.push_back("127.0.91." + std::to_string(index));
  }
  const std::string clientAddress = "127.0.92.1";
  std::vector<std::string> otherAddresses;
  for (int index = 0; index < 4; ++index) {
    otherAddresses.push_back("127.0.91." + std::to_string(11 + index));
  }
  std::vector<std::string> machines = addresses;
  machines.insert(machines.end(), otherAddresses.begin(), otherAddresses.end());
  std::vector<std::string> all = machines;
  all.push_back(clientAddress);
  const uint16_t dataPort = freePort(all);
  const uint16_t readyPort = freePort(machines);
  const uint16_t controlPort = freePort(machines);
  const uint16_t metricsPort = freePort(machines);

  Store store("127.0.90.1");
  uint64_t version = 10;
  std::set<int> present;
  const auto configure = [&] {
    std::vector<RouteText> routes = {{"grid-push", kRoute, 443, "fleet", "unsafe"}};
    for (const int number : present) {
      routes.push_back({"route-" + std::to_string(number), kRoute,
                        static_cast<uint16_t>(kFirstRoutePort + number), "fleet", "unsafe"});
    }
    version += 3;
    store.put("config", "main", configurationText(version, routes, "fleet"));
  };
  for (int number = 0; number < kRoutes; ++number) {
    present.insert(number);
  }
  configure();

  std::vector<std::unique_ptr<Host>> hosts;
  for (int number = 1; number <= 4; ++number) {
    const std::string address = "127.0.93." + std::to_string(number);
    char name[32];
    std::snprintf(name, sizeof name, "fleet-%x", 0xb100 + number);
    hosts.push_back(std::make_unique<Host>(name, 0xb100 + number, "fleet", address,
                                           freePort({address}), dataPort));
    store.put("servers", name, hostEntry("fleet", hosts.back()->endpointText(), "hbt-b", "ready"));
  }

  std::vector<std::string> seeds;
  for (const std::string& address : addresses) {
    seeds.push_back(address + ":" + std::to_string(controlPort));
  }
  std::vector<std::unique_ptr<Node>> nodes;
  for (int index = 0; index < kNodes; ++index) {
    NodePlan plan;
    plan.name = "front-hbt-b-" + std::to_string(index + 1);
    plan.zone = "hbt-b";
    plan.address = addresses[index];
    plan.dataPort = dataPort;
    plan.readyPort = readyPort;
    plan.controlPort = controlPort;
    plan.metricsPort = metricsPort;
    plan.storeAddress = store.address();
    plan.storePort = store.port();
    plan.seeds = seeds;
    nodes.push_back(std::make_unique<Node>(plan, program, folder));
    nodes.back()->start(true);
  }
  // The site's four machines of the other two zones, which take no part.
  std::vector<std::unique_ptr<Node>> restOfSite;
  for (int index = 0; index < 4; ++index) {
    NodePlan plan = nodes[0]->plan();
    plan.zone = index < 2 ? "hbt-a" : "hbt-c";
    plan.name = "front-" + plan.zone + "-" + std::to_string(index % 2 + 1);
    plan.address = otherAddresses[index];
    restOfSite.push_back(std::make_unique<Node>(plan, program, folder));
    restOfSite.back()->start(true);
  }
  for (const auto& node : nodes) {
    if (!node->awaitReady(15)) {
      for (const auto& each : nodes) {
        each->kill();
      }
      couldNotRun("a node did not become ready");
    }
  }
  NOTE("all nodes are ready");

  // The platform: asks each node for its readiness twice a second, in a thread of its own.
  std::mutex seenMutex;
  std::vector<Seen> seen(kNodes);
  std::atomic<bool> stopping{false};
  std::thread platform([&] {
    while (!stopping) {
      const double next = nowSeconds() + kPollInterval;
      for (int index = 0; index < kNodes; ++index) {
        const bool ready = nodes[index]->isReady();
        const std::lock_guard lock(seenMutex);
        Seen& one = seen[index];
        one.misses = ready ? 0 : one.misses + 1;
        const bool in = ready || (one.in && one.misses < 2);
        if (in != one.in) {
          NOTE("router: %s is %s", nodes[index]->plan().name.c_str(), in ? "in" : "out");
        }
        one.in = in;
      }
      sleepFor(std::max(0.0, next - nowSeconds()));
    }
  });
  // hash_function = "steady": the highest hash of flow and node, of the nodes that are in.
  const auto router = [&](const Flow& flow) {
    const std::lock_guard lock(seenMutex);
    int in = 0;
    for (const Seen& one : seen) {
      in += one.in ? 1 : 0;
    }
    const bool useAll = in * 2 < kNodes;
    int best = 0;
    uint64_t highest = 0;
    for (int index = 0; index < kNodes; ++index) {
      const uint64_t hash = mix((uint64_t{flow.port} << 32 | flow.dport) * 31 + index * 7919U + 1);
      if ((useAll || seen[index].in) && hash >= highest) {
        highest = hash;
        best = index;
      }
    }
    return addresses[best];
  };

  Client client(clientAddress, dataPort);
  client.setRouter(router);
  std::map<int, double> addedAt;
  std::map<uint16_t, double> nextRequestAt;
  std::set<uint16_t> judged;
  std::map<std::string, int> runs;
  int broken = 0;
  int inFlight = 0;
  int ran = 0;
  int opened = 0;
  int served = 0;
  const auto onOpening = [](const Taken&) {};
  const auto onRun = [&](const Taken&, const std::string& data) {
    const size_t at = data.find("Umberhold-Request-Id: ") + 22;
    ++runs[data.substr(at, data.find('\r', at) - at)];
  };
  const auto judge = [&](Flow& flow) {
    if (flow.phase != Phase::kReset || !judged.insert(flow.port).second) {
      return;
    }
    bool holds = false;
    for (const auto& host : hosts) {
      holds = holds || host->holds(client.number(), flow.port);
    }
    const int number = flow.group;
    NOTE("flow %u on route-%d (added again at %.3f), opened at %.3f, is reset at %.3f by %s%s",
         flow.port, number, addedAt[number], flow.openedAt, flow.resetAt, flow.resetBy.c_str(),
         flow.unacknowledged.empty() ? "" : " with a request under way");
    if (flow.bySystem && holds) {
      ++broken;
      const bool underWay = !flow.unacknowledged.empty();
      const bool hasRun = runs.contains(flow.requestId);
      inFlight += underWay ? 1 : 0;
      ran += underWay && hasRun ? 1 : 0;
      NOTE("  its host lives and still holds it; the last request %s %s: FLOW",
           flow.requestId.c_str(), hasRun ? "ran" : "did not run");
    }
  };
  double nextFlowAt = 0;
  const auto playUntil = [&](double until) {
    while (nowSeconds() < until) {
      const double now = nowSeconds();
      if (now >= nextFlowAt) {
        nextFlowAt = now + 0.01;
        for (const auto& [number, at] : addedAt) {
          if (present.contains(number) && now - at < 1.0) {
            client.open(addresses[0], kRoute, static_cast<uint16_t>(kFirstRoutePort + number), true,
                        number);
          }
        }
      }
      std::vector<pollfd> sockets = {{client.descriptor(), POLLIN, 0}};
      for (const auto& host : hosts) {
        sockets.push_back({host->descriptor(), POLLIN, 0});
      }
      ::poll(sockets.data(), sockets.size(), 3);
      for (const auto& host : hosts) {
        host->receive(onOpening, onRun);
      }
      client.receive();
      client.tick();
      for (auto entry = client.flows().begin(); entry != client.flows().end();) {
        Flow& flow = entry->second;
        judge(flow);
        if (flow.phase == Phase::kOpen && flow.unacknowledged.empty()) {
          double& next = nextRequestAt[flow.port];
          if (next == 0) {
            ++opened;
            next = now + kPause;
          } else if (now - flow.openedAt > kFlowLife) {
            ++served;
            client.finish(flow);
          } else if (now >= next) {
            next = now + kPause;
            client.request(flow);
          }
        }
        const bool ended = flow.phase != Phase::kOpening && flow.phase != Phase::kOpen;
        if (ended) {
          nextRequestAt.erase(flow.port);
        }
        entry = ended && now - flow.sentAt > 10 ? client.flows().erase(entry) : std::next(entry);
      }
    }
  };

  playUntil(nowSeconds() + 4);
  for (int round = 0; round < kRounds; ++round) {
    present.clear();
    configure();
    NOTE("round %d: version %llu removes %d routes", round + 1,
         static_cast<unsigned long long>(version), kRoutes);
    playUntil(nowSeconds() + kRemovedFor);
    const double start = nowSeconds();
    int rolled = 0;
    int added = 0;
    std::vector<double> startAgainAt(kNodes, 0);
    // Until all routes are there again and each node that was stopped runs again.
    while (nowSeconds() < start + 9.5) {
      const double now = nowSeconds() - start;
      if (trouble && rolled < kNodes && now >= rolled * kRollGap) {
        nodes[rolled]->signal(SIGTERM);
        startAgainAt[rolled] = -1;
        NOTE("SIGTERM to %s", nodes[rolled]->plan().name.c_str());
        ++rolled;
      }
      for (int index = 0; index < kNodes; ++index) {
        if (startAgainAt[index] < 0 && nodes[index]->hasEnded()) {
          startAgainAt[index] = 0;
          nodes[index]->start(false);
          NOTE("%s starts again", nodes[index]->plan().name.c_str());
        }
      }
      if (added < kRoutes && now >= added * kStormGap) {
        present.insert(added);
        configure();
        addedAt[added] = nowSeconds();
        NOTE("version %llu, which adds route-%d again, is acknowledged",
             static_cast<unsigned long long>(version), added);
        ++added;
      }
      playUntil(nowSeconds() + 0.02);
    }
  }

  stopping = true;
  platform.join();
  int twice = 0;
  for (const auto& [id, count] : runs) {
    twice += count > 1 ? 1 : 0;
  }
  NOTE("flows opened %d, ended as planned %d, requests run %zu, run twice %d", opened, served,
       runs.size(), twice);
  NOTE("open flows that the system reset although their host lives: %d, with a request under way: "
       "%d, of these run by the host: %d", broken, inFlight, ran);
  nodes.clear();
  restOfSite.clear();
  std::printf("open flows reset by the system: %d, with a request under way: %d, opened: %d\n",
              broken, inFlight, opened);
  if (opened < 500) {
    couldNotRun("fewer than 500 flows were opened");
  }
  std::_Exit(broken > 0 ? 1 : 0);
}
