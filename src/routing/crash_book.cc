#include "routing/crash_book.h"

#include <algorithm>

#include "base/hash.h"

namespace sassafras {

uint64_t HashOfRequest(std::string_view method,
                       std::string_view host,
                       std::string_view target) {
  return HashText(target, HashText(host, HashText(method)));
}

bool OnCrash(CrashBook& book, const CrashNotice& notice, Time now) {
  const bool is_known = book.by_request.count(notice.request) > 0;
  if (!is_known && book.by_request.size() >= kMostCrashRecords)
    return false;
  CrashRecord& record = book.by_request[notice.request];
  if (!record.endpoints.try_emplace(notice.endpoint, now).second)
    return false;
  record.heard = now;
  return true;
}

void OnAnswered(CrashBook& book, uint64_t request) {
  const auto it = book.by_request.find(request);
  if (it != book.by_request.end())
    it->second.is_answered = true;
}

size_t CountCrashes(const CrashBook& book, uint64_t request) {
  const auto it = book.by_request.find(request);
  return it == book.by_request.end() || it->second.is_answered
             ? 0
             : it->second.endpoints.size();
}

bool IsSuspect(const CrashBook& book, uint64_t request) {
  return CountCrashes(book, request) > kCrashesByChance;
}

std::vector<CrashNotice> RecentCrashes(const CrashBook& book, Time now) {
  std::vector<CrashNotice> notices;
  for (const auto& [request, record] : book.by_request) {
    if (record.is_answered || now - record.heard >= kCrashNewsTime)
      continue;
    for (const auto& [endpoint, heard] : record.endpoints) {
      if (now - heard < kCrashNewsTime)
        notices.push_back({request, endpoint});
    }
  }
  std::stable_sort(notices.begin(), notices.end(),
                   [&](const CrashNotice& a, const CrashNotice& b) {
                     return CountCrashes(book, a.request) >
                            CountCrashes(book, b.request);
                   });
  if (notices.size() > kMostCrashNotices)
    notices.resize(kMostCrashNotices);
  return notices;
}

void ForgetCrashes(CrashBook& book, Time now) {
  for (auto it = book.by_request.begin(); it != book.by_request.end();) {
    if (now - it->second.heard >= kCrashLifetime)
      it = book.by_request.erase(it);
    else
      ++it;
  }
}

}  // namespace sassafras
