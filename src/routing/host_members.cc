#include "routing/host_members.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "base/hash.h"

namespace sassafras {

namespace {

bool IsNewer(const HostNotice& a, const HostNotice& b) {
  return std::tie(a.incarnation, a.beat) > std::tie(b.incarnation, b.beat);
}

bool IsSameButForBeat(const HostNotice& a, const HostNotice& b) {
  return a.incarnation == b.incarnation && a.phase == b.phase &&
         a.reaches_store == b.reaches_store && a.ip == b.ip;
}

// Whole notices of what has changed lately, counts of all others.
GossipMessage MessageToSend(const HostMembers& members, Time now) {
  GossipMessage out;
  out.notices.push_back(members.self);
  out.demands = members.own_demands;
  for (const auto& [id, member] : members.others) {
    // The count of a silent host says nothing new.
    if (!IsAlive(member, now))
      continue;
    if (now - member.changed < kNewsTime)
      out.notices.push_back(member.notice);
    else
      out.beats.push_back({ShortHash(id), member.notice.beat});
  }
  return out;
}

uint64_t WholeRounds(size_t hosts) {
  return std::max<uint64_t>(kFewestWholeRounds, hosts / kHostsPerWholeRound);
}

// Takes up to `n` of `ips` at random.
std::vector<std::string> Sample(std::vector<std::string> ips,
                                size_t n,
                                std::mt19937_64& random) {
  // The map's order must not matter.
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

void Forget(HostMembers& members, Time now) {
  for (auto it = members.others.begin(); it != members.others.end();) {
    if (now - it->second.heard > kHostForgotten)
      it = members.others.erase(it);
    else
      ++it;
  }
}

bool IsKnown(const HostMembers& members, const std::string& ip, Time now) {
  if (ip == members.self.ip)
    return true;
  return std::any_of(
      members.others.begin(), members.others.end(), [&](const auto& it) {
        return it.second.notice.ip == ip && IsAlive(it.second, now);
      });
}

void TakeDemands(HostMembers& members, const GossipMessage& message, Time now) {
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
  return now - member.heard < kHostSilence;
}

uint32_t ShortHash(const HostId& id) {
  return static_cast<uint32_t>(HashText(id.value()));
}

uint32_t ShortHash(const ServiceId& id) {
  return static_cast<uint32_t>(HashText(id.value()));
}

GossipMessage WholeMessage(const HostMembers& members, Time now) {
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
  Forget(members, now);
  ++members.self.beat;
  GossipRound round;
  std::vector<std::string> near;
  std::vector<std::string> far;
  std::vector<std::string> silent;
  const RegionId own = RegionOf(regions, members.self.zone);
  for (const auto& [id, member] : members.others) {
    const bool is_near = RegionOf(regions, member.notice.zone) == own;
    auto& list = !IsAlive(member, now) ? silent : is_near ? near : far;
    list.push_back(member.notice.ip);
  }
  const bool is_far_turn = members.random() % (near.size() + 1) < kFarSenders;
  round.to_ips =
      Sample(std::move(far), is_far_turn ? kFarFanout : 0, members.random);
  for (std::string& it :
       Sample(std::move(near), kGossipFanout - round.to_ips.size(),
              members.random))
    round.to_ips.push_back(std::move(it));
  const bool is_whole_turn =
      members.self.beat % WholeRounds(members.others.size() + 1) == 0;
  if (is_whole_turn && !round.to_ips.empty()) {
    round.whole_to_ip = round.to_ips.back();
    round.to_ips.pop_back();
    round.whole = WholeMessage(members, now);
  }
  if (!silent.empty())
    round.to_ips.push_back(silent[members.random() % silent.size()]);
  for (const std::string& it : seed_ips) {
    if (!IsKnown(members, it, now))
      round.to_ips.push_back(it);
  }
  round.message = MessageToSend(members, now);
  return round;
}

GossipRound UrgentRound(HostMembers& members, Time now) {
  ++members.self.beat;
  GossipRound round;
  for (const auto& [id, member] : members.others) {
    if (IsAlive(member, now))
      round.to_ips.push_back(member.notice.ip);
  }
  // The news is this host's; what it knows of others can wait.
  round.message.notices = {members.self};
  return round;
}

GossipNews OnGossip(HostMembers& members,
                    const GossipMessage& message,
                    Time now) {
  GossipNews news;
  if (!message.notices.empty()) {
    const HostNotice& sender = message.notices.front();
    const auto known = members.others.find(sender.id);
    news.is_sender_new =
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
      news.back.push_back(it.id);
      continue;
    }
    Member& member = known->second;
    if (!IsNewer(it, member.notice))
      continue;
    if (!IsAlive(member, now))
      news.back.push_back(it.id);
    if (!IsSameButForBeat(it, member.notice))
      member.changed = now;
    member.notice = it;
    member.heard = now;
  }
  TakeDemands(members, message, now);
  std::unordered_map<uint32_t, uint64_t> beats;
  for (const BeatNotice& it : message.beats)
    beats[it.id_hash] = it.beat;
  for (auto& [id, member] : members.others) {
    const auto it = beats.find(ShortHash(id));
    // A count of an earlier start says nothing about a host that came back.
    if (it == beats.end() || it->second <= member.notice.beat ||
        !IsAlive(member, now))
      continue;
    member.notice.beat = it->second;
    member.heard = now;
  }
  return news;
}

void Introduce(HostMembers& members, const HostNotice& notice, Time now) {
  if (notice.id == members.self.id || members.others.count(notice.id) > 0)
    return;
  // Its record may be old: it counts as silent until it is heard.
  members.others[notice.id] = {notice, now - kHostSilence, now, {}, {}};
}

size_t CountAlive(const HostMembers& members, Time now) {
  return 1 + static_cast<size_t>(std::count_if(
                 members.others.begin(), members.others.end(),
                 [&](const auto& it) { return IsAlive(it.second, now); }));
}

std::vector<uint64_t> SharingHashes(const HostMembers& members) {
  std::vector<uint64_t> out = {HashText(members.self.id.value())};
  for (const auto& [id, member] : members.others)
    out.push_back(HashText(id.value()));
  return out;
}

bool KnowsHosts(const HostMembers& members, Time now) {
  return now - members.started >= kHostSilence;
}

std::optional<size_t> CountSharing(const HostMembers& members, Time now) {
  if (!KnowsHosts(members, now))
    return std::nullopt;
  return members.others.size() + 1;
}

}  // namespace sassafras
