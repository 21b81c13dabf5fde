#include "routing/crash_book.h"

#include <algorithm>

#include "base/hash.h"

namespace sassafras {

namespace {

// Part of a full book that makes room for new records.
constexpr size_t kEvictedPart = 4;

Time LastCrash(const CrashRecord& record) {
  Time last;
  for (const auto& [endpoint, send] : record.endpoints)
    last = std::max(last, send.broke);
  return last;
}

Time LastSeen(const CrashRecord& record) {
  return std::max(record.returned, LastCrash(record));
}

// Counts sends that followed one another.
size_t CountInRow(std::vector<CrashedSend> sends) {
  std::sort(sends.begin(), sends.end(),
            [](const CrashedSend& a, const CrashedSend& b) {
              return a.broke < b.broke;
            });
  size_t n = 0;
  Time last;
  for (const CrashedSend& it : sends) {
    if (n > 0 && it.sent + kSendOverlap < last)
      continue;
    ++n;
    last = it.broke;
  }
  return n;
}

size_t CountInRow(const CrashRecord& record) {
  std::vector<CrashedSend> sends;
  for (const auto& [endpoint, send] : record.endpoints)
    sends.push_back(send);
  return CountInRow(std::move(sends));
}

// Whether another request that is more suspect ran on the endpoint as well.
bool IsExplained(const CrashBook& book,
                 uint64_t request,
                 uint32_t endpoint,
                 size_t crashes) {
  return std::any_of(
      book.by_request.begin(), book.by_request.end(), [&](const auto& it) {
        return it.first != request && it.second.endpoints.size() > crashes &&
               it.second.endpoints.count(endpoint) > 0 &&
               CountInRow(it.second) > crashes;
      });
}

bool IsSuspectRecord(const CrashBook& book,
                     uint64_t request,
                     const CrashRecord& record) {
  return record.endpoints.size() > kCrashesByChance &&
         CountCrashes(book, request) > kCrashesByChance;
}

// Drops the records that say least: few crashes, long ago.
void MakeRoom(CrashBook& book) {
  struct Ranked {
    size_t crashes;
    Time seen;
    uint64_t request;
  };
  std::vector<Ranked> all;
  for (const auto& [request, record] : book.by_request) {
    all.push_back({std::min(record.endpoints.size(), kCrashesByChance + 1),
                   LastSeen(record), request});
  }
  const size_t n = all.size() / kEvictedPart;
  std::nth_element(all.begin(), all.begin() + static_cast<std::ptrdiff_t>(n),
                   all.end(), [](const Ranked& a, const Ranked& b) {
                     return a.crashes != b.crashes ? a.crashes < b.crashes
                                                   : a.seen < b.seen;
                   });
  for (size_t i = 0; i < n; ++i)
    book.by_request.erase(all[i].request);
}

CrashRecord& RecordOf(CrashBook& book, uint64_t request) {
  const auto it = book.by_request.find(request);
  if (it != book.by_request.end())
    return it->second;
  if (book.by_request.size() >= kMostCrashRecords)
    MakeRoom(book);
  return book.by_request[request];
}

bool AddSend(CrashRecord& record, uint32_t endpoint, const CrashedSend& send) {
  if (record.endpoints.size() >= kMostEndpointsOfRecord)
    return false;
  return record.endpoints.try_emplace(endpoint, send).second;
}

void StartEpoch(CrashRecord& record, uint32_t epoch, Time now) {
  record.epoch = epoch;
  record.endpoints.clear();
  record.news = now;
  record.answers_in_row = 0;
  record.is_witness = false;
  record.probes = 0;
}

// Crashes age one by one as long as they raise no suspicion.
void ForgetSends(CrashRecord& record, Time now) {
  for (auto it = record.endpoints.begin(); it != record.endpoints.end();) {
    if (now - it->second.broke >= kCrashLifetime)
      it = record.endpoints.erase(it);
    else
      ++it;
  }
}

CrashNotice NoticeOf(uint64_t request, const CrashRecord& record, Time now) {
  CrashNotice notice{request, record.epoch, now - record.returned, {}};
  for (const auto& [endpoint, send] : record.endpoints)
    notice.sends.push_back({endpoint, now - send.sent, now - send.broke});
  return notice;
}

}  // namespace

uint64_t HashOfRequest(const RequestTraits& request) {
  uint64_t hash = HashText(request.method);
  for (const std::string_view it :
       {request.host, request.target, request.caller, request.body})
    hash = HashPair(hash, HashText(it));
  return hash;
}

bool OnCrash(CrashBook& book,
             uint64_t request,
             uint32_t endpoint,
             const CrashedSend& send,
             Time now) {
  CrashRecord& record = RecordOf(book, request);
  record.answers_in_row = 0;
  record.is_witness = true;
  record.returned = now;
  if (!AddSend(record, endpoint, send))
    return false;
  record.news = now;
  return true;
}

bool OnAnswered(CrashBook& book, uint64_t request, Time sent, Time now) {
  const auto it = book.by_request.find(request);
  if (it == book.by_request.end() || it->second.endpoints.empty())
    return false;
  CrashRecord& record = it->second;
  ++record.answers_in_row;
  if (!IsSuspectRecord(book, request, record)) {
    if (record.answers_in_row >= kAnswersToClear)
      StartEpoch(record, record.epoch + 1, now);
    return false;
  }
  // What was sent before the last crash says nothing of it.
  if (sent <= LastCrash(record))
    return false;
  StartEpoch(record, record.epoch + 1, now);
  return true;
}

size_t CountCrashes(const CrashBook& book, uint64_t request) {
  const auto it = book.by_request.find(request);
  if (it == book.by_request.end())
    return 0;
  const size_t crashes = CountInRow(it->second);
  if (crashes <= kCrashesByChance)
    return crashes;
  std::vector<CrashedSend> sends;
  for (const auto& [endpoint, send] : it->second.endpoints) {
    if (!IsExplained(book, request, endpoint, crashes))
      sends.push_back(send);
  }
  return CountInRow(std::move(sends));
}

bool IsSuspect(const CrashBook& book, uint64_t request) {
  const auto it = book.by_request.find(request);
  return it != book.by_request.end() &&
         IsSuspectRecord(book, request, it->second);
}

ReturnDecision OnReturn(CrashBook& book,
                        uint64_t request,
                        bool is_prober,
                        Time now) {
  ReturnDecision out;
  const auto it = book.by_request.find(request);
  if (it == book.by_request.end())
    return out;
  CrashRecord& record = it->second;
  record.returned = now;
  out.crashes = CountCrashes(book, request);
  if (out.crashes <= kCrashesByChance)
    return out;
  out.verdict = ReturnVerdict::kHold;
  out.last_crash_age = now - LastCrash(record);
  const Time until = std::max(LastCrash(record), record.probed) + kHoldTime;
  out.hold = until > now ? until - now : kHoldTime;
  const bool has_probes =
      record.probes < kMostProbes &&
      record.endpoints.size() <= kCrashesByChance + kMostProbes;
  if (has_probes && is_prober && now >= until) {
    ++record.probes;
    record.probed = now;
    out.verdict = ReturnVerdict::kProbe;
  }
  return out;
}

bool IsProber(uint64_t request,
              uint64_t own_hash,
              const std::vector<uint64_t>& host_hashes,
              bool knows_hosts) {
  const uint64_t own = HashPair(request, own_hash);
  return knows_hosts &&
         std::all_of(host_hashes.begin(), host_hashes.end(),
                     [&](uint64_t it) { return HashPair(request, it) <= own; });
}

std::vector<CrashNotice> NoticesToTell(const CrashBook& book, Time now) {
  std::vector<CrashNotice> notices;
  for (const auto& [request, record] : book.by_request) {
    if (now - record.news < kCrashNewsTime ||
        IsSuspectRecord(book, request, record))
      notices.push_back(NoticeOf(request, record, now));
  }
  const size_t n = std::min(notices.size(), kMostCrashNotices);
  std::partial_sort(
      notices.begin(), notices.begin() + static_cast<std::ptrdiff_t>(n),
      notices.end(), [](const CrashNotice& a, const CrashNotice& b) {
        return a.sends.size() != b.sends.size()
                   ? a.sends.size() > b.sends.size()
                   : a.returned_age < b.returned_age;
      });
  notices.resize(n);
  return notices;
}

NoticeNews OnCrashNotice(CrashBook& book, const CrashNotice& notice, Time now) {
  const bool was_suspect = IsSuspect(book, notice.request);
  CrashRecord& record = RecordOf(book, notice.request);
  const Time returned = now - notice.returned_age;
  if (returned > record.returned + kReturnPrecision)
    record.returned = returned;
  if (notice.epoch < record.epoch) {
    // The teller has not heard of the epoch yet.
    record.news = now;
    return {};
  }
  if (notice.epoch > record.epoch)
    StartEpoch(record, notice.epoch, now);
  for (const CrashNotice::Send& it : notice.sends) {
    if (AddSend(record, it.endpoint, {now - it.sent_age, now - it.broke_age}))
      record.news = now;
  }
  const bool is_new = !was_suspect && IsSuspect(book, notice.request);
  return {is_new, is_new && record.is_witness};
}

void ForgetCrashes(CrashBook& book, Time now) {
  for (auto it = book.by_request.begin(); it != book.by_request.end();) {
    CrashRecord& record = it->second;
    const bool is_suspect = IsSuspectRecord(book, it->first, record);
    if (!is_suspect)
      ForgetSends(record, now);
    const bool is_over =
        is_suspect
            ? now - LastSeen(record) >= kSuspicionLifetime
            : record.endpoints.empty() && now - record.news >= kCrashLifetime;
    if (is_over)
      it = book.by_request.erase(it);
    else
      ++it;
  }
}

}  // namespace sassafras
