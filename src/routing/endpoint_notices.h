// What endpoints say about themselves in their answers: that they are leaving.
//
// Handles rolling releases of hundreds of endpoints that the registry reports
// late or not at all. A host acts on such a notice at once, whatever the
// registry says: a record may be stale, and an endpoint that leaves does not
// stay after all.
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
};

inline bool IsLeaving(const EndpointNotice& notice) {
  return notice.leaving_since != Time();
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

// How long a notice is kept after the endpoint's record has disappeared.
inline constexpr Duration kNoticeLifetime = std::chrono::minutes(10);
// Limit of notices, of about 60 bytes each. Several releases of all endpoints
// of a large deployment within kNoticeLifetime stay below it.
inline constexpr size_t kMaxNotices = 32768;
// How long a leaving is gossiped in each round; longer than the rounds that it
// takes to reach every host. Full syncs carry older ones, too.
inline constexpr Duration kLeavingGossipTime = std::chrono::seconds(3);
// Limit of leavings in one message; each takes about 15 bytes.
inline constexpr size_t kMaxLeavingNotices = 500;

// Records that the incarnation is leaving. Returns false if that is known, or
// if there are too many notices.
bool RecordLeaving(EndpointNotices& notices,
                   uint64_t incarnation,
                   Time since,
                   Time expires_at);

// Leavings to gossip, the latest first: those of kLeavingGossipTime, or all.
std::vector<LeavingNotice> CollectLeavings(const EndpointNotices& notices,
                                           bool with_old,
                                           Time now);

}  // namespace sassafras

#endif  // ROUTING_ENDPOINT_NOTICES_H_
