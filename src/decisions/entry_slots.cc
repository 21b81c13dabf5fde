#include <algorithm>
#include <utility>

#include "decisions/entry_parts.h"
#include "decisions/rendezvous.h"

namespace sassafras::entry_parts {

namespace {

std::string SlotTopic(const ServiceId& service, const ZoneId& zone) {
  return "slots/" + service.value() + "/" + zone.value();
}

// Hosts that may grant for the zone: its own, else those of its region, else
// all.
std::vector<HostId> GrantCandidates(const EntryNode& node,
                                    const ZoneId& zone,
                                    Time now) {
  const Membership& m = node.membership;
  std::vector<HostId> out = LiveHostsOfZone(m, zone, now);
  if (!out.empty())
    return out;
  const RegionId* region = RegionOfZone(node.topology, zone);
  std::vector<HostId> any;
  for (const Host& it : LiveHosts(m, now)) {
    any.push_back(it.id);
    if (region && it.region == *region)
      out.push_back(it.id);
  }
  return out.empty() ? any : out;
}

void Configure(const Turn& turn, Granter& g) {
  const EntryNode& node = turn.node;
  const auto plan = node.plans.find(g.service);
  if (plan != node.plans.end())
    g.least_shares = plan->second.least_shares;
  g.headroom = HeadroomOf(node.intent, g.region);
  const bool heard = IsZoneLive(node.membership, g.zone, turn.now);
  g.slot_share = heard ? 1.0 : node.limits.unheard_zone_slot_share;
  const auto list = node.endpoints.find(g.service);
  if (list == node.endpoints.end())
    return;
  std::vector<Endpoint> own;
  for (Endpoint it : list->second.endpoints) {
    if (it.zone != g.zone)
      continue;
    it.leaving = it.leaving || node.leaving_endpoints.count(it.id) > 0;
    own.push_back(std::move(it));
  }
  SetEndpoints(g, own, turn.now);
}

Granter& GranterFor(Turn& turn, const ServiceId& service, const ZoneId& zone) {
  const auto [it, added] =
      turn.node.granters.try_emplace(std::make_pair(service, zone));
  Granter& g = it->second;
  if (!added)
    return g;
  g.service = service;
  g.zone = zone;
  const RegionId* region = RegionOfZone(turn.node.topology, zone);
  g.region = region ? *region : RegionId();
  g.active_since = turn.now;
  // At the start of the host nothing can be running yet under its grants.
  Configure(turn, g);
  return g;
}

void SendNotices(Turn& turn, const std::vector<PoisonNotice>& notices) {
  for (const PoisonNotice& notice : notices) {
    Log(turn, "poison",
        "An endpoint died under a request. fingerprint=" +
            std::to_string(notice.fingerprint.value()) +
            " deaths=" + std::to_string(notice.died.size()));
    for (const Host& it : AnsweringHosts(turn.node.membership, turn.now)) {
      if (it.id != turn.node.self.id)
        Send(turn, it.id, notice);
    }
  }
}

}  // namespace

HostId GranterOf(const EntryNode& node,
                 const ServiceId& service,
                 const ZoneId& zone,
                 Time now) {
  auto& cache = node.granting_hosts;
  const auto key = std::make_pair(service, zone);
  const auto it = cache.find(key);
  if (it != cache.end())
    return it->second;
  HostId host =
      TopHost(GrantCandidates(node, zone, now), SlotTopic(service, zone));
  // A host that hears nobody grants for itself.
  if (host.empty())
    host = node.self.id;
  cache[key] = host;
  return host;
}

void TakeSlotRequest(Turn& turn,
                     const HostId& from,
                     const SlotRequest& request) {
  if (turn.node.topology.services.count(request.service) == 0)
    return;
  Granter& g = GranterFor(turn, request.service, request.zone);
  SendAll(turn, OnSlotRequest(g, turn.node.poison, from, request, turn.now));
}

void TakeSlotRelease(Turn& turn,
                     const HostId& from,
                     const SlotRelease& release) {
  const auto it = turn.node.granters.find({release.service, release.zone});
  if (it == turn.node.granters.end())
    return;
  std::vector<PoisonNotice> notices;
  SendAll(turn, OnSlotRelease(it->second, turn.node.poison, from, release,
                              turn.now, notices));
  SendNotices(turn, notices);
}

void ConfigureGranters(Turn& turn) {
  // A granter that stands before the first request comes does not make it
  // wait for the reports of a take-over.
  for (const auto& [service, it] : turn.node.topology.services) {
    for (const Zone& zone : turn.node.topology.zones) {
      if (zone.region == turn.node.self.region &&
          GranterOf(turn.node, service, zone.id, turn.now) ==
              turn.node.self.id) {
        GranterFor(turn, service, zone.id);
      }
    }
  }
  for (auto& [key, g] : turn.node.granters)
    Configure(turn, g);
}

void SlotsTick(Turn& turn) {
  EntryNode& node = turn.node;
  for (auto it = node.granters.begin(); it != node.granters.end();) {
    Granter& g = it->second;
    SendAll(turn, OnGranterTick(g, node.poison, turn.now));
    const bool granting =
        GranterOf(node, g.service, g.zone, turn.now) == node.self.id;
    if (!granting && g.grants.empty() && !HasWaiting(g))
      it = node.granters.erase(it);
    else
      ++it;
  }
  DropExpired(node.poison, turn.now);
}

void ForgetHost(Turn& turn, const HostId& host) {
  for (auto& [key, g] : turn.node.granters)
    OnHostDied(g, host);
}

}  // namespace sassafras::entry_parts
