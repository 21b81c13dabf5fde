// Chooses whether a host follows the store itself or relays, which are the
// hosts that follow the store for the others.
//
// Keeps the number of calls to the store small, since it charges for them and
// limits their rate. A relay sends each change to every other host, which takes
// seconds on a host with a small CPU share or a slow link if many objects
// change at once; so the hosts with the largest capacity are chosen. All hosts
// with the same view of the members compute the same relays; hosts with another
// view only call the store more often. Every other host follows two relays at
// once, so that one that is disconnected or frozen causes no delay. For the
// same reason, relays follow each other in addition to the store.
#ifndef ROUTING_RELAY_CHOICE_H_
#define ROUTING_RELAY_CHOICE_H_

#include <map>
#include <optional>
#include <vector>

#include "routing/host_members.h"

namespace sassafras {

// Number of hosts that follow the store for all others.
inline constexpr size_t kRelayCount = 2;
// Limit of additional relays that a host follows while one relay after the
// other turns out to be silent or cut off from the store.
inline constexpr size_t kMaxExtraRelays = 4;
// A relay that has sent no news of a reachable store for this long is dropped.
// Covers three of its messages. A host whose relays all had their last answer
// of the store longer ago follows the store itself.
inline constexpr Duration kRelayTimeout = std::chrono::milliseconds(1300);
// A relay that was dropped is not followed again for this long.
inline constexpr Duration kRelayAvoidanceTime = std::chrono::seconds(4);
// How long a host keeps following the store after it last had to.
inline constexpr Duration kStoreFollowLinger = std::chrono::seconds(4);
// How long a host that has just started and knows no other host waits to be
// contacted by one before it follows the store.
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
  // When it last sent a message while the store answered it, or was chosen.
  Time heard;
  // Until then the relay cannot distinguish lapsed records from removed ones.
  // Empty until it has sent a message.
  std::optional<Time> unreliable_until;
  Time asked_again_at;  // When MayAskAgain() was last true; zero if never.
};

struct FeedChoice {
  FeedSource source = FeedSource::kNone;
  // The relays to follow; also used while the source is the store.
  std::map<HostId, FollowedRelay> relays;
  // When the store last answered any relay that was followed, by its messages,
  // or when this host began to rely on relays alone. A change of relays does
  // not renew it: relays that fail one after the other would each add a
  // timeout.
  Time store_answered;
  Time store_needed;  // When following the store was last necessary.
  std::map<HostId, Time> avoided;  // When each relay was dropped.
};

struct FeedInput {
  const HostMembers* members = nullptr;
  const std::map<ZoneId, RegionId>* regions = nullptr;
  bool has_followers = false;  // Other hosts use this one as a relay.
  Time started;                // When this process started.
};

// Chooses the relays among the live hosts that are not avoided: those of large
// capacity first, in different regions if possible. Candidates are the hosts
// that are ready and reach the store; if there are none, those that are ready;
// if there are none either, as at the start of the deployment, all that are not
// leaving. Returns more than kRelayCount relays if several were dropped
// recently. May include this host.
std::vector<HostId> FindRelays(const FeedInput& input,
                               const FeedChoice& choice,
                               Time now);

// Updates the choice; returns true if it changed.
bool UpdateFeedChoice(FeedChoice& choice, const FeedInput& input, Time now);

// Time until UpdateFeedChoice() lets a host that follows relays follow the
// store itself, unless a message of a relay arrives. Not positive if it is to
// be called now; nothing if the host does not depend on relays.
std::optional<Duration> TimeUntilCutOff(const FeedChoice& choice, Time now);

// Records a message from a relay. `store_age`: age of the relay's last answer
// from the store; a relay that does not reach the store times out as one that
// sends nothing. `unreliable_for`: how much longer the relay cannot distinguish
// lapsed records from removed ones.
void OnRelayHeard(FeedChoice& choice,
                  const HostId& relay,
                  Duration store_age,
                  Duration unreliable_for,
                  Time now);

// Pushes that follow a lost one closely all show the loss. A relay is asked no
// more often than this to send again.
inline constexpr Duration kMinAskAgainInterval = std::chrono::milliseconds(200);

// Whether to ask this relay now for a push that was lost.
bool MayAskAgain(FeedChoice& choice, const HostId& relay, Time now);

// How much longer a lapsed record does not prove that its endpoint has left:
// the minimum over all relays. A relay that was disconnected alone must not
// make the records of other relays count as unreliable. Zero if no relay has
// sent a message.
Duration MinUnreliableFor(const FeedChoice& choice, Time now);

}  // namespace sassafras

#endif  // ROUTING_RELAY_CHOICE_H_
