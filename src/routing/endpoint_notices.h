// What endpoints say about themselves in their answers: that they are leaving,
// or that they want no requests for some time.
//
// Handles rolling releases of hundreds of endpoints that the registry reports
// late or not at all, and endpoints that turn requests away under overload. A
// host acts on such a notice at once, whatever the registry says: a record may
// be stale, and an endpoint that leaves does not stay after all.
#ifndef ROUTING_ENDPOINT_NOTICES_H_
#define ROUTING_ENDPOINT_NOTICES_H_

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

#include "base/time.h"

namespace sassafras {

// Notices of one incarnation of an endpoint.
struct EndpointNotice {
  // When it said that it is leaving. Default: it has not. Holds for the rest of
  // the incarnation.
  Time leaving_since;
  // It wants no requests of this host before this time. Default: it takes
  // requests.
  Time backoff_until;
  // When this host sends requests again: somewhat later, so that not all hosts
  // return at the same time.
  Time resume_at;
};

inline bool IsLeaving(const EndpointNotice& notice) {
  return notice.leaving_since != Time();
}

inline bool IsBackingOff(const EndpointNotice& notice, Time now) {
  return now < notice.resume_at;
}

struct EndpointNotices {
  struct Entry {
    EndpointNotice notice;
    Time expires_at;
  };
  // By EndpointView::incarnation. Outlives the endpoint's record, which may be
  // removed and written again.
  std::unordered_map<uint64_t, Entry> by_incarnation;
};

// What a host gossips about an endpoint that is leaving. The time is sent as an
// age because the hosts' clocks differ.
struct LeavingNotice {
  uint64_t incarnation = 0;
  Duration age{};  // Since the endpoint said so.
};

// How long a leaving is kept after the endpoint's record has disappeared.
inline constexpr Duration kLeavingLifetime = std::chrono::minutes(10);
// Limit of notices, of about 80 bytes each. Several releases of all endpoints
// of a large deployment within kLeavingLifetime stay below it.
inline constexpr size_t kMaxNotices = 32768;
// How long a leaving is gossiped in each round; longer than the rounds that it
// takes to reach every host. Full syncs carry older ones, too.
inline constexpr Duration kLeavingGossipTime = std::chrono::seconds(3);
// Limit of leavings in one message; each takes about 15 bytes.
inline constexpr size_t kMaxLeavingNotices = 500;
// A longer Retry-After counts as this: an endpoint that asks for more is not
// left out for good.
inline constexpr Duration kMaxBackoff = std::chrono::minutes(5);
// Largest jitter after a backoff, and largest share of the backoff's time.
inline constexpr Duration kMaxResumeJitter = std::chrono::seconds(1);
inline constexpr double kMaxResumeJitterShare = 0.25;

// The notice of the incarnation; all defaults if there is none.
EndpointNotice NoticeOf(const EndpointNotices& notices, uint64_t incarnation);

// Keeps the notice until `expires_at`, or until that of an earlier call if it
// is later. Does nothing if the incarnation has none and there are too many.
void StoreNotice(EndpointNotices& notices,
                 uint64_t incarnation,
                 const EndpointNotice& notice,
                 Time expires_at);

// Begins or extends a backoff of `retry_after`, which is limited to
// kMaxBackoff. An earlier backoff that ends later remains in force. `random` in
// [0, 1) scales the jitter.
void BackOff(EndpointNotice& notice,
             Duration retry_after,
             double random,
             Time now);

// Leavings to gossip, the latest first: those of kLeavingGossipTime, or all.
std::vector<LeavingNotice> CollectLeavings(const EndpointNotices& notices,
                                           bool with_old,
                                           Time now);

}  // namespace sassafras

#endif  // ROUTING_ENDPOINT_NOTICES_H_
