#include "routing/endpoint_set.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "base/hash.h"

namespace sassafras {

namespace {

constexpr Duration kMinEjectionTime = std::chrono::milliseconds(500);
constexpr Duration kMaxEjectionTime = std::chrono::seconds(4);
constexpr int kMaxEjectionDoublings = 3;
// A single failure may be caused by the request.
constexpr int kFailuresToEject = 2;
// A load report is ignored after this time, since the load has changed.
constexpr Duration kReportLifetime = std::chrono::milliseconds(1500);

void AddToService(EndpointSet& set, const EndpointPtr& endpoint) {
  set.by_service[endpoint->record.service].push_back(endpoint);
}

void RemoveFromService(EndpointSet& set, const EndpointPtr& endpoint) {
  auto& list = set.by_service[endpoint->record.service];
  list.erase(std::remove(list.begin(), list.end(), endpoint), list.end());
}

EndpointChange SetState(const EndpointPtr& endpoint,
                        EndpointState state,
                        Time now) {
  EndpointChange change{endpoint, endpoint->state, false};
  endpoint->state = state;
  endpoint->state_since = now;
  return change;
}

// Removes the endpoint from the set. Requests on it keep their own reference.
EndpointChange Drop(EndpointSet& set, const EndpointPtr& endpoint, Time now) {
  EndpointChange change = SetState(endpoint, EndpointState::kGone, now);
  RemoveFromService(set, endpoint);
  set.by_id.erase(endpoint->record.id);
  return change;
}

EndpointPtr MakeEndpoint(const EndpointNotices& notices,
                         const EndpointRecord& record,
                         Time now) {
  auto endpoint = std::make_shared<EndpointView>();
  endpoint->record = record;
  endpoint->hash = HashText(record.id.value());
  endpoint->incarnation = IncarnationOf(record);
  endpoint->notice = NoticeOf(notices, endpoint->incarnation);
  endpoint->is_resuming = IsBackingOff(endpoint->notice, now);
  endpoint->state =
      record.draining ? EndpointState::kDraining : EndpointState::kReady;
  endpoint->state_since = now;
  endpoint->warm_at = now + record.warmup_left;
  return endpoint;
}

// The part of EligibilityOf() that does not depend on the time.
Eligibility LastingEligibility(const EndpointSet& set,
                               const EndpointView& endpoint) {
  if (endpoint.state == EndpointState::kDraining)
    return Eligibility::kDraining;
  if (endpoint.state == EndpointState::kGone)
    return Eligibility::kGone;
  if (IsLeaving(endpoint.notice))
    return Eligibility::kLeaving;
  if (set.evacuated.count(endpoint.record.zone) > 0)
    return Eligibility::kEvacuated;
  return Eligibility::kEligible;
}

bool IsSameIncarnation(const EndpointRecord& a, const EndpointRecord& b) {
  return a.started_at_ms == b.started_at_ms && a.address == b.address &&
         a.service == b.service;
}

// Handles the disappearance of the endpoint's record: keeps the endpoint as
// kMissing if the registry is unreliable and the endpoint still answers,
// otherwise removes it.
EndpointChange MarkMissingOrDrop(EndpointSet& set,
                                 const EndpointPtr& endpoint,
                                 Time now) {
  const bool answers = now - endpoint->last_success < kRecentSuccessWindow;
  const bool is_reliable = now >= set.registry_unreliable_until;
  const bool was_draining = endpoint->state == EndpointState::kDraining;
  if (is_reliable || !answers || was_draining) {
    endpoint->ended_abruptly = is_reliable && !was_draining;
    // A record that lapsed while the registry was unreliable proves nothing.
    if (is_reliable || was_draining)
      set.ended[endpoint->incarnation] = now;
    return Drop(set, endpoint, now);
  }
  return SetState(endpoint, EndpointState::kMissing, now);
}

}  // namespace

uint64_t IncarnationOf(const EndpointRecord& record) {
  return HashPair(HashText(record.id.value()),
                  static_cast<uint64_t>(record.started_at_ms));
}

std::vector<EndpointChange> ApplyRecord(EndpointSet& set,
                                        const EndpointRecord& record,
                                        Time now) {
  std::vector<EndpointChange> changes;
  const auto it = set.by_id.find(record.id);
  if (it != set.by_id.end() && !IsSameIncarnation(it->second->record, record)) {
    // The record of an older incarnation may arrive after that of a newer one.
    if (record.started_at_ms < it->second->record.started_at_ms)
      return changes;
    const EndpointPtr ended = it->second;
    ended->ended_abruptly = ended->state != EndpointState::kDraining;
    set.ended[ended->incarnation] = now;
    changes.push_back(Drop(set, ended, now));
  }
  const auto known = set.by_id.find(record.id);
  if (known == set.by_id.end()) {
    const EndpointPtr endpoint = MakeEndpoint(set.notices, record, now);
    set.ended.erase(endpoint->incarnation);
    set.by_id[record.id] = endpoint;
    AddToService(set, endpoint);
    changes.push_back({endpoint, endpoint->state, true});
    return changes;
  }
  const EndpointPtr endpoint = known->second;
  endpoint->record = record;
  endpoint->warm_at = now + record.warmup_left;
  const EndpointState state =
      record.draining ? EndpointState::kDraining : EndpointState::kReady;
  if (state != endpoint->state)
    changes.push_back(SetState(endpoint, state, now));
  return changes;
}

std::vector<EndpointChange> ApplyRemoval(EndpointSet& set,
                                         const EndpointId& id,
                                         Time now) {
  const auto it = set.by_id.find(id);
  if (it == set.by_id.end())
    return {};
  return {MarkMissingOrDrop(set, EndpointPtr(it->second), now)};
}

std::vector<EndpointChange> ApplyList(
    EndpointSet& set,
    const std::vector<EndpointRecord>& records,
    Time now) {
  std::vector<EndpointChange> changes;
  std::set<EndpointId> listed;
  for (const EndpointRecord& it : records) {
    listed.insert(it.id);
    for (EndpointChange& change : ApplyRecord(set, it, now))
      changes.push_back(std::move(change));
  }
  std::vector<EndpointPtr> unlisted;
  for (const auto& [id, endpoint] : set.by_id) {
    if (listed.count(id) == 0 && endpoint->state != EndpointState::kMissing)
      unlisted.push_back(endpoint);
  }
  for (const EndpointPtr& it : unlisted)
    changes.push_back(MarkMissingOrDrop(set, it, now));
  return changes;
}

void SetRegions(EndpointSet& set, const std::map<ZoneId, RegionId>& regions) {
  for (const auto& [id, endpoint] : set.by_id) {
    const auto it = regions.find(endpoint->record.zone);
    endpoint->record.region = it == regions.end() ? RegionId() : it->second;
  }
}

void MarkRegistryUnreliable(EndpointSet& set, Time now) {
  ExtendRegistryUnreliable(set, kMissingRecordGracePeriod, now);
}

void ExtendRegistryUnreliable(EndpointSet& set,
                              Duration unreliable_for,
                              Time now) {
  set.registry_unreliable_until =
      std::max(set.registry_unreliable_until, now + unreliable_for);
}

std::vector<EndpointChange> DropMissing(EndpointSet& set, Time now) {
  std::vector<EndpointChange> changes;
  if (now < set.registry_unreliable_until)
    return changes;
  std::vector<EndpointPtr> missing;
  for (const auto& [id, endpoint] : set.by_id) {
    if (endpoint->state == EndpointState::kMissing)
      missing.push_back(endpoint);
  }
  for (const EndpointPtr& it : missing) {
    set.ended[it->incarnation] = now;
    changes.push_back(Drop(set, it, now));
  }
  return changes;
}

void SetEvacuated(EndpointSet& set, const ZoneId& zone) {
  set.evacuated.insert(zone);
}

void EndEvacuation(EndpointSet& set,
                   const ZoneId& zone,
                   Duration warmup,
                   Time now) {
  if (set.evacuated.erase(zone) == 0)
    return;
  for (const auto& [id, endpoint] : set.by_id) {
    if (endpoint->record.zone == zone)
      endpoint->warm_at = std::max(endpoint->warm_at, now + warmup);
  }
}

Eligibility EligibilityOf(const EndpointSet& set,
                          const EndpointView& endpoint,
                          Time now) {
  const Eligibility lasting = LastingEligibility(set, endpoint);
  if (lasting != Eligibility::kEligible)
    return lasting;
  if (IsBackingOff(endpoint.notice, now))
    return Eligibility::kBackoff;
  if (endpoint.state == EndpointState::kMissing &&
      now - endpoint.last_success >= kRecentSuccessWindow)
    return Eligibility::kMissing;
  return Eligibility::kEligible;
}

bool CountsAsCapacity(const EndpointSet& set, const EndpointView& endpoint) {
  return LastingEligibility(set, endpoint) == Eligibility::kEligible;
}

double CapacitySlots(const EndpointSet& set, const ServiceId& service) {
  const auto it = set.by_service.find(service);
  if (it == set.by_service.end())
    return 0;
  double slots = 0;
  for (const EndpointPtr& endpoint : it->second)
    slots += CountsAsCapacity(set, *endpoint) ? endpoint->record.slots : 0;
  return slots;
}

EndpointPtr FindIncarnation(const EndpointSet& set, uint64_t incarnation) {
  for (const auto& [id, endpoint] : set.by_id) {
    if (endpoint->incarnation == incarnation)
      return endpoint;
  }
  return nullptr;
}

bool OnLeaving(EndpointSet& set, uint64_t incarnation, Time since, Time now) {
  EndpointNotice notice = NoticeOf(set.notices, incarnation);
  if (IsLeaving(notice))
    return false;
  const EndpointPtr endpoint = FindIncarnation(set, incarnation);
  const Time expires_at = (endpoint ? now : since) + kLeavingLifetime;
  if (now >= expires_at || (endpoint && IsLeaving(endpoint->notice)))
    return false;
  notice.leaving_since = since;
  StoreNotice(set.notices, incarnation, notice, expires_at);
  if (endpoint)
    endpoint->notice.leaving_since = since;
  return true;
}

std::optional<Time> OnBackoff(EndpointSet& set,
                              uint64_t incarnation,
                              Duration retry_after,
                              double random,
                              Time now) {
  const EndpointPtr endpoint = FindIncarnation(set, incarnation);
  EndpointNotice notice =
      endpoint ? endpoint->notice : NoticeOf(set.notices, incarnation);
  const bool took_requests = !IsBackingOff(notice, now);
  BackOff(notice, retry_after, random, now);
  StoreNotice(set.notices, incarnation, notice, notice.resume_at);
  if (endpoint) {
    endpoint->notice = notice;
    endpoint->is_resuming = endpoint->is_resuming || IsBackingOff(notice, now);
  }
  if (!took_requests || !IsBackingOff(notice, now))
    return std::nullopt;
  return notice.resume_at;
}

void ExpireNotices(EndpointSet& set, Time now) {
  for (auto it = set.ended.begin(); it != set.ended.end();) {
    it = now - it->second >= kEndedLifetime ? set.ended.erase(it)
                                            : std::next(it);
  }
  auto& entries = set.notices.by_incarnation;
  if (entries.empty())
    return;
  for (const auto& [id, endpoint] : set.by_id) {
    const auto it = IsLeaving(endpoint->notice)
                        ? entries.find(endpoint->incarnation)
                        : entries.end();
    if (it != entries.end())
      it->second.expires_at = now + kLeavingLifetime;
  }
  for (auto it = entries.begin(); it != entries.end();)
    it = now >= it->second.expires_at ? entries.erase(it) : std::next(it);
}

void OnSent(EndpointView& endpoint) {
  ++endpoint.in_flight;
  ++endpoint.sent_since_report;
}

void OnEnded(EndpointView& endpoint) {
  --endpoint.in_flight;
  ++endpoint.ended_since_report;
}

void OnReport(EndpointView& endpoint, const LoadReport& report) {
  endpoint.report = report;
  endpoint.has_report = true;
  endpoint.sent_since_report = 0;
  endpoint.ended_since_report = 0;
}

void OnSuccess(EndpointView& endpoint, Time now) {
  endpoint.failures_in_row = 0;
  endpoint.last_success = now;
  OnRunAnswered(endpoint);
}

void OnMisdirected(EndpointView& endpoint, Time now) {
  endpoint.last_success = Time();
  endpoint.ejected_until = now + kMaxEjectionTime;
}

void OnFailure(EndpointView& endpoint, Time now) {
  ++endpoint.failures_in_row;
  if (endpoint.failures_in_row < kFailuresToEject)
    return;
  const int doublings = std::min(endpoint.failures_in_row - kFailuresToEject,
                                 kMaxEjectionDoublings);
  endpoint.ejected_until =
      now + std::min(kMinEjectionTime * (1 << doublings), kMaxEjectionTime);
}

double EstimatedLoad(const EndpointView& endpoint, Time now) {
  const double own = endpoint.in_flight;
  if (!endpoint.has_report)
    return own;
  const Duration age = now - endpoint.report.at;
  if (age >= kReportLifetime)
    return own;
  const double weight = 1.0 - Seconds(age) / Seconds(kReportLifetime);
  const double reported = endpoint.report.running + endpoint.report.waiting +
                          endpoint.sent_since_report -
                          endpoint.ended_since_report;
  return std::max(own, reported * weight);
}

}  // namespace sassafras
