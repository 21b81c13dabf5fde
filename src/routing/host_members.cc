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

std::vector<HostNotice> NoticesToSend(const HostMembers& members, Time now) {
  std::vector<HostNotice> out = {members.self};
  for (const auto& [id, member] : members.others) {
    // The count of a silent host says nothing new.
    if (IsAlive(member, now))
      out.push_back(member.notice);
  }
  return out;
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
  return std::any_of(members.others.begin(), members.others.end(),
                     [&](const auto& it) {
                       return it.second.notice.ip == ip &&
                              IsAlive(it.second, now);
                     });
}

}  // namespace

bool IsAlive(const Member& member, Time now) {
  return now - member.heard < kHostSilence;
}

GossipRound NextRound(HostMembers& members,
                      const std::vector<std::string>& seed_ips,
                      Time now) {
  Forget(members, now);
  ++members.self.beat;
  GossipRound round;
  std::vector<std::string> alive;
  std::vector<std::string> silent;
  for (const auto& [id, member] : members.others)
    (IsAlive(member, now) ? alive : silent).push_back(member.notice.ip);
  // Only the chosen ones need an order.
  std::sort(alive.begin(), alive.end());
  std::shuffle(alive.begin(), alive.end(), members.random);
  alive.resize(std::min(alive.size(), kGossipFanout));
  round.to_ips = std::move(alive);
  if (!silent.empty())
    round.to_ips.push_back(silent[members.random() % silent.size()]);
  for (const std::string& it : seed_ips) {
    if (!IsKnown(members, it, now))
      round.to_ips.push_back(it);
  }
  round.notices = NoticesToSend(members, now);
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
  round.notices = {members.self};
  return round;
}

std::vector<HostId> OnNotices(HostMembers& members,
                              const std::vector<HostNotice>& notices,
                              Time now) {
  std::vector<HostId> back;
  for (const HostNotice& it : notices) {
    if (it.id == members.self.id)
      continue;
    const auto known = members.others.find(it.id);
    if (known == members.others.end()) {
      members.others[it.id] = {it, now};
      back.push_back(it.id);
      continue;
    }
    Member& member = known->second;
    if (!IsNewer(it, member.notice))
      continue;
    if (!IsAlive(member, now))
      back.push_back(it.id);
    member.notice = it;
    member.heard = now;
  }
  return back;
}

void Introduce(HostMembers& members, const HostNotice& notice, Time now) {
  if (notice.id == members.self.id || members.others.count(notice.id) > 0)
    return;
  // Its record may be old: it counts as silent until it is heard.
  members.others[notice.id] = {notice, now - kHostSilence};
}

size_t CountAlive(const HostMembers& members, Time now) {
  return 1 + static_cast<size_t>(std::count_if(
                 members.others.begin(), members.others.end(),
                 [&](const auto& it) { return IsAlive(it.second, now); }));
}

std::vector<uint64_t> AliveHashes(const HostMembers& members, Time now) {
  std::vector<uint64_t> out = {HashText(members.self.id.value())};
  for (const auto& [id, member] : members.others) {
    if (IsAlive(member, now))
      out.push_back(HashText(id.value()));
  }
  return out;
}

}  // namespace sassafras
