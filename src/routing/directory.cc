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

// Time for the hosts of a region to stop in order and start again.
constexpr Duration kMaxRestartTime = std::chrono::seconds(10);

// Whether the region has hosts that were heard lately, all of which are
// stopping in order or starting, so that it will soon have ready ones again.
bool IsRestarting(const DirectoryView& view, const RegionId& region, Time now) {
  bool has_hosts = false;
  for (const auto& [id, member] : view.members->others) {
    // A host that is only known by its record was never heard.
    if (RegionOf(view, member.notice.zone) != region ||
        member.notice.heartbeat == 0)
      continue;
    if (member.notice.phase == HostPhase::kReady)
      return false;
    has_hosts = has_hosts || now - member.heard < kMaxRestartTime;
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
  if (!found.empty())
    return found;
  const bool has_homes =
      !view.config || AllHomes(*view.config, query.host_name).is_bound;
  if (has_homes && !view.knows_hosts && !region.empty())
    return found;
  if (has_homes && view.config) {
    const auto select_homes = [&](const HomeRegions& homes) {
      return Select(hosts, [&](const HostNotice& it) {
        return IsHome(homes, RegionOf(view, it.zone));
      });
    };
    found = select_homes(CommonHomes(*view.config, query.host_name));
    if (!found.empty() || IsRestarting(view, region, now))
      return found;
    found = select_homes(AllHomes(*view.config, query.host_name));
    if (!found.empty())
      return found;
  }
  return Select(hosts, [](const HostNotice&) { return true; });
}

}  // namespace sassafras
