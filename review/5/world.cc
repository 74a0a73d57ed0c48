/**
 * @file Case 5: a machine that was partitioned from the store sends new flows to a host that is
 * gone, longer than drain_ms after the store told so and after the machine is in touch again.
 *
 * Two edge nodes in two zones read the store themselves. Six times the link between one node and
 * the store is cut for 4 s. During each cut one host leaves without saying `draining`: its entry
 * goes, and it serves on for drain_ms and 6 s more. Clients open flows all the time.
 */
#include "../4/parts.h"

using namespace review;

namespace {

constexpr int kRounds = 6;
constexpr double kCutSeconds = 4.0;
constexpr double kLeavesAfter = 1.0;
constexpr double kAfterHealing = 8.0;
constexpr double kDrainSeconds = 3.0;
constexpr double kContactSeconds = 4.0;
constexpr double kServesOnSeconds = kDrainSeconds + 6.0;
/** For the time that this program itself needs between two of its steps. */
constexpr double kMargin = 0.05;
constexpr const char* kRoute = "127.0.84.1";
constexpr uint16_t kRoutePort = 443;

struct Cut {
  double from = 0;
  double to = 0;
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

  const std::vector<std::string> nodeAddresses = {"127.0.81.1", "127.0.81.2"};
  const std::vector<std::string> clientAddresses = {"127.0.82.1", "127.0.82.2"};
  const std::vector<std::string> zones = {"hbt-a", "hbt-b"};
  std::vector<std::string> all = nodeAddresses;
  all.insert(all.end(), clientAddresses.begin(), clientAddresses.end());
  const uint16_t dataPort = freePort(all);
  const uint16_t readyPort = freePort(nodeAddresses);
  const uint16_t controlPort = freePort(nodeAddresses);
  const uint16_t metricsPort = freePort(nodeAddresses);

  Store store("127.0.80.1");
  Link linkOfFirst("127.0.80.2", store);
  store.put("config", "main",
            configurationText(7, {{"fw-checkin", kRoute, kRoutePort, "fleet", "unsafe"},
                              {"cert-fetch", kRoute, 8443, "docs", "download"}}, "fleet"));

  std::vector<std::unique_ptr<Host>> hosts;
  std::map<std::string, double> goneAt;
  std::map<std::string, double> endsAt;
  const auto startHost = [&](const std::string& zone) {
    const int number = static_cast<int>(hosts.size()) + 1;
    const std::string address = "127.0.83." + std::to_string(number);
    char name[32];
    std::snprintf(name, sizeof name, "fleet-%x", 0xa100 + number);
    hosts.push_back(std::make_unique<Host>(name, 0xa100 + number, "fleet", address,
                                           freePort({address}), dataPort));
    store.put("servers", name, hostEntry("fleet", hosts.back()->endpointText(), zone, "ready"));
    NOTE("host %s started in %s and is registered", name, zone.c_str());
    return hosts.back().get();
  };
  Host* leaver = startHost("hbt-a");
  startHost("hbt-a");
  startHost("hbt-b");
  startHost("hbt-b");
  // Four hosts of another service, which stay and get no flows here: one of eight or nine leaves.
  std::vector<std::unique_ptr<Host>> docs;
  for (int number = 1; number <= 4; ++number) {
    const std::string address = "127.0.85." + std::to_string(number);
    char name[32];
    std::snprintf(name, sizeof name, "docs-%x", 0xe100 + number);
    docs.push_back(std::make_unique<Host>(name, 0xe100 + number, "docs", address,
                                          freePort({address}), dataPort));
    store.put("servers", name, hostEntry("docs", docs.back()->endpointText(), "hbt-b", "ready"));
  }

  std::vector<std::unique_ptr<Node>> nodes;
  const std::vector<std::string> seeds = {nodeAddresses[0] + ":" + std::to_string(controlPort),
                                          nodeAddresses[1] + ":" + std::to_string(controlPort)};
  for (size_t index = 0; index < 2; ++index) {
    NodePlan plan;
    plan.name = "front-" + zones[index] + "-1";
    plan.zone = zones[index];
    plan.address = nodeAddresses[index];
    plan.dataPort = dataPort;
    plan.readyPort = readyPort;
    plan.controlPort = controlPort;
    plan.metricsPort = metricsPort;
    plan.storeAddress = index == 0 ? "127.0.80.2" : store.address();
    plan.storePort = index == 0 ? linkOfFirst.port() : store.port();
    plan.seeds = seeds;
    nodes.push_back(std::make_unique<Node>(plan, program, folder));
    nodes.back()->start(true);
  }
  for (const auto& node : nodes) {
    if (!node->awaitReady(15)) {
      for (const auto& each : nodes) {
        each->kill();
      }
      couldNotRun("a node did not become ready");
    }
  }
  NOTE("both nodes are ready");

  Client first(clientAddresses[0], dataPort);
  Client second(clientAddresses[1], dataPort);
  std::vector<Cut> cuts;
  std::map<uint32_t, Client*> clients = {{first.number(), &first}, {second.number(), &second}};
  int broken = 0;
  int ranAtBroken = 0;
  std::map<std::string, int> openings;
  std::set<std::pair<uint32_t, uint16_t>> brokenFlows;

  const auto onOpening = [&](const Taken& taken) {
    ++openings[taken.host];
    const auto gone = goneAt.find(taken.host);
    if (gone == goneAt.end()) {
      return;
    }
    Client& client = *clients.at(taken.client);
    const double sentAt = client.flows().at(taken.port).sentAt;
    bool inTouch = true;
    double healed = 0;
    if (taken.node == nodeAddresses[0]) {
      for (const Cut& cut : cuts) {
        const double until = cut.to == 0 ? taken.at : cut.to;
        inTouch = inTouch && until + kMargin < sentAt - kContactSeconds;
        healed = cut.to;
      }
    }
    const double late = taken.at - gone->second - kDrainSeconds;
    const bool breaks = late > kMargin && inTouch;
    NOTE("host %s, gone for %.3f s, takes the opening of flow %u from node %s%s", taken.host.c_str(),
         taken.at - gone->second, taken.port, taken.node.c_str(),
         breaks ? ": DRAIN" : (inTouch ? "" : " (not in touch)"));
    if (breaks) {
      ++broken;
      brokenFlows.insert({taken.client, taken.port});
      NOTE("  sent by the client at %.3f, the node's link healed at %.3f, so in touch since %.3f",
           sentAt, healed, healed + kContactSeconds);
    }
  };
  const auto onRun = [&](const Taken& taken, const std::string&) {
    if (brokenFlows.contains({taken.client, taken.port})) {
      ++ranAtBroken;
    }
  };
  double nextFlowAt = 0;
  const auto playUntil = [&](double until) {
    while (nowSeconds() < until) {
      const double now = nowSeconds();
      if (now >= nextFlowAt) {
        nextFlowAt = now + 0.02;
        first.open(nodeAddresses[0], kRoute, kRoutePort, false);
        second.open(nodeAddresses[1], kRoute, kRoutePort, false);
      }
      std::vector<pollfd> all = {{first.descriptor(), POLLIN, 0}, {second.descriptor(), POLLIN, 0}};
      for (const auto& host : hosts) {
        all.push_back({host->descriptor(), POLLIN, 0});
      }
      ::poll(all.data(), all.size(), 5);
      for (const auto& host : hosts) {
        host->receive(onOpening, onRun);
        const auto end = endsAt.find(host->name());
        if (end != endsAt.end() && nowSeconds() >= end->second && host->isLive()) {
          NOTE("host %s ends", host->name().c_str());
          host->end();
        }
      }
      first.receive();
      second.receive();
      first.tick();
      second.tick();
    }
  };

  playUntil(nowSeconds() + 5);
  for (int round = 0; round < kRounds; ++round) {
    Host* const next = startHost("hbt-a");
    playUntil(nowSeconds() + 1);
    const double cutAt = nowSeconds();
    if (trouble) {
      linkOfFirst.setCut(true);
      cuts.push_back({cutAt, 0});
      NOTE("the link of node %s to the store is cut", nodes[0]->plan().name.c_str());
    }
    playUntil(cutAt + kLeavesAfter);
    store.remove("servers", leaver->name());
    goneAt[leaver->name()] = nowSeconds();
    endsAt[leaver->name()] = nowSeconds() + kServesOnSeconds;
    NOTE("the entry of host %s goes; it serves on for %.1f s", leaver->name().c_str(),
         kServesOnSeconds);
    playUntil(cutAt + kCutSeconds);
    if (trouble) {
      linkOfFirst.setCut(false);
      cuts.back().to = nowSeconds();
      NOTE("the link heals");
    }
    playUntil(cutAt + kCutSeconds + kAfterHealing);
    leaver = next;
  }

  int served = 0;
  int others = 0;
  for (Client* client : {&first, &second}) {
    for (const auto& [port, flow] : client->flows()) {
      ++(flow.phase == Phase::kServed ? served : others);
    }
  }
  for (const auto& [host, count] : openings) {
    NOTE("host %s took %d openings", host.c_str(), count);
  }
  const bool ended = nodes[0]->hasEnded() || nodes[1]->hasEnded();
  NOTE("flows served %d, not served %d; a node ended by itself: %s", served, others,
       ended ? "yes" : "no");
  NOTE("openings that break DRAIN: %d, of which %d ran a request", broken, ranAtBroken);
  nodes.clear();
  if (served < 1000) {
    couldNotRun("fewer than 1000 flows were served");
  }
  std::printf("openings that break DRAIN: %d, requests run on them: %d, flows served: %d\n", broken,
              ranAtBroken, served);
  std::_Exit(broken > 0 ? 1 : 0);
}
