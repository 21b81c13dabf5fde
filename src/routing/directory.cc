#include "routing/directory.h"

#include <algorithm>

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
  return Select(hosts, [](const HostNotice&) { return true; });
}

}  // namespace sassafras
