#include "routing/host_members.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "base/hash.h"

namespace sassafras {

namespace {

bool IsNewer(const HostNotice& a, const HostNotice& b) {
  return std::tie(a.incarnation, a.heartbeat) >
         std::tie(b.incarnation, b.heartbeat);
}

// Compares the fields whose changes other hosts pass on as full notices. Fields
// such as the configuration's version may change every second, which would make
// all notices be sent in full; they are spread by the host itself and by full
// syncs.
bool HasSameState(const HostNotice& a, const HostNotice& b) {
  return a.incarnation == b.incarnation && a.phase == b.phase &&
         a.reaches_store == b.reaches_store && a.ip == b.ip;
}

// Full notices of hosts that changed lately, heartbeats of the others.
GossipMessage RoundMessage(const HostMembers& members, Time now) {
  GossipMessage out;
  out.notices.push_back(members.self);
  out.demands = members.own_demands;
  for (const auto& [id, member] : members.others) {
    // The heartbeat of a host that has timed out has not changed.
    if (!IsAlive(member, now))
      continue;
    if (now - member.changed < kFullNoticeTime)
      out.notices.push_back(member.notice);
    else
      out.heartbeats.push_back({ShortHash(id), member.notice.heartbeat});
  }
  return out;
}

uint64_t RoundsPerFullSync(size_t hosts) {
  return std::max<uint64_t>(kMinRoundsPerFullSync,
                            hosts / kHostsPerFullSyncRound);
}

// Returns up to `n` of `ips` at random.
std::vector<std::string> Sample(std::vector<std::string> ips,
                                size_t n,
                                std::mt19937_64& random) {
  // Makes the sample independent of the order of the unordered map.
  std::sort(ips.begin(), ips.end());
  std::shuffle(ips.begin(), ips.end(), random);
  ips.resize(std::min(ips.size(), n));
  return ips;
}

RegionId RegionOf(const std::map<ZoneId, RegionId>& regions,
                  const ZoneId& zone) {
  const auto it = regions.find(zone);
  return it == regions.end() ? RegionId() : it->second;
}

void ExpireHosts(HostMembers& members, Time now) {
  for (auto it = members.others.begin(); it != members.others.end();) {
    if (now - it->second.heard > kHostRetention)
      it = members.others.erase(it);
    else
      ++it;
  }
}

bool HasAliveHostAt(const HostMembers& members,
                    const std::string& ip,
                    Time now) {
  if (ip == members.self.ip)
    return true;
  return std::any_of(
      members.others.begin(), members.others.end(), [&](const auto& it) {
        return it.second.notice.ip == ip && IsAlive(it.second, now);
      });
}

void UpdateDemands(HostMembers& members,
                   const GossipMessage& message,
                   Time now) {
  if (message.notices.empty())
    return;
  const auto sender = members.others.find(message.notices.front().id);
  if (sender == members.others.end() || message.demands.empty())
    return;
  sender->second.demands = message.demands;
  sender->second.demands_heard = now;
}

}  // namespace

bool IsAlive(const Member& member, Time now) {
  return now - member.heard < kHostTimeout;
}

uint32_t ShortHash(const HostId& id) {
  return static_cast<uint32_t>(HashText(id.value()));
}

uint32_t ShortHash(const ServiceId& id) {
  return static_cast<uint32_t>(HashText(id.value()));
}

GossipMessage FullSyncMessage(const HostMembers& members, Time now) {
  GossipMessage out;
  out.notices.push_back(members.self);
  for (const auto& [id, member] : members.others) {
    if (IsAlive(member, now))
      out.notices.push_back(member.notice);
  }
  return out;
}

GossipRound NextRound(HostMembers& members,
                      const std::vector<std::string>& seed_ips,
                      const std::map<ZoneId, RegionId>& regions,
                      Time now) {
  ExpireHosts(members, now);
  ++members.self.heartbeat;
  GossipRound round;
  std::vector<std::string> same_region;
  std::vector<std::string> other_regions;
  std::vector<std::string> silent;
  const RegionId own = RegionOf(regions, members.self.zone);
  for (const auto& [id, member] : members.others) {
    const bool is_same_region = RegionOf(regions, member.notice.zone) == own;
    auto& list = !IsAlive(member, now) ? silent
                 : is_same_region      ? same_region
                                       : other_regions;
    list.push_back(member.notice.ip);
  }
  const bool sends_cross_region =
      members.random() % (same_region.size() + 1) < kCrossRegionSenders;
  round.to_ips =
      Sample(std::move(other_regions),
             sends_cross_region ? kMaxCrossRegionFanout : 0, members.random);
  for (std::string& it :
       Sample(std::move(same_region), kGossipFanout - round.to_ips.size(),
              members.random))
    round.to_ips.push_back(std::move(it));
  const bool is_full_sync_round =
      members.self.heartbeat % RoundsPerFullSync(members.others.size() + 1) ==
      0;
  if (is_full_sync_round && !round.to_ips.empty()) {
    round.full_sync_to_ip = round.to_ips.back();
    round.to_ips.pop_back();
    round.full_sync = FullSyncMessage(members, now);
  }
  if (!silent.empty())
    round.to_ips.push_back(silent[members.random() % silent.size()]);
  for (const std::string& it : seed_ips) {
    if (!HasAliveHostAt(members, it, now))
      round.to_ips.push_back(it);
  }
  round.message = RoundMessage(members, now);
  return round;
}

GossipRound UrgentRound(HostMembers& members, Time now) {
  ++members.self.heartbeat;
  GossipRound round;
  for (const auto& [id, member] : members.others) {
    if (IsAlive(member, now))
      round.to_ips.push_back(member.notice.ip);
  }
  // Only this host has changed; the notices of others can wait.
  round.message.notices = {members.self};
  return round;
}

GossipResult OnGossip(HostMembers& members,
                      const GossipMessage& message,
                      Time now) {
  GossipResult result;
  if (!message.notices.empty()) {
    const HostNotice& sender = message.notices.front();
    const auto known = members.others.find(sender.id);
    result.is_sender_new =
        sender.id != members.self.id &&
        (known == members.others.end() ||
         known->second.notice.incarnation < sender.incarnation);
  }
  for (const HostNotice& it : message.notices) {
    if (it.id == members.self.id)
      continue;
    const auto known = members.others.find(it.id);
    if (known == members.others.end()) {
      members.others[it.id] = {it, now, now, {}, {}};
      result.appeared.push_back(it.id);
      continue;
    }
    Member& member = known->second;
    if (!IsNewer(it, member.notice))
      continue;
    if (!IsAlive(member, now))
      result.appeared.push_back(it.id);
    if (!HasSameState(it, member.notice))
      member.changed = now;
    member.notice = it;
    member.heard = now;
  }
  UpdateDemands(members, message, now);
  std::unordered_map<uint32_t, uint64_t> heartbeats;
  for (const HeartbeatNotice& it : message.heartbeats)
    heartbeats[it.id_hash] = it.heartbeat;
  for (auto& [id, member] : members.others) {
    const auto it = heartbeats.find(ShortHash(id));
    // A heartbeat does not name its incarnation, so it may be one from before a
    // restart: it must not bring back a host that has timed out.
    if (it == heartbeats.end() || it->second <= member.notice.heartbeat ||
        !IsAlive(member, now))
      continue;
    member.notice.heartbeat = it->second;
    member.heard = now;
  }
  return result;
}

void AddDiscoveredHost(HostMembers& members,
                       const HostNotice& notice,
                       Time now) {
  if (notice.id == members.self.id || members.others.count(notice.id) > 0)
    return;
  // The record may be old: the host counts as timed out until it is heard.
  members.others[notice.id] = {notice, now - kHostTimeout, now, {}, {}};
}

size_t CountAlive(const HostMembers& members, Time now) {
  return 1 + static_cast<size_t>(std::count_if(
                 members.others.begin(), members.others.end(),
                 [&](const auto& it) { return IsAlive(it.second, now); }));
}

std::vector<uint64_t> KnownHostHashes(const HostMembers& members) {
  std::vector<uint64_t> out = {HashText(members.self.id.value())};
  for (const auto& [id, member] : members.others)
    out.push_back(HashText(id.value()));
  return out;
}

bool KnowsHosts(const HostMembers& members, Time now) {
  return now - members.started >= kHostTimeout;
}

uint64_t NewestKnownVersion(const HostMembers& members) {
  uint64_t newest = members.self.config_version;
  for (const auto& [id, member] : members.others)
    newest = std::max(newest, member.notice.config_version);
  return newest;
}

std::optional<size_t> CountKnownHosts(const HostMembers& members, Time now) {
  if (!KnowsHosts(members, now))
    return std::nullopt;
  return members.others.size() + 1;
}

}  // namespace sassafras
