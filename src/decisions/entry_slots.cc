#include <algorithm>
#include <utility>

#include "decisions/entry_parts.h"
#include "decisions/rendezvous.h"

namespace sassafras::entry_parts {

namespace {

std::string SlotTopic(const ServiceId& service, const ZoneId& zone) {
  return "slots/" + service.value() + "/" + zone.value();
}

// Hosts that may grant for the zone: the live hosts of the zone, otherwise
// those of its region, otherwise all live hosts.
std::vector<HostId> GrantCandidates(const EntryNode& node,
                                    const ZoneId& zone,
                                    Time now) {
  const Membership& m = node.membership;
  std::vector<HostId> out = LiveHostsOfZone(m, zone, now);
  if (!out.empty())
    return out;
  const RegionId* region = RegionOfZone(node.topology, zone);
  std::vector<HostId> all_live;
  for (const Host& it : LiveHosts(m, now)) {
    all_live.push_back(it.id);
    if (region && it.region == *region)
      out.push_back(it.id);
  }
  return out.empty() ? all_live : out;
}

void Configure(const EventRun& run, Granter& g) {
  const EntryNode& node = run.node;
  const auto plan = node.plans.find(g.service);
  if (plan != node.plans.end())
    g.least_shares = plan->second.least_shares;
  g.headroom = HeadroomOf(node.intent, g.region);
  const bool zone_is_live = IsZoneLive(node.membership, g.zone, run.now);
  g.slot_share = zone_is_live ? 1.0 : node.limits.unheard_zone_slot_share;
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
  SetEndpoints(g, own, run.now);
}

Granter& GetOrCreateGranter(EventRun& run,
                            const ServiceId& service,
                            const ZoneId& zone) {
  const auto [it, added] =
      run.node.granters.try_emplace(std::make_pair(service, zone));
  Granter& g = it->second;
  if (!added)
    return g;
  g.service = service;
  g.zone = zone;
  const RegionId* region = RegionOfZone(run.node.topology, zone);
  g.region = region ? *region : RegionId();
  g.active_since = run.now;
  // A new granter has no grants yet, so it can be configured here and does not
  // have to wait for the next ConfigureGranters().
  Configure(run, g);
  return g;
}

void SendNotices(EventRun& run, const std::vector<PoisonNotice>& notices) {
  for (const PoisonNotice& notice : notices) {
    Log(run, "poison",
        "Endpoint crashed while running a request. fingerprint=" +
            std::to_string(notice.fingerprint.value()) +
            " deaths=" + std::to_string(notice.died.size()));
    for (const Host& it : AnsweringHosts(run.node.membership, run.now)) {
      if (it.id != run.node.self.id)
        Send(run, it.id, notice);
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
  // A host that knows of no live host is the granter itself.
  if (host.empty())
    host = node.self.id;
  cache[key] = host;
  return host;
}

void HandleSlotRequest(EventRun& run,
                       const HostId& from,
                       const SlotRequest& request) {
  if (run.node.topology.services.count(request.service) == 0)
    return;
  Granter& g = GetOrCreateGranter(run, request.service, request.zone);
  SendAll(run, OnSlotRequest(g, run.node.poison, from, request, run.now));
}

void HandleSlotRelease(EventRun& run,
                       const HostId& from,
                       const SlotRelease& release) {
  const auto it = run.node.granters.find({release.service, release.zone});
  if (it == run.node.granters.end())
    return;
  std::vector<PoisonNotice> notices;
  SendAll(run, OnSlotRelease(it->second, run.node.poison, from, release,
                             run.now, notices));
  SendNotices(run, notices);
}

void ConfigureGranters(EventRun& run) {
  // The granters of this region's zones are created before their first
  // request. That request would otherwise wait for `takeover_pause`, the time
  // in which entry hosts report their running requests to a new granter.
  for (const auto& [service, it] : run.node.topology.services) {
    for (const Zone& zone : run.node.topology.zones) {
      if (zone.region == run.node.self.region &&
          GranterOf(run.node, service, zone.id, run.now) == run.node.self.id) {
        GetOrCreateGranter(run, service, zone.id);
      }
    }
  }
  for (auto& [key, g] : run.node.granters)
    Configure(run, g);
}

void SlotsTick(EventRun& run) {
  EntryNode& node = run.node;
  for (auto it = node.granters.begin(); it != node.granters.end();) {
    Granter& g = it->second;
    SendAll(run, OnGranterTick(g, node.poison, run.now));
    const bool granting =
        GranterOf(node, g.service, g.zone, run.now) == node.self.id;
    if (!granting && g.grants.empty() && !HasWaiting(g))
      it = node.granters.erase(it);
    else
      ++it;
  }
  DropExpired(node.poison, run.now);
}

void DropStateOfHost(EventRun& run, const HostId& host) {
  for (auto& [key, g] : run.node.granters)
    OnHostDied(g, host);
}

}  // namespace sassafras::entry_parts
