// Freshness of a host's state: whether its configuration and endpoint records
// may be older than those in effect.
//
// A host that starts, is partitioned from the others, or resumes after a
// suspension goes on with the state that it has. For most decisions that is
// right, but not for home regions. An answer of the store to one of this host's
// watches confirms the state, or a relay that passes such an answer on; what
// was received before a suspension confirms nothing about the time after it.
//
// An outage of the store, during which nothing changes, must not be taken for a
// partition: the host then still hears most of the hosts that it knew.
#ifndef ROUTING_STATE_FRESHNESS_H_
#define ROUTING_STATE_FRESHNESS_H_

#include <cstddef>

#include "base/names_table.h"
#include "base/time.h"
#include "routing/host_members.h"

namespace sassafras {

struct StateFreshness {
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
  Time untrusted_until;
};

// A state that was last confirmed this long ago may be outdated. Spans the
// longest wait of a watch.
inline constexpr Duration kMaxStateAge = std::chrono::milliseconds(2500);
// A host that was not active for this long was suspended or got no CPU time.
inline constexpr Duration kMaxActivityGap = std::chrono::milliseconds(1000);
// Time after a gap in which messages from before it are read and new ones
// arrive.
inline constexpr Duration kResumeTime = std::chrono::milliseconds(400);

enum class Freshness {
  kCurrent,      // As far as this host can know.
  kUnconfirmed,  // It may be older than this host's start.
  kOutdated,     // Another host has a newer configuration.
  kResumed,      // This host was suspended until just now.
  kPartitioned,  // Changes may have been missed for a longer time.
};

template <>
struct NamesTable<Freshness> {
  static constexpr EnumName<Freshness> kNames[] = {
      {Freshness::kCurrent, "current"},
      {Freshness::kUnconfirmed, "unconfirmed"},
      {Freshness::kOutdated, "outdated"},
      {Freshness::kResumed, "resumed"},
      {Freshness::kPartitioned, "partitioned"},
  };
};

// Must be called before what arrives is taken into account, and at least once
// in kMaxActivityGap.
void OnActivity(StateFreshness& freshness, Time now);
// The state was current `age` ago.
void OnConfirmed(StateFreshness& freshness,
                 const HostMembers& members,
                 Duration age,
                 Time now);
void OnHostHeard(StateFreshness& freshness, Time now);
void OnStoreFailed(StateFreshness& freshness, Time now);

// Whether the state is at least as new as this host's start.
bool IsConfirmed(const StateFreshness& freshness);

Freshness FreshnessOf(const StateFreshness& freshness,
                      const HostMembers& members,
                      Time now);

}  // namespace sassafras

#endif  // ROUTING_STATE_FRESHNESS_H_
