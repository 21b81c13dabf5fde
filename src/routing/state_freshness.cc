#include "routing/state_freshness.h"

#include <algorithm>

namespace sassafras {

namespace {

size_t CountReady(const HostMembers& members, Time now) {
  return 1 +
         static_cast<size_t>(std::count_if(
             members.others.begin(), members.others.end(), [&](const auto& it) {
               return IsAlive(it.second, now) &&
                      it.second.notice.phase == HostPhase::kReady;
             }));
}

bool IsRecent(const StateFreshness& freshness, Time at, Time now) {
  return at > freshness.untrusted_until && now - at < kMaxStateAge;
}

// Whether the state is not confirmed because of the store and not because of
// this host. A host that was never confirmed must have tried by itself, since
// the relays that it hears may be those that are cut off.
bool IsStoreOutage(const StateFreshness& freshness,
                   const HostMembers& members,
                   Time now) {
  const bool has_failed = IsRecent(freshness, freshness.store_failed, now);
  const bool hears_hosts =
      IsConfirmed(freshness) && IsRecent(freshness, freshness.host_heard, now);
  return (has_failed || hears_hosts) &&
         2 * CountReady(members, now) > freshness.hosts_at_confirmation;
}

}  // namespace

void OnActivity(StateFreshness& freshness, Time now) {
  if (now - freshness.active_at > kMaxActivityGap)
    freshness.untrusted_until = now + kResumeTime;
  freshness.active_at = now;
}

void OnConfirmed(StateFreshness& freshness,
                 const HostMembers& members,
                 Duration age,
                 Time now) {
  if (now <= freshness.untrusted_until || now - age <= freshness.confirmed_at)
    return;
  freshness.confirmed_at = now - age;
  if (age < kMaxStateAge)
    freshness.hosts_at_confirmation = CountReady(members, now);
}

void OnHostHeard(StateFreshness& freshness, Time now) {
  freshness.host_heard = now;
}

void OnStoreFailed(StateFreshness& freshness, Time now) {
  freshness.store_failed = now;
}

bool IsConfirmed(const StateFreshness& freshness) {
  return freshness.confirmed_at >= freshness.started;
}

Freshness FreshnessOf(const StateFreshness& freshness,
                      const HostMembers& members,
                      Time now) {
  if (now - freshness.active_at > kMaxActivityGap ||
      now <= freshness.untrusted_until)
    return Freshness::kResumed;
  if (members.self.config_version < NewestKnownVersion(members))
    return Freshness::kOutdated;
  if (IsConfirmed(freshness) && now - freshness.confirmed_at < kMaxStateAge)
    return Freshness::kCurrent;
  if (IsStoreOutage(freshness, members, now))
    return Freshness::kCurrent;
  return IsConfirmed(freshness) ? Freshness::kPartitioned
                                : Freshness::kUnconfirmed;
}

}  // namespace sassafras
