// Who follows the store and who follows relays.
//
// Answers to: the store's prices and rates. Relays are computed alike by all
// hosts that see the same members; hosts that see others do no harm, they only
// call the store more often. Every other host follows two relays at once, so
// that one which is cut off or frozen delays nothing; relays follow each other
// beside the store, for the same reason.
#ifndef ROUTING_RELAY_CHOICE_H_
#define ROUTING_RELAY_CHOICE_H_

#include <map>
#include <optional>
#include <vector>

#include "routing/host_members.h"

namespace sassafras {

// Hosts that follow the store for all others.
inline constexpr size_t kRelayCount = 2;
// While relays turn out to be cut off one after the other, so many more are
// followed at most.
inline constexpr size_t kMaxExtraRelays = 4;
// A relay that sends nothing for this long is left: three signs of life.
inline constexpr Duration kRelayTimeout = std::chrono::milliseconds(1300);
// A relay that was left is not tried again for this long.
inline constexpr Duration kRelayAvoidanceTime = std::chrono::seconds(4);
// A host that followed the store goes on for this long when it need not.
inline constexpr Duration kStoreFollowLinger = std::chrono::seconds(4);
// At the start, other hosts may be heard within this time.
inline constexpr Duration kStartupWait = std::chrono::milliseconds(600);

enum class FeedSource { kNone, kStore, kRelays };

template <>
struct NamesTable<FeedSource> {
  static constexpr EnumName<FeedSource> kNames[] = {
      {FeedSource::kNone, "none"},
      {FeedSource::kStore, "store"},
      {FeedSource::kRelays, "relays"},
  };
};

struct FollowedRelay {
  Time heard;  // When it last sent news from a store that answers.
  // Until then it cannot tell lapsed records from removed ones; empty as long
  // as it has not sent anything.
  std::optional<Time> unreliable_until;
};

struct FeedChoice {
  FeedSource source = FeedSource::kNone;
  // Beside the store, too.
  std::map<HostId, FollowedRelay> relays;
  Time store_needed;  // When following the store was last necessary.
  std::map<HostId, Time> avoided;  // Relays that were left, and when.
};

struct FeedInput {
  const HostMembers* members = nullptr;
  const std::map<ZoneId, RegionId>* regions = nullptr;
  bool has_followers = false;  // Other hosts take this one for a relay.
  Time started;                // Of the process.
};

// The relays among the hosts that are alive and not avoided, in different
// regions if there are several: those that are ready and reach the store; if
// none does, those that are ready; at the start of the system, any. More than
// kRelayCount if several were left lately. May name this host.
std::vector<HostId> FindRelays(const FeedInput& input,
                               const FeedChoice& choice,
                               Time now);

// Brings the choice up to date; true if it changed.
bool UpdateFeedChoice(FeedChoice& choice, const FeedInput& input, Time now);

// A relay has sent something; its last answer from the store is `store_age`
// old. One that is cut off from the store counts as silent. `unreliable_for`:
// for how long yet it cannot tell lapsed records from removed ones.
void OnRelayHeard(FeedChoice& choice,
                  const HostId& relay,
                  Duration store_age,
                  Duration unreliable_for,
                  Time now);

// For how long yet a lapsed record may stand for an endpoint that has not
// left: as long as no relay knows better. One relay that comes back from a cut
// of its own says nothing about the store.
Duration MinUnreliableFor(const FeedChoice& choice, Time now);

}  // namespace sassafras

#endif  // ROUTING_RELAY_CHOICE_H_
