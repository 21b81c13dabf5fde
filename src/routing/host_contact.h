// Whether a host can know the state in effect: it must have confirmed its state
// since its start, have heard from other hosts or the store lately, and know of
// no newer configuration than its own.
//
// A host that starts, is cut off, or wakes from a freeze, goes on with the
// state that it has; that is right for most of it, but not for home regions.
#ifndef ROUTING_HOST_CONTACT_H_
#define ROUTING_HOST_CONTACT_H_

#include "base/names_table.h"
#include "base/time.h"
#include "routing/host_members.h"

namespace sassafras {

// What this host has heard from others, and when last.
struct HostContact {
  // Its state is at least as new as its start.
  bool is_confirmed = false;
  Time host_heard;      // A message of another host arrived.
  Time store_answered;  // The store answered a call.
  Time store_tried;     // A call to the store ended in any way.
};

// A host that has heard nothing for this long may have missed a configuration.
// Spans several gossip rounds and probes of the store.
inline constexpr Duration kMaxSilence = std::chrono::milliseconds(2000);

enum class StateKnowledge {
  kCurrent,      // As far as this host can know.
  kUnconfirmed,  // It may be older than this host's start.
  kOutdated,     // Another host has a newer configuration.
  kSilent,       // This host has heard nothing lately.
};

template <>
struct NamesTable<StateKnowledge> {
  static constexpr EnumName<StateKnowledge> kNames[] = {
      {StateKnowledge::kCurrent, "current"},
      {StateKnowledge::kUnconfirmed, "unconfirmed"},
      {StateKnowledge::kOutdated, "outdated"},
      {StateKnowledge::kSilent, "silent"},
  };
};

// A host that knows of no other hosts that were ready when last heard relies on
// the store alone: it is kCurrent while calls to the store fail, since nobody
// else could have told it more.
StateKnowledge KnowledgeOfState(const HostContact& contact,
                                const HostMembers& members,
                                Time now);

}  // namespace sassafras

#endif  // ROUTING_HOST_CONTACT_H_
