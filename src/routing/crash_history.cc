#include "routing/crash_history.h"

#include <algorithm>

#include "base/hash.h"

namespace sassafras {

namespace {

// A full history evicts one in this many records.
constexpr size_t kEvictionDivisor = 4;

Time LastCrash(const CrashRecord& record) {
  Time last;
  for (const auto& [endpoint, send] : record.endpoints)
    last = std::max(last, send.crashed_at);
  return last;
}

Time LastActivity(const CrashRecord& record) {
  return std::max(record.arrived_at, LastCrash(record));
}

// Counts crashes, where sends that overlap by more than kMaxSendOverlap count
// as one.
size_t CountSequential(std::vector<CrashedSend> sends) {
  std::sort(sends.begin(), sends.end(),
            [](const CrashedSend& a, const CrashedSend& b) {
              return a.crashed_at < b.crashed_at;
            });
  size_t n = 0;
  Time last;
  for (const CrashedSend& it : sends) {
    if (n > 0 && it.sent_at + kMaxSendOverlap < last)
      continue;
    ++n;
    last = it.crashed_at;
  }
  return n;
}

size_t CountSequential(const CrashRecord& record) {
  std::vector<CrashedSend> sends;
  for (const auto& [endpoint, send] : record.endpoints)
    sends.push_back(send);
  return CountSequential(std::move(sends));
}

// Whether a request with more crashes ran on the endpoint that crashed.
bool IsExplained(const CrashHistory& history,
                 uint64_t request,
                 uint32_t endpoint,
                 size_t crashes) {
  return std::any_of(history.by_request.begin(), history.by_request.end(),
                     [&](const auto& it) {
                       return it.first != request &&
                              it.second.endpoints.size() > crashes &&
                              it.second.endpoints.count(endpoint) > 0 &&
                              CountSequential(it.second) > crashes;
                     });
}

bool IsSuspectRecord(const CrashHistory& history,
                     uint64_t request,
                     const CrashRecord& record) {
  return record.endpoints.size() > kMaxCoincidentalCrashes &&
         CountCrashes(history, request) > kMaxCoincidentalCrashes;
}

// Evicts the records with the fewest crashes, of these the least recent ones.
void EvictRecords(CrashHistory& history) {
  struct Ranked {
    size_t crashes;
    Time seen;
    uint64_t request;
  };
  std::vector<Ranked> all;
  for (const auto& [request, record] : history.by_request) {
    all.push_back(
        {std::min(record.endpoints.size(), kMaxCoincidentalCrashes + 1),
         LastActivity(record), request});
  }
  const size_t n = all.size() / kEvictionDivisor;
  std::nth_element(all.begin(), all.begin() + static_cast<std::ptrdiff_t>(n),
                   all.end(), [](const Ranked& a, const Ranked& b) {
                     return a.crashes != b.crashes ? a.crashes < b.crashes
                                                   : a.seen < b.seen;
                   });
  for (size_t i = 0; i < n; ++i)
    history.by_request.erase(all[i].request);
}

CrashRecord& RecordOf(CrashHistory& history, uint64_t request) {
  const auto it = history.by_request.find(request);
  if (it != history.by_request.end())
    return it->second;
  if (history.by_request.size() >= kMaxCrashRecords)
    EvictRecords(history);
  return history.by_request[request];
}

bool AddSend(CrashRecord& record, uint32_t endpoint, const CrashedSend& send) {
  if (record.endpoints.size() >= kMaxEndpointsPerRecord)
    return false;
  return record.endpoints.try_emplace(endpoint, send).second;
}

void StartEpoch(CrashRecord& record, uint32_t epoch, Time now) {
  record.epoch = epoch;
  record.endpoints.clear();
  record.changed_at = now;
  record.consecutive_answers = 0;
  record.saw_crash = false;
  record.probes = 0;
}

// Removes the old crashes of a request that is not a suspect.
void ExpireSends(CrashRecord& record, Time now) {
  for (auto it = record.endpoints.begin(); it != record.endpoints.end();) {
    if (now - it->second.crashed_at >= kCrashLifetime)
      it = record.endpoints.erase(it);
    else
      ++it;
  }
}

CrashNotice NoticeOf(uint64_t request, const CrashRecord& record, Time now) {
  CrashNotice notice{request, record.epoch, now - record.arrived_at, {}};
  for (const auto& [endpoint, send] : record.endpoints)
    notice.sends.push_back(
        {endpoint, now - send.sent_at, now - send.crashed_at});
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

bool OnCrash(CrashHistory& history,
             uint64_t request,
             uint32_t endpoint,
             const CrashedSend& send,
             Time now) {
  CrashRecord& record = RecordOf(history, request);
  record.consecutive_answers = 0;
  record.saw_crash = true;
  record.arrived_at = now;
  if (!AddSend(record, endpoint, send))
    return false;
  record.changed_at = now;
  return true;
}

bool OnAnswered(CrashHistory& history,
                uint64_t request,
                Time sent_at,
                Time now) {
  const auto it = history.by_request.find(request);
  if (it == history.by_request.end() || it->second.endpoints.empty())
    return false;
  CrashRecord& record = it->second;
  ++record.consecutive_answers;
  if (!IsSuspectRecord(history, request, record)) {
    if (record.consecutive_answers >= kConsecutiveAnswersToClear)
      StartEpoch(record, record.epoch + 1, now);
    return false;
  }
  // A request sent before the last crash does not disprove that crash.
  if (sent_at <= LastCrash(record))
    return false;
  StartEpoch(record, record.epoch + 1, now);
  return true;
}

size_t CountCrashes(const CrashHistory& history, uint64_t request) {
  const auto it = history.by_request.find(request);
  if (it == history.by_request.end())
    return 0;
  const size_t crashes = CountSequential(it->second);
  if (crashes <= kMaxCoincidentalCrashes)
    return crashes;
  std::vector<CrashedSend> sends;
  for (const auto& [endpoint, send] : it->second.endpoints) {
    if (!IsExplained(history, request, endpoint, crashes))
      sends.push_back(send);
  }
  return CountSequential(std::move(sends));
}

bool IsSuspect(const CrashHistory& history, uint64_t request) {
  const auto it = history.by_request.find(request);
  return it != history.by_request.end() &&
         IsSuspectRecord(history, request, it->second);
}

ArrivalDecision OnArrival(CrashHistory& history,
                          uint64_t request,
                          bool is_prober,
                          Time now) {
  ArrivalDecision out;
  const auto it = history.by_request.find(request);
  if (it == history.by_request.end())
    return out;
  CrashRecord& record = it->second;
  record.arrived_at = now;
  out.crashes = CountCrashes(history, request);
  if (out.crashes <= kMaxCoincidentalCrashes)
    return out;
  out.verdict = ArrivalVerdict::kHold;
  out.last_crash_age = now - LastCrash(record);
  const Time until = std::max(LastCrash(record), record.probed_at) + kHoldTime;
  out.hold = until > now ? until - now : kHoldTime;
  const bool has_probes =
      record.probes < kMaxProbes &&
      record.endpoints.size() <= kMaxCoincidentalCrashes + kMaxProbes;
  if (has_probes && is_prober && now >= until) {
    ++record.probes;
    record.probed_at = now;
    out.verdict = ArrivalVerdict::kProbe;
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

std::vector<CrashNotice> CollectCrashNotices(const CrashHistory& history,
                                             Time now) {
  std::vector<CrashNotice> notices;
  for (const auto& [request, record] : history.by_request) {
    if (now - record.changed_at < kCrashGossipTime ||
        IsSuspectRecord(history, request, record))
      notices.push_back(NoticeOf(request, record, now));
  }
  const size_t n = std::min(notices.size(), kMaxCrashNotices);
  std::partial_sort(
      notices.begin(), notices.begin() + static_cast<std::ptrdiff_t>(n),
      notices.end(), [](const CrashNotice& a, const CrashNotice& b) {
        return a.sends.size() != b.sends.size()
                   ? a.sends.size() > b.sends.size()
                   : a.arrival_age < b.arrival_age;
      });
  notices.resize(n);
  return notices;
}

CrashNoticeResult OnCrashNotice(CrashHistory& history,
                                const CrashNotice& notice,
                                Time now) {
  const bool was_suspect = IsSuspect(history, notice.request);
  CrashRecord& record = RecordOf(history, notice.request);
  const Time arrived_at = now - notice.arrival_age;
  if (arrived_at > record.arrived_at + kArrivalTolerance)
    record.arrived_at = arrived_at;
  if (notice.epoch < record.epoch) {
    // The sender does not know the current epoch yet: gossip it again.
    record.changed_at = now;
    return {};
  }
  if (notice.epoch > record.epoch)
    StartEpoch(record, notice.epoch, now);
  for (const CrashNotice::Send& it : notice.sends) {
    if (AddSend(record, it.endpoint, {now - it.sent_age, now - it.crash_age}))
      record.changed_at = now;
  }
  const bool is_new = !was_suspect && IsSuspect(history, notice.request);
  return {is_new, is_new && record.saw_crash};
}

void ExpireCrashes(CrashHistory& history, Time now) {
  for (auto it = history.by_request.begin(); it != history.by_request.end();) {
    CrashRecord& record = it->second;
    const bool is_suspect = IsSuspectRecord(history, it->first, record);
    if (!is_suspect)
      ExpireSends(record, now);
    const bool is_over = is_suspect
                             ? now - LastActivity(record) >= kSuspicionLifetime
                             : record.endpoints.empty() &&
                                   now - record.changed_at >= kCrashLifetime;
    if (is_over)
      it = history.by_request.erase(it);
    else
      ++it;
  }
}

}  // namespace sassafras
