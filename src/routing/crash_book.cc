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
  struct Ranked {
    size_t crashes;
    CrashNotice notice;
  };
  std::vector<Ranked> all;
  for (const auto& [request, record] : book.by_request) {
    if (record.is_answered || now - record.heard >= kCrashNewsTime)
      continue;
    for (const auto& [endpoint, heard] : record.endpoints) {
      if (now - heard < kCrashNewsTime)
        all.push_back({record.endpoints.size(), {request, endpoint}});
    }
  }
  const size_t n = std::min(all.size(), kMostCrashNotices);
  std::partial_sort(
      all.begin(), all.begin() + static_cast<std::ptrdiff_t>(n), all.end(),
      [](const Ranked& a, const Ranked& b) { return a.crashes > b.crashes; });
  std::vector<CrashNotice> notices;
  for (size_t i = 0; i < n; ++i)
    notices.push_back(all[i].notice);
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
