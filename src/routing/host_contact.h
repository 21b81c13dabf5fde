// Whether a host can know the state in effect, that is, the newest
// configuration and endpoint records.
//
// A host that starts, is cut off, or wakes from a freeze, goes on with the
// state that it has; that is right for most of it, but not for home regions.
// Its state is known to be current by an answer of the store to a follower, or
// by a relay that passes such an answer on. What the host read before it froze
// proves nothing about the time after.
//
// An outage of the store, during which nothing changes, must not look like a
// cut: a host that hears most of the hosts that it knew is not cut off.
#ifndef ROUTING_HOST_CONTACT_H_
#define ROUTING_HOST_CONTACT_H_

#include <cstddef>

#include "base/names_table.h"
#include "base/time.h"
#include "routing/host_members.h"

namespace sassafras {

struct HostContact {
  Time started;
  // The state includes all changes before this time.
  Time confirmed_at;
  // Live, ready hosts, including this one, at the last confirmation.
  size_t hosts_at_confirmation = 0;
  Time host_heard;    // A message of another host arrived.
  Time store_failed;  // A call to the store failed.
  // When OnActivity() was last called.
  Time active_at;
  // After a gap in this host's activity, messages that arrived until then may
  // be from before it.
  Time distrust_until;
};

// A state that was last confirmed this long ago may be outdated. Spans the
// longest wait of a watch.
inline constexpr Duration kMaxStateAge = std::chrono::milliseconds(2500);
// A host that was not active for this long was frozen or starved.
inline constexpr Duration kMaxActivityGap = std::chrono::milliseconds(1000);
// Time in which messages from before a gap are read, and new ones arrive.
inline constexpr Duration kDistrustTime = std::chrono::milliseconds(400);

enum class StateKnowledge {
  kCurrent,      // As far as this host can know.
  kUnconfirmed,  // It may be older than this host's start.
  kOutdated,     // Another host has a newer configuration.
  kWaking,       // This host was frozen just now.
  kCutOff,       // Changes may have been missed for a longer time.
};

template <>
struct NamesTable<StateKnowledge> {
  static constexpr EnumName<StateKnowledge> kNames[] = {
      {StateKnowledge::kCurrent, "current"},
      {StateKnowledge::kUnconfirmed, "unconfirmed"},
      {StateKnowledge::kOutdated, "outdated"},
      {StateKnowledge::kWaking, "waking"},
      {StateKnowledge::kCutOff, "cut_off"},
  };
};

// Must be called before what arrives is taken into account, and at least once
// in kMaxActivityGap.
void OnActivity(HostContact& contact, Time now);
// The state has been current for `age`.
void OnConfirmed(HostContact& contact,
                 const HostMembers& members,
                 Duration age,
                 Time now);
void OnHostHeard(HostContact& contact, Time now);
void OnStoreFailed(HostContact& contact, Time now);

// Whether the state is at least as new as this host's start.
bool IsConfirmed(const HostContact& contact);

StateKnowledge KnowledgeOfState(const HostContact& contact,
                                const HostMembers& members,
                                Time now);

}  // namespace sassafras

#endif  // ROUTING_HOST_CONTACT_H_
