#include "decisions/sheet_load.h"

#include <algorithm>
#include <utility>

#include "decisions/json_forms.h"

namespace sassafras {

namespace {

StoreGet ReadIntent() {
  return {std::string(NameOf(DocumentKind::kIntent)), kSoleDocument};
}

LoadStep Finish(LoadProcess& process, LoadOutcome outcome) {
  process.phase = LoadProcess::Phase::kDone;
  process.result.outcome = outcome;
  return process.result;
}

void SetOtherLoad(LoadProcess& process, const Intent& other) {
  process.result.other_operator = other.loaded_by;
  process.result.other_version = other.version;
  process.result.other_at_unix_seconds = other.loaded_at_unix_seconds;
}

std::optional<Intent> IntentIn(const StoreReply& reply, uint64_t& revision) {
  if (reply.objects.empty())
    return std::nullopt;
  revision = reply.objects.front().revision;
  return TryReadPayload<Intent>(reply.objects.front().value);
}

LoadStep WriteIntent(LoadProcess& process) {
  const Intent next = MergeIntent(process.base, process.request);
  process.written = next.version;
  process.phase = LoadProcess::Phase::kWrite;
  ++process.attempts;
  StorePut put;
  put.kind = std::string(NameOf(DocumentKind::kIntent));
  put.name = kSoleDocument;
  put.expected_revision = process.base_revision;
  put.value = Json(next).dump();
  return put;
}

// Looks for this load in the stored intent and its history; empty if it is not
// there.
std::optional<LoadOutcome> FindLoad(LoadProcess& process,
                                    const Intent& present) {
  const std::string& id = process.request.load_id;
  if (present.load_id == id) {
    process.result.version = present.version;
    return LoadOutcome::kInForce;
  }
  for (const Intent::PastLoad& it : present.history) {
    if (it.load_id != id)
      continue;
    process.result.version = it.version;
    SetOtherLoad(process, present);
    return LoadOutcome::kReplaced;
  }
  return std::nullopt;
}

LoadStep AfterBase(LoadProcess& process, const StoreReply& reply) {
  if (reply.status != StoreStatus::kOk &&
      reply.status != StoreStatus::kNotFound) {
    return Finish(process, LoadOutcome::kNotAccepted);
  }
  if (reply.status == StoreStatus::kOk) {
    process.base = IntentIn(reply, process.base_revision);
    if (!process.base)
      return Finish(process, LoadOutcome::kNotAccepted);
  }
  // An earlier attempt with the same load id may have taken effect.
  if (process.base) {
    if (const auto outcome = FindLoad(process, *process.base))
      return Finish(process, *outcome);
  }
  if (process.base && process.base->sheet_hash == process.request.sheet_hash) {
    process.result.version = process.base->version;
    SetOtherLoad(process, *process.base);
    return Finish(process, LoadOutcome::kUnchanged);
  }
  return WriteIntent(process);
}

LoadStep ReadBack(LoadProcess& process) {
  if (process.attempts >= kMaxLoadAttempts)
    return Finish(process, LoadOutcome::kUnknown);
  ++process.attempts;
  process.phase = LoadProcess::Phase::kReadBack;
  return ReadIntent();
}

// Determines the outcome of a load from the intent now in the store, or writes
// again.
LoadStep ResolveByStoredIntent(LoadProcess& process,
                               const std::optional<Intent>& present,
                               uint64_t revision) {
  if (present) {
    if (const auto outcome = FindLoad(process, *present))
      return Finish(process, *outcome);
  }
  // While the base revision is unchanged, the same conditional write can be
  // sent again: at most one of the copies takes effect.
  if (revision == process.base_revision) {
    if (process.attempts >= kMaxLoadAttempts)
      return Finish(process, LoadOutcome::kUnknown);
    return WriteIntent(process);
  }
  if (present)
    SetOtherLoad(process, *present);
  return Finish(process, LoadOutcome::kConflict);
}

LoadStep AfterWrite(LoadProcess& process, const StoreReply& reply) {
  switch (reply.status) {
    case StoreStatus::kOk:
      process.result.version = process.written;
      return Finish(process, LoadOutcome::kInForce);
    case StoreStatus::kUnavailable:
      // The store did not accept this copy of the write, but an earlier copy
      // may have taken effect.
      if (!process.write_uncertain)
        return Finish(process, LoadOutcome::kNotAccepted);
      return ReadBack(process);
    case StoreStatus::kUnknown:
      process.write_uncertain = true;
      return ReadBack(process);
    case StoreStatus::kConflict:
    case StoreStatus::kNotFound:
      return ReadBack(process);
  }
  return Finish(process, LoadOutcome::kUnknown);
}

LoadStep AfterReadBack(LoadProcess& process, const StoreReply& reply) {
  if (reply.status == StoreStatus::kOk) {
    uint64_t revision = 0;
    const auto present = IntentIn(reply, revision);
    return ResolveByStoredIntent(process, present, revision);
  }
  if (reply.status == StoreStatus::kNotFound)
    return ResolveByStoredIntent(process, std::nullopt, 0);
  return ReadBack(process);
}

void MergeService(ServiceIntent& intent,
                  const SheetReading::ServiceChanges& part) {
  if (part.shares)
    intent.shares = *part.shares;
  if (part.priorities)
    intent.priorities = *part.priorities;
  if (part.shift_cap_per_minute)
    intent.shift_cap_per_minute = *part.shift_cap_per_minute;
}

void MergeLeaving(Intent& next, const SheetReading& reading) {
  std::vector<LeavingEndpoint> leaving = reading.leaving;
  for (const LeavingEndpoint& it : next.leaving) {
    if (reading.refused_leaving.count(it.endpoint))
      leaving.push_back(it);
  }
  next.leaving = std::move(leaving);
}

void MergeLinks(Intent& next, const SheetReading& reading) {
  for (const LinkBudget& link : reading.links) {
    const auto it = std::find_if(
        next.links.begin(), next.links.end(), [&](const LinkBudget& old) {
          return old.from == link.from && old.to == link.to;
        });
    if (it != next.links.end())
      *it = link;
    else
      next.links.push_back(link);
  }
}

}  // namespace

Intent MergeIntent(const std::optional<Intent>& base,
                   const LoadRequest& request) {
  Intent next = base.value_or(Intent{});
  if (base) {
    next.history.insert(next.history.begin(),
                        {base->load_id, base->loaded_by, base->version});
    if (next.history.size() > kMaxPastLoads)
      next.history.resize(kMaxPastLoads);
  }
  next.version = next.version.Next();
  next.load_id = request.load_id;
  next.loaded_by = request.operator_name;
  next.loaded_at_unix_seconds = request.now.time_since_epoch().count();
  next.sheet_hash = request.sheet_hash;
  for (const auto& [service, part] : request.reading.services) {
    // A service is added to the intent only with its shares.
    if (next.services.count(service) == 0 && !part.shares)
      continue;
    MergeService(next.services[service], part);
  }
  MergeLeaving(next, request.reading);
  for (const auto& [region, part] : request.reading.headroom)
    next.headroom[region] = part;
  MergeLinks(next, request.reading);
  return next;
}

LoadStep BeginLoad(LoadProcess& process) {
  if (CountAccepted(process.request.reading) == 0)
    return Finish(process, LoadOutcome::kNothingAccepted);
  process.phase = LoadProcess::Phase::kReadBase;
  return ReadIntent();
}

LoadStep ContinueLoad(LoadProcess& process, const StoreReply& reply) {
  switch (process.phase) {
    case LoadProcess::Phase::kReadBase:
      return AfterBase(process, reply);
    case LoadProcess::Phase::kWrite:
      return AfterWrite(process, reply);
    case LoadProcess::Phase::kReadBack:
      return AfterReadBack(process, reply);
    case LoadProcess::Phase::kDone:
      return process.result;
  }
  return process.result;
}

}  // namespace sassafras
