#include "routing/directory.h"

#include <algorithm>

#include "routing/home_regions.h"

namespace sassafras {

namespace {

RegionId RegionOf(const DirectoryView& view, const ZoneId& zone) {
  const auto it = view.regions->find(zone);
  return it == view.regions->end() ? RegionId() : it->second;
}

std::vector<const HostNotice*> ReadyHosts(const HostMembers& members,
                                          Time now) {
  std::vector<const HostNotice*> out;
  if (members.self.phase == HostPhase::kReady)
    out.push_back(&members.self);
  for (const auto& [id, member] : members.others) {
    if (IsAlive(member, now) && member.notice.phase == HostPhase::kReady)
      out.push_back(&member.notice);
  }
  std::sort(
      out.begin(), out.end(),
      [](const HostNotice* a, const HostNotice* b) { return a->id < b->id; });
  return out;
}

// Whether the region has known hosts, all of which have left in order or are
// starting, so that it will soon have ready ones again.
bool IsAwayForAMoment(const DirectoryView& view, const RegionId& region) {
  bool has_hosts = false;
  for (const auto& [id, member] : view.members->others) {
    if (RegionOf(view, member.notice.zone) != region)
      continue;
    if (member.notice.phase == HostPhase::kReady)
      return false;
    has_hosts = true;
  }
  return has_hosts;
}

template <typename Predicate>
std::vector<Address> Select(const std::vector<const HostNotice*>& hosts,
                            Predicate matches) {
  std::vector<Address> out;
  for (const HostNotice* it : hosts) {
    if (matches(*it) && out.size() < kMaxAddresses)
      out.push_back({it->ip, it->caller_port});
  }
  return out;
}

}  // namespace

std::vector<Address> FindHosts(const DirectoryView& view,
                               const DirectoryQuery& query,
                               Time now) {
  const auto hosts = ReadyHosts(*view.members, now);
  auto found = Select(
      hosts, [&](const HostNotice& it) { return it.zone == query.zone; });
  if (found.size() >= kMinZoneHosts)
    return found;
  const RegionId region =
      query.region.empty() ? RegionOf(view, query.zone) : query.region;
  found = Select(hosts, [&](const HostNotice& it) {
    return RegionOf(view, it.zone) == region;
  });
  if (!found.empty() || !view.knows_hosts)
    return found;
  const HomeRegions homes =
      view.config ? CommonHomes(*view.config, query.host_name) : HomeRegions();
  if (homes.is_bound) {
    found = Select(hosts, [&](const HostNotice& it) {
      return IsHome(homes, RegionOf(view, it.zone));
    });
    if (!found.empty() || IsAwayForAMoment(view, region))
      return found;
  }
  return Select(hosts, [](const HostNotice&) { return true; });
}

}  // namespace sassafras
