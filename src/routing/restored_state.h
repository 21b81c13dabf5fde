// What a store that came back from an older copy may change in a host's state.
//
// The copy lacks what was acknowledged after it was made, until the operator
// and the endpoints write it again. Until then a host must not take back what
// it knows to be acknowledged:
//
// - Configuration: a version is never replaced by a lower one. This holds at
//   any time, so no rule here.
// - Endpoint that has ended: a copied record does not bring its incarnation
//   back. A record that still stands after the hold time is renewed by the
//   endpoint, since the store removes others.
// - Endpoint that is draining: likewise.
// - Endpoint that the copy lacks: as while the registry is unreliable; see
//   ApplyRemoval().
// - Evacuation that the copy lacks: holds until its hold time has passed.
// - Evacuation that the copy still has: starts at once. Sending nothing to a
//   zone is the safe side.
#ifndef ROUTING_RESTORED_STATE_H_
#define ROUTING_RESTORED_STATE_H_

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "base/time.h"
#include "decisions/messages.h"
#include "routing/endpoint_set.h"

namespace sassafras {

// Time for which a record by the copy alone waits for its endpoint to write
// again. Longer than the store keeps records that are not renewed.
inline constexpr Duration kRestoredHoldTime = std::chrono::seconds(10);
// As above, for the end of an evacuation. What the operator had taken back just
// before the store went away looks the same, and keeps a zone out of service.
inline constexpr Duration kEvacuationHoldTime = std::chrono::seconds(4);

// Changes by a copy that wait. Indexed by kind and name.
struct RestoredState {
  struct Held {
    CacheItem item;
    Time due;
  };
  std::map<std::pair<std::string, std::string>, Held> held;
};

// Whether the record would take back that its incarnation is draining or has
// ended.
bool UndoesLeaving(const EndpointSet& set, const EndpointRecord& record);

// Lets the change wait for `time`.
void HoldItem(RestoredState& state,
              const CacheItem& item,
              Duration time,
              Time now);

// A later change of the same object replaces what waits.
void DropHeldItem(RestoredState& state, const CacheItem& item);

// Removes the changes whose time is over and returns them, to be applied.
std::vector<CacheItem> TakeDueItems(RestoredState& state, Time now);

}  // namespace sassafras

#endif  // ROUTING_RESTORED_STATE_H_
