#include "decisions/membership.h"

#include <algorithm>

#include "decisions/rendezvous.h"

namespace sassafras {

namespace {

constexpr char kRelayTopic[] = "relay/";

std::vector<HostId> HostsOfZone(const Membership& m, const ZoneId& zone) {
  std::vector<HostId> out;
  for (const auto& [id, host] : m.listed) {
    if (host.zone == zone)
      out.push_back(id);
  }
  return out;
}

std::set<ZoneId> ZonesOfRegion(const Membership& m, const RegionId& region) {
  std::set<ZoneId> out;
  for (const auto& [id, host] : m.listed) {
    if (host.region == region)
      out.insert(host.zone);
  }
  return out;
}

std::set<RegionId> Regions(const Membership& m) {
  std::set<RegionId> out;
  for (const auto& [id, host] : m.listed)
    out.insert(host.region);
  return out;
}

// The relays of `zone`. While none is known to be live, returns one listed host
// of the zone instead, so that zones find each other at startup and after a
// network partition.
std::vector<HostId> RelaysToContact(const Membership& m,
                                    const ZoneId& zone,
                                    Time now) {
  std::vector<HostId> relays = RelaysOfZone(m, zone, now);
  if (!relays.empty())
    return relays;
  relays = RankHosts(HostsOfZone(m, zone), kRelayTopic + zone.value());
  if (relays.empty())
    return relays;
  // Try another host with each heartbeat, since the first may be dead.
  const size_t turn = m.heartbeats_sent % relays.size();
  return {relays[turn]};
}

// The zone whose relays exchange heartbeats with other regions: the first live
// zone of the region. While none is known to be live, each heartbeat tries
// another one.
ZoneId RepresentativeZone(const Membership& m,
                          const RegionId& region,
                          Time now) {
  const std::set<ZoneId> zones = ZonesOfRegion(m, region);
  for (const ZoneId& it : zones) {
    if (IsZoneLive(m, it, now))
      return it;
  }
  if (zones.empty())
    return ZoneId();
  auto it = zones.begin();
  std::advance(it, m.heartbeats_sent % zones.size());
  return *it;
}

bool RepresentsRegion(const Membership& m, Time now) {
  return RepresentativeZone(m, m.self.region, now) == m.self.zone;
}

std::set<HostId> HeartbeatTargets(const Membership& m, Time now) {
  std::set<HostId> out;
  for (const HostId& it : HostsOfZone(m, m.self.zone))
    out.insert(it);
  if (IsRelay(m, now)) {
    for (const ZoneId& zone : ZonesOfRegion(m, m.self.region)) {
      for (const HostId& it : RelaysToContact(m, zone, now))
        out.insert(it);
    }
    if (RepresentsRegion(m, now)) {
      for (const RegionId& region : Regions(m)) {
        const ZoneId zone = RepresentativeZone(m, region, now);
        for (const HostId& it : RelaysToContact(m, zone, now))
          out.insert(it);
      }
    }
  }
  out.erase(m.self.id);
  return out;
}

ZoneMembership OwnZoneMembership(const Membership& m, Time now) {
  ZoneMembership beat;
  beat.zone = m.self.zone;
  for (const HostId& it : HostsOfZone(m, m.self.zone)) {
    const HostState state = StateOf(m, it, now);
    if (state != HostState::kDead)
      beat.up.push_back(it);
    if (state == HostState::kLeaving)
      beat.leaving.push_back(it);
  }
  return beat;
}

// Adds the host lists of the known zones to a heartbeat. A list that has not
// changed for three periods is reduced to its age unless `all_lists` is set.
void AddZones(const Membership& m, bool all_lists, Time now, Heartbeat& beat) {
  beat.zones.push_back(OwnZoneMembership(m, now));
  const Duration recent = m.limits.heartbeat_period * 3;
  for (const auto& [zone, record] : m.zones) {
    if (now - record.reported_at > m.limits.zone_timeout)
      continue;
    const int64_t age_ms = Millis(now - record.reported_at);
    if (!all_lists && now - record.lists_changed >= recent) {
      beat.ages_ms[zone] = age_ms;
      continue;
    }
    ZoneMembership it;
    it.zone = zone;
    it.age_ms = age_ms;
    it.up.assign(record.up.begin(), record.up.end());
    it.leaving.assign(record.leaving.begin(), record.leaving.end());
    beat.zones.push_back(std::move(it));
  }
}

// Whether a list of that age from `zone` is newer than the recorded one. Sets
// `reported_at` to the time at which the zone sent it.
bool IsNewerReport(const Membership& m,
                   const ZoneId& zone,
                   int64_t age_ms,
                   Time now,
                   Time& reported_at) {
  if (zone == m.self.zone || age_ms < 0)
    return false;
  reported_at = now - std::chrono::milliseconds(age_ms);
  const auto it = m.zones.find(zone);
  return it == m.zones.end() || it->second.reported_at < reported_at;
}

void MergeZoneMembership(Membership& m, const ZoneMembership& beat, Time now) {
  Time reported_at;
  if (!IsNewerReport(m, beat.zone, beat.age_ms, now, reported_at))
    return;
  Membership::ZoneRecord record;
  record.reported_at = reported_at;
  record.up.insert(beat.up.begin(), beat.up.end());
  record.leaving.insert(beat.leaving.begin(), beat.leaving.end());
  record.lists_changed = now;
  const auto it = m.zones.find(beat.zone);
  if (it != m.zones.end() && it->second.up == record.up &&
      it->second.leaving == record.leaving) {
    record.lists_changed = it->second.lists_changed;
  }
  m.zones[beat.zone] = std::move(record);
}

// An age without lists only refreshes lists that are already recorded.
void MergeZoneAge(Membership& m, const ZoneId& zone, int64_t age_ms, Time now) {
  Time reported_at;
  const auto it = m.zones.find(zone);
  if (it != m.zones.end() && IsNewerReport(m, zone, age_ms, now, reported_at))
    it->second.reported_at = reported_at;
}

HostState StateByContact(const Membership& m, const HostId& host, Time now) {
  const auto it = m.contacts.find(host);
  if (it == m.contacts.end() ||
      now - it->second.heard > m.limits.host_timeout) {
    return HostState::kDead;
  }
  return it->second.leaving ? HostState::kLeaving : HostState::kLive;
}

HostState StateByZoneRecord(const Membership& m, const Host& host, Time now) {
  const auto it = m.zones.find(host.zone);
  if (it == m.zones.end() ||
      now - it->second.reported_at > m.limits.zone_timeout)
    return HostState::kDead;
  if (it->second.up.count(host.id) == 0)
    return HostState::kDead;
  return it->second.leaving.count(host.id) ? HostState::kLeaving
                                           : HostState::kLive;
}

}  // namespace

void SetListedHosts(Membership& m, const HostList& list) {
  m.listed.clear();
  for (const Host& it : list.hosts)
    m.listed[it.id] = it;
  m.listed[m.self.id] = m.self;
}

bool OnHeartbeat(Membership& m,
                 const HostId& from,
                 const Heartbeat& beat,
                 Time now) {
  Membership::Contact& contact = m.contacts[from];
  const bool restarted =
      contact.incarnation != 0 && contact.incarnation != beat.incarnation;
  contact.heard = now;
  contact.incarnation = beat.incarnation;
  contact.leaving = beat.leaving;
  contact.digest = beat.digest;
  for (const ZoneMembership& it : beat.zones)
    MergeZoneMembership(m, it, now);
  for (const auto& [zone, age_ms] : beat.ages_ms)
    MergeZoneAge(m, zone, age_ms, now);
  return restarted;
}

std::vector<Envelope> DueHeartbeats(Membership& m, uint64_t digest, Time now) {
  if (now < m.next_heartbeat)
    return {};
  m.next_heartbeat = now + m.limits.heartbeat_period;
  Heartbeat common;
  common.incarnation = m.incarnation;
  common.leaving = m.leaving;
  common.digest = digest;
  Heartbeat full = common;
  const bool all_lists =
      m.heartbeats_sent % m.limits.heartbeats_per_full_list == 0;
  if (IsRelay(m, now))
    AddZones(m, all_lists, now, full);
  std::vector<Envelope> out;
  for (const HostId& it : HeartbeatTargets(m, now))
    out.push_back({it, full});
  ++m.heartbeats_sent;
  return out;
}

std::vector<ZoneMembership> DescribeZones(const Membership& m, Time now) {
  Heartbeat beat;
  AddZones(m, true, now, beat);
  return std::move(beat.zones);
}

HostState StateOf(const Membership& m, const HostId& host, Time now) {
  if (host == m.self.id)
    return m.leaving ? HostState::kLeaving : HostState::kLive;
  const auto it = m.listed.find(host);
  if (it == m.listed.end())
    return HostState::kDead;
  const HostState direct = StateByContact(m, host, now);
  HostState state = direct;
  if (it->second.zone != m.self.zone && direct == HostState::kDead)
    state = StateByZoneRecord(m, it->second, now);
  if (state == HostState::kLive && it->second.leaving)
    return HostState::kLeaving;
  return state;
}

bool IsZoneLive(const Membership& m, const ZoneId& zone, Time now) {
  if (zone == m.self.zone)
    return true;
  const auto it = m.zones.find(zone);
  return it != m.zones.end() && !it->second.up.empty() &&
         now - it->second.reported_at <= m.limits.zone_timeout;
}

std::vector<Host> AnsweringHosts(const Membership& m, Time now) {
  std::vector<Host> out;
  for (const auto& [id, host] : m.listed) {
    if (StateOf(m, id, now) != HostState::kDead)
      out.push_back(host);
  }
  return out;
}

std::vector<Host> LiveHosts(const Membership& m, Time now) {
  std::vector<Host> out;
  for (const auto& [id, host] : m.listed) {
    if (StateOf(m, id, now) == HostState::kLive)
      out.push_back(host);
  }
  return out;
}

std::vector<HostId> LiveHostsOfZone(const Membership& m,
                                    const ZoneId& zone,
                                    Time now) {
  std::vector<HostId> out;
  for (const HostId& it : HostsOfZone(m, zone)) {
    if (StateOf(m, it, now) == HostState::kLive)
      out.push_back(it);
  }
  return out;
}

std::vector<HostId> RelaysOfZone(const Membership& m,
                                 const ZoneId& zone,
                                 Time now) {
  std::vector<HostId> live = LiveHostsOfZone(m, zone, now);
  // A zone in which all hosts are leaving still needs relays.
  if (live.empty() && zone == m.self.zone)
    live.push_back(m.self.id);
  std::vector<HostId> ranked = RankHosts(live, kRelayTopic + zone.value());
  if (ranked.size() > m.limits.relays)
    ranked.resize(m.limits.relays);
  return ranked;
}

bool IsRelay(const Membership& m, Time now) {
  const std::vector<HostId> relays = RelaysOfZone(m, m.self.zone, now);
  return std::find(relays.begin(), relays.end(), m.self.id) != relays.end();
}

bool IsZoneReporter(const Membership& m, Time now) {
  const std::vector<HostId> relays = RelaysOfZone(m, m.self.zone, now);
  return !relays.empty() && relays.front() == m.self.id;
}

bool HearsMajorityOfRegion(const Membership& m,
                           const RegionId& region,
                           Time now) {
  size_t listed = 0;
  size_t heard = 0;
  for (const auto& [id, host] : m.listed) {
    if (host.region != region)
      continue;
    ++listed;
    if (StateOf(m, id, now) != HostState::kDead)
      ++heard;
  }
  return heard * 2 > listed;
}

}  // namespace sassafras
