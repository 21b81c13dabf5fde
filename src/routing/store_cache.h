// A host's cache of the store's objects, and the replication of its changes to
// other hosts.
//
// The store charges for every call, and its rate limits stay the same while
// the fleet grows. So only a few hosts, the relays, follow the store; all
// others follow relays. Positions are those of the store, so that a host which
// switches to another relay receives only the objects that it lacks.
//
// A new era of the store (see StorePosition) replaces what is cached, even if
// its revisions are lower. Changes that were met together with it are marked:
// see routing/restored_state.h for what they do to a host's state.
#ifndef ROUTING_STORE_CACHE_H_
#define ROUTING_STORE_CACHE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "decisions/messages.h"
#include "decisions/store_calls.h"

namespace sassafras {

// A range of positions that a full list skipped. Objects that were both created
// and removed between `from` and `to` are unknown.
struct HistoryGap {
  StorePosition from;
  StorePosition to;
};

struct CachedKind {
  StorePosition as_of;  // Unknown: the kind has not been listed yet.
  std::map<std::string, CacheItem> objects;
  // Removals after `removals_since`, oldest first.
  std::deque<CacheItem> removals;
  StorePosition removals_since;
  std::deque<HistoryGap> gaps;
  // A list could not be read to its end: objects that are not in `objects` may
  // exist. `as_of` is unknown if no later list or push was read.
  bool is_partial = false;
  // An era that was met with a partial list. What its whole list adds may only
  // show that the store's copy is older.
  std::optional<uint64_t> unlisted_era;
};

struct StoreCache {
  // By name. The set of kinds is fixed by MakeStoreCache().
  std::map<std::string, CachedKind> kinds;
};

// Removals that are kept for each kind: more than occur while another host is
// disconnected for a minute.
inline constexpr size_t kMaxRemovals = 2000;
// Gaps that are kept for each kind. A full list leaves one when it replaces a
// lost history.
inline constexpr size_t kMaxGaps = 16;

StoreCache MakeStoreCache(const std::vector<std::string>& kinds);

// Whether every kind has been listed, as far as its list could be read.
bool IsComplete(const StoreCache& cache);

// The names of the cached objects of a kind.
std::set<std::string> NamesOf(const StoreCache& cache, const std::string& kind);

// Returns the cached position of each kind, to request later changes from a
// relay.
CacheFollow PositionsOf(const StoreCache& cache);

// Applies a full list or changes from the store. Returns the items that changed
// the cache; items older than the cached state are ignored.
std::vector<CacheItem> ApplyStoreChange(StoreCache& cache,
                                        const std::string& kind,
                                        const StoreChange& change);

// Whom the host follows whose cache it is.
enum class CacheSource { kStore, kRelays };

// Applies a push from another host and returns the items that changed the
// cache. A span that starts after the cached position is ignored, since changes
// before it are missing; the sender detects this and sends them again. If the
// sender knows all objects and the cache does not, the cache gives up its
// position, so that the sender sends everything. A sender that does not know
// all objects does not make the cache of a host partial that follows the store.
std::vector<CacheItem> ApplyPush(StoreCache& cache,
                                 const CachePush& push,
                                 CacheSource source = CacheSource::kRelays);

// Whether the cache is as new as the sender's, after ApplyPush().
bool IsUpToDate(const StoreCache& cache, const CachePush& push);

// Returns the message that asks the sender of `push`, which has been applied,
// for what it has sent and this host has not received: a span begins after the
// cached position. Nothing if no push was lost.
std::optional<CacheFollow> FollowAfterLoss(const StoreCache& cache,
                                           const CachePush& push);

// Whether the sender has not met the era of the store that the cache has.
bool IsOfEarlierEra(const StoreCache& cache, const CachePush& push);

// Returns what a host with the positions `known` lacks; may hold no items.
// `unreliable_for`: how much longer the removal of a record does not prove that
// its endpoint has left.
CachePush MakePush(const StoreCache& cache,
                   const CacheFollow& known,
                   Duration unreliable_for);

// A host that follows this one.
struct CacheFollower {
  CacheFollow acked;  // Its positions, by its last follow message.
  CacheFollow sent;   // Its positions if no push was lost.
  Time heard;         // When its last follow message arrived.
  // By kind: when its position in `acked` last changed, or the changes after it
  // were sent again.
  std::map<std::string, Time> progressed_at;
};

// A follower that sends no follow message for this long is dropped.
inline constexpr Duration kFollowerTimeout = std::chrono::seconds(3);
// If a follower makes no progress on a kind for this long, a push is taken as
// lost and the kind's changes are sent again, even if the follower has not
// received a later push that shows the loss. Covers two follow messages.
inline constexpr Duration kPushRetryDelay = std::chrono::milliseconds(700);

using CacheFollowers = std::unordered_map<HostId, CacheFollower>;

// Handles a follow message, which followers repeat; returns the push to answer
// with. It sends again what the follower says it has lost, or seems to have.
CachePush OnFollow(CacheFollowers& followers,
                   const StoreCache& cache,
                   const HostId& from,
                   const CacheFollow& follow,
                   Duration unreliable_for,
                   Time now);

// Whether any host uses this one as a relay.
bool HasFollowers(const CacheFollowers& followers, Time now);

struct AddressedPush {
  std::vector<HostId> to;
  CachePush push;
};

// Returns the pushes to send after a change, one for all followers that have
// the same positions, and drops followers that have timed out.
std::vector<AddressedPush> PushToAll(CacheFollowers& followers,
                                     const StoreCache& cache,
                                     Duration unreliable_for,
                                     Time now);

}  // namespace sassafras

#endif  // ROUTING_STORE_CACHE_H_
