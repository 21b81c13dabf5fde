#include "routing/host_contact.h"

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

bool IsRecent(const HostContact& contact, Time at, Time now) {
  return at > contact.distrust_until && now - at < kMaxStateAge;
}

// Whether the state is not confirmed because of the store and not because of
// this host. A host that was never confirmed must have tried by itself, since
// the relays that it hears may be those that are cut off.
bool IsStoreOutage(const HostContact& contact,
                   const HostMembers& members,
                   Time now) {
  const bool has_failed = IsRecent(contact, contact.store_failed, now);
  const bool hears_hosts =
      IsConfirmed(contact) && IsRecent(contact, contact.host_heard, now);
  return (has_failed || hears_hosts) &&
         2 * CountReady(members, now) > contact.hosts_at_confirmation;
}

}  // namespace

void OnActivity(HostContact& contact, Time now) {
  if (now - contact.active_at > kMaxActivityGap)
    contact.distrust_until = now + kDistrustTime;
  contact.active_at = now;
}

void OnConfirmed(HostContact& contact,
                 const HostMembers& members,
                 Duration age,
                 Time now) {
  if (now <= contact.distrust_until || now - age <= contact.confirmed_at)
    return;
  contact.confirmed_at = now - age;
  if (age < kMaxStateAge)
    contact.hosts_at_confirmation = CountReady(members, now);
}

void OnHostHeard(HostContact& contact, Time now) {
  contact.host_heard = now;
}

void OnStoreFailed(HostContact& contact, Time now) {
  contact.store_failed = now;
}

bool IsConfirmed(const HostContact& contact) {
  return contact.confirmed_at >= contact.started;
}

StateKnowledge KnowledgeOfState(const HostContact& contact,
                                const HostMembers& members,
                                Time now) {
  if (now - contact.active_at > kMaxActivityGap ||
      now <= contact.distrust_until)
    return StateKnowledge::kWaking;
  if (members.self.config_version < NewestKnownVersion(members))
    return StateKnowledge::kOutdated;
  if (IsConfirmed(contact) && now - contact.confirmed_at < kMaxStateAge)
    return StateKnowledge::kCurrent;
  if (IsStoreOutage(contact, members, now))
    return StateKnowledge::kCurrent;
  return IsConfirmed(contact) ? StateKnowledge::kCutOff
                              : StateKnowledge::kUnconfirmed;
}

}  // namespace sassafras
