#include "routing/endpoint_notices.h"

#include <algorithm>

namespace sassafras {

EndpointNotice NoticeOf(const EndpointNotices& notices, uint64_t incarnation) {
  const auto it = notices.by_incarnation.find(incarnation);
  return it == notices.by_incarnation.end() ? EndpointNotice()
                                            : it->second.notice;
}

void StoreNotice(EndpointNotices& notices,
                 uint64_t incarnation,
                 const EndpointNotice& notice,
                 Time expires_at) {
  auto& entries = notices.by_incarnation;
  if (entries.size() >= kMaxNotices && entries.count(incarnation) == 0)
    return;
  EndpointNotices::Entry& entry = entries[incarnation];
  entry.notice = notice;
  entry.expires_at = std::max(entry.expires_at, expires_at);
}

void BackOff(EndpointNotice& notice,
             Duration retry_after,
             double random,
             Time now) {
  const Duration backoff = std::clamp(retry_after, Duration(0), kMaxBackoff);
  if (now + backoff <= notice.backoff_until)
    return;
  notice.backoff_until = now + backoff;
  const Duration jitter = std::min(
      kMaxResumeJitter, FromSeconds(Seconds(backoff) * kMaxResumeJitterShare));
  notice.resume_at =
      notice.backoff_until + FromSeconds(Seconds(jitter) * random);
}

std::vector<LeavingNotice> CollectLeavings(const EndpointNotices& notices,
                                           bool with_old,
                                           Time now) {
  std::vector<LeavingNotice> out;
  for (const auto& [incarnation, entry] : notices.by_incarnation) {
    const Duration age = now - entry.notice.leaving_since;
    if (IsLeaving(entry.notice) && (with_old || age < kLeavingGossipTime))
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
