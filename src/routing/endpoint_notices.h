// What endpoints say about themselves in their answers: that they are leaving.
//
// Handles rolling releases of hundreds of endpoints that the registry reports
// late or not at all.
#ifndef ROUTING_ENDPOINT_NOTICES_H_
#define ROUTING_ENDPOINT_NOTICES_H_

#include <cstddef>
#include <cstdint>
#include <unordered_map>

#include "base/time.h"

namespace sassafras {

// Notices of one incarnation of an endpoint.
struct EndpointNotice {
  // When this host learnt that it is leaving. Default: it is not. Holds for the
  // rest of the incarnation.
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

// How long a notice is kept after the endpoint's record has disappeared.
inline constexpr Duration kNoticeLifetime = std::chrono::minutes(10);
// Limit of notices, of about 60 bytes each. Several releases of all endpoints
// of a large deployment within kNoticeLifetime stay below it.
inline constexpr size_t kMaxNotices = 32768;

// Records that the incarnation is leaving. Returns false if that is known, or
// if there are too many notices.
bool RecordLeaving(EndpointNotices& notices, uint64_t incarnation, Time now);

}  // namespace sassafras

#endif  // ROUTING_ENDPOINT_NOTICES_H_
