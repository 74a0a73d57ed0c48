/** @file The network between a region's nodes: loss, duplication, delay and partitions. */
#include <utility>

#include "standins/flows/simulated_region.h"
#include "standins/flows/simulated_region_node.h"

namespace umberhold {

bool SimulatedRegion::connected(uint32_t left, uint32_t right) const {
  const auto leftNode = nodes_.find(left);
  const auto rightNode = nodes_.find(right);
  if (leftNode == nodes_.end() || rightNode == nodes_.end()) {
    return true;
  }
  return cutZones_.contains(leftNode->second->zone()) ==
         cutZones_.contains(rightNode->second->zone());
}

void SimulatedRegion::transmit(uint32_t from, uint32_t to,
                               const std::function<void(Node&)>& deliver) {
  const int copies = random_.unit() < options_.faults.repetition ? 2 : 1;
  for (int copy = 0; copy < copies; ++copy) {
    if (random_.unit() < options_.faults.loss) {
      continue;
    }
    after(randomDuration(options_.faults.shortestDelay, options_.faults.longestDelay),
          [this, from, to, deliver] {
            Node* node = runningNode(to);
            if (node != nullptr && connected(from, to)) {
              deliver(*node);
            }
          });
  }
}

void SimulatedRegion::sendMessage(uint32_t from, const Endpoint& to, Message message) {
  traffic_.count(now_, from, message);
  transmit(from, to.address, [this, from, message = std::move(message)](Node& node) {
    if (node.shardDirector) {
      node.shardDirector->onMessage(now_, Endpoint{from, kControlPort}, NodeId{from}, message);
    }
  });
}

void SimulatedRegion::sendRelay(uint32_t from, NodeId to, std::string bytes,
                                uint8_t /*timeToLive*/) {
  transmit(from, to.value, [this, bytes = std::move(bytes)](Node& node) {
    node.onPacket(now_, bytes, PacketSource::kPeer);
  });
}

}  // namespace umberhold
