#include "routing/endpoint_notices.h"

#include <algorithm>

namespace sassafras {

bool RecordLeaving(EndpointNotices& notices,
                   uint64_t incarnation,
                   Time since,
                   Time expires_at) {
  auto& entries = notices.by_incarnation;
  if (entries.count(incarnation) > 0 || entries.size() >= kMaxNotices)
    return false;
  entries[incarnation] = {{since}, expires_at};
  return true;
}

std::vector<LeavingNotice> CollectLeavings(const EndpointNotices& notices,
                                           bool with_old,
                                           Time now) {
  std::vector<LeavingNotice> out;
  for (const auto& [incarnation, entry] : notices.by_incarnation) {
    const Duration age = now - entry.notice.leaving_since;
    if (with_old || age < kLeavingGossipTime)
      out.push_back({incarnation, age});
  }
  std::sort(out.begin(), out.end(),
            [](const LeavingNotice& a, const LeavingNotice& b) {
              return a.age < b.age;
            });
  if (out.size() > kMaxLeavingNotices)
    out.resize(kMaxLeavingNotices);
  return out;
}

}  // namespace sassafras
