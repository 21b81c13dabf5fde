#include "gateway/store_cache_feed.h"

#include <algorithm>
#include <utility>

#include "base/log.h"
#include "gateway/crash_report.h"
#include "platform/platform.h"
#include "routing/state_freshness.h"

namespace sassafras {

namespace {

constexpr Duration kTickPeriod = std::chrono::milliseconds(250);
// A store that takes longer to answer a small list counts as unreachable.
constexpr Duration kProbeTimeout = std::chrono::milliseconds(600);
// How often a host that follows relays probes a store that it could not reach.
constexpr Duration kLostStoreProbeInterval = std::chrono::milliseconds(1200);
constexpr Duration kOwnHostRetryDelay = std::chrono::seconds(2);
// In a new era, hosts write their records again within this time for each of
// them, at random, so that all together stay below the store's limit.
constexpr Duration kOwnHostWriteInterval = std::chrono::milliseconds(10);

constexpr char kMeshDeployment[] = "gateway";
// Names the store as the source of objects.
constexpr char kStoreSource[] = "store";

StoreObject ObjectOf(const CacheItem& item) {
  return {item.kind, item.name, item.position.revision(), item.value};
}

void LogChange(const EndpointChange& change) {
  LogLine(LogLevel::kInfo, "endpoints",
          change.is_new ? "Endpoint added." : "Endpoint changed.")
      .With("endpoint", change.endpoint->record.id)
      .With("service", change.endpoint->record.service)
      .With("zone", change.endpoint->record.zone)
      .With("from", change.is_new ? "-" : NameOf(change.from))
      .With("to", NameOf(change.endpoint->state))
      .With("warmup_ms", Millis(change.endpoint->record.warmup_left));
}

void LogUnreadableParts(const SteeringConfig& config) {
  for (const std::string& it : config.unreadable) {
    LogLine(LogLevel::kError, "config",
            "A part of the configuration cannot be read.")
        .With("version", config.version)
        .With("reason", it)
        .With("unreadable_parts", config.unreadable_count);
  }
}

}  // namespace

StoreCacheFeed::StoreCacheFeed(GatewayState& state,
                               std::function<void()> on_complete,
                               std::function<void()> on_self_changed)
    : state_(state),
      on_complete_(std::move(on_complete)),
      on_self_changed_(std::move(on_self_changed)),
      store_(platform::ConnectStore(state.loop, state.settings.store_address)),
      started_(state.loop.Now()) {
  state_.freshness.started = started_;
  state_.freshness.active_at = started_;
}

Result<void> StoreCacheFeed::Start() {
  table_ = MakeStoreCache({platform::kConfigKind, platform::kEndpointKind,
                           platform::kEvacuationKind});
  MeshConfig config;
  config.self = state_.settings.host;
  config.listen = {state_.settings.ip, state_.settings.peer_port};
  config.deployment = kMeshDeployment;
  BOOST_LEAF_ASSIGN(mesh_,
                    StartMesh(
                        state_.loop, config,
                        [this](const HostId& host) { return AddressOf(host); },
                        [this](const HostId& from, const Message& message) {
                          OnMessage(from, message);
                        }));
  store_->set_on_reachable(
      [this](bool reachable) { OnStoreReachable(reachable); });
  store_->set_known_names(
      [this](const std::string& kind) { return NamesOf(table_, kind); });
  store_->set_expected_names(
      [this](const std::string& kind) { return ExpectedNames(kind); });
  tick_ = state_.loop.Every(kTickPeriod, [this] { OnTick(); });
  ReadFirstLists();
  ReadHosts();
  WriteOwnHost();
  return {};
}

std::optional<Address> StoreCacheFeed::AddressOf(const HostId& host) const {
  const auto it = state_.members.others.find(host);
  if (it == state_.members.others.end())
    return std::nullopt;
  return Address{it->second.notice.ip, state_.settings.peer_port};
}

void StoreCacheFeed::OnRound() {
  UpdateSource();
  const CacheFollow known = PositionsOf(table_);
  for (const auto& [relay, heard] : choice_.relays)
    mesh_->Send(relay, known);
  // A host that cannot reach the store keeps probing it, because other hosts do
  // not choose it as a relay until the store answers again.
  if (choice_.source == FeedSource::kStore ||
      (!store_reachable_ &&
       state_.loop.Now() - last_probe_ >= kLostStoreProbeInterval))
    ProbeStore();
}

void StoreCacheFeed::UpdateSource() {
  const Time now = state_.loop.Now();
  const FeedInput input{&state_.members, &state_.settings.regions,
                        HasFollowers(followers_, now), started_};
  const FeedSource before = choice_.source;
  if (UpdateFeedChoice(choice_, input, now)) {
    RecordFeedChoice();
    if (choice_.source != before) {
      store_watches_.clear();
      if (choice_.source == FeedSource::kStore)
        FollowStore();
    }
  }
  WatchForCutOff();
}

void StoreCacheFeed::WatchForCutOff() {
  cut_off_timer_.reset();
  const auto time = TimeUntilCutOff(choice_, state_.loop.Now());
  if (!time)
    return;
  cut_off_timer_ = state_.loop.After(std::max(*time, Duration(0)), [this] {
    const auto left = TimeUntilCutOff(choice_, state_.loop.Now());
    if (left && *left <= Duration(0))
      UpdateSource();
    else
      WatchForCutOff();
  });
}

void StoreCacheFeed::RecordFeedChoice() {
  std::string relays;
  state_.source.feed = NameOf(choice_.source);
  state_.source.relays.clear();
  for (const auto& [relay, heard] : choice_.relays) {
    state_.source.relays.push_back(relay);
    relays += (relays.empty() ? "" : ",") + relay.value();
  }
  LogLine(LogLevel::kInfo, "beliefs", "Store feed source or relays changed.")
      .With("source", NameOf(choice_.source))
      .With("relays", relays.empty() ? "-" : relays)
      .With("complete", is_complete_);
}

// Reads a list of each kind, so that the host can serve before it has found a
// relay. The feed's source later delivers what changes after these lists.
void StoreCacheFeed::ReadFirstLists() {
  for (const auto& [kind, known] : table_.kinds) {
    store_->List({kind, {}, FreshnessOfFirstList(kind)},
                 [this, name = kind](const StoreReply& reply) {
                   OnCallEnded(reply.status);
                   if (reply.status == StoreStatus::kOk)
                     OnFirstList(name, reply);
                   else if (name == platform::kConfigKind)
                     ReadConfigByName();
                 });
  }
}

// The store may answer this although it cannot answer the list.
void StoreCacheFeed::ReadConfigByName() {
  store_->Get({platform::kConfigKind, platform::kConfigName},
              [this](const StoreReply& reply) {
                if (reply.status != StoreStatus::kOk ||
                    table_.kinds[platform::kConfigKind].as_of.is_known())
                  return;
                OnStoreChange(platform::kConfigKind,
                              {reply.objects, false, reply.as_of, true});
              });
}

std::set<std::string> StoreCacheFeed::ExpectedNames(
    const std::string& kind) const {
  std::set<std::string> names;
  if (kind == platform::kConfigKind)
    names.insert(platform::kConfigName);
  if (kind == platform::kEvacuationKind) {
    for (const auto& [zone, region] : state_.settings.regions)
      names.insert(zone.value());
  }
  return names;
}

void StoreCacheFeed::OnFirstList(const std::string& kind,
                                 const StoreReply& list) {
  const StorePosition known = table_.kinds[kind].as_of;
  // The objects of a partial list give the host no position: others may know
  // the whole list and send it.
  if (list.is_partial && !known.is_known()) {
    OnStoreChange(
        kind, {list.objects, false, StorePosition(list.as_of.era(), 0), true});
  } else if (!list.is_partial && list.as_of > known) {
    OnStoreChange(kind, {list.objects, true, list.as_of});
  } else {
    LogLine(LogLevel::kInfo, "beliefs", "Did not use a list from the store.")
        .With("kind", kind)
        .With("is_partial", list.is_partial)
        .With("as_of", list.as_of)
        .With("known", known);
  }
}

// A host sends by its first configuration and evacuations, which must not be
// older than its start. Endpoint records may have many pages; what the list
// lacks is delivered by the feed's source.
ListFreshness StoreCacheFeed::FreshnessOfFirstList(
    const std::string& kind) const {
  return kind == platform::kEndpointKind ? ListFreshness::kMayBeStale
                                         : ListFreshness::kCurrent;
}

void StoreCacheFeed::OnStoreChange(const std::string& kind,
                                   const StoreChange& change) {
  OnCallEnded(StoreStatus::kOk);
  const StorePosition before = table_.kinds[kind].as_of;
  const auto new_items = ApplyStoreChange(table_, kind, change);
  if (change.complete || change.is_partial_list)
    LogList(kind, change, before, new_items.size());
  OnNewEra(kind, before, kStoreSource);
  ApplyItems(new_items, kStoreSource);
  if (kind == platform::kConfigKind)
    RecordDelivery(kStoreSource, change.as_of);
  if (new_items.empty() || !IsComplete(table_))
    return;
  for (const AddressedPush& it :
       PushToAll(followers_, table_, UnreliableFor(), state_.loop.Now()))
    Push(it.to, it.push);
}

// `newest_revision` is what the objects themselves show of the list's position.
void StoreCacheFeed::LogList(const std::string& kind,
                             const StoreChange& list,
                             const StorePosition& before,
                             size_t changed) const {
  uint64_t newest = 0;
  for (const StoreObject& it : list.objects)
    newest = std::max(newest, it.revision);
  LogLine(LogLevel::kInfo, "beliefs", "Read a list from the store.")
      .With("kind", kind)
      .With("is_partial", list.is_partial_list)
      .With("as_of", list.as_of)
      .With("newest_revision", newest)
      .With("before", before)
      .With("is_used", !list.complete || list.as_of >= before)
      .With("objects", list.objects.size())
      .With("changed", changed);
}

void StoreCacheFeed::OnNewEra(const std::string& kind,
                              const StorePosition& before,
                              const std::string& source) {
  const StorePosition& as_of = table_.kinds[kind].as_of;
  if (!before.is_known() || as_of.era() <= before.era())
    return;
  const Time now = state_.loop.Now();
  LogLine(LogLevel::kWarning, "beliefs",
          "The store came back from an older copy; its list replaces the "
          "cached one.")
      .With("kind", kind)
      .With("before", before)
      .With("as_of", as_of)
      .With("source", source)
      .With("config", state_.config ? state_.config->version : 0)
      .With("state_age_ms", StateAgeMs());
  // Records that were written after the copy are missing until they are
  // renewed.
  MarkRegistryUnreliable(state_.endpoints, now);
  if (as_of.era() <= own_host_era_)
    return;
  own_host_era_ = as_of.era();
  const auto hosts =
      static_cast<int64_t>(KnownHostHashes(state_.members).size());
  std::uniform_int_distribution<int64_t> delay(
      0, hosts * Millis(kOwnHostWriteInterval));
  own_host_retry_ =
      state_.loop.After(std::chrono::milliseconds(delay(state_.random)),
                        [this] { WriteOwnHost(); });
}

void StoreCacheFeed::OnCallEnded(StoreStatus status) {
  const Time now = state_.loop.Now();
  OnActivity(state_.freshness, now);
  if (status == StoreStatus::kOk)
    last_store_answer_ = now;
  else
    OnStoreFailed(state_.freshness, now);
}

void StoreCacheFeed::FollowStore() {
  followed_at_.clear();
  for (const auto& [kind, known] : table_.kinds) {
    const StorePosition from = known.is_partial ? StorePosition() : known.as_of;
    store_watches_.push_back(store_->Follow(
        kind, from, [this, name = kind](const StoreChange& change) {
          OnStoreChange(name, change);
          OnFollowed(name);
        }));
  }
}

// The state is as old as the kind that the store has answered least recently.
void StoreCacheFeed::OnFollowed(const std::string& kind) {
  const Time now = state_.loop.Now();
  followed_at_[kind] = now;
  if (followed_at_.size() < table_.kinds.size())
    return;
  const auto oldest = std::min_element(
      followed_at_.begin(), followed_at_.end(),
      [](const auto& a, const auto& b) { return a.second < b.second; });
  Confirm(kStoreSource, now - oldest->second);
}

void StoreCacheFeed::Confirm(const std::string& source, Duration age) {
  const Time now = state_.loop.Now();
  const bool was_confirmed = IsConfirmed(state_.freshness);
  OnConfirmed(state_.freshness, state_.members, age, now);
  if (was_confirmed || !IsConfirmed(state_.freshness))
    return;
  LogLine(LogLevel::kInfo, "beliefs", "State is confirmed after the start.")
      .With("source", source)
      .With("age_ms", Millis(age))
      .With("ms", Millis(now - started_));
}

void StoreCacheFeed::OnMessage(const HostId& from, const Message& message) {
  if (const auto* follow = std::get_if<CacheFollow>(&message))
    OnFollowMessage(from, *follow);
  else if (const auto* push = std::get_if<CachePush>(&message))
    OnPush(from, *push);
}

// A host that gets its first follower starts to follow the store in the next
// round. Until then it sends what its cache holds, together with its age.
void StoreCacheFeed::OnFollowMessage(const HostId& from,
                                     const CacheFollow& follow) {
  Push({from}, OnFollow(followers_, table_, from, follow, UnreliableFor(),
                        state_.loop.Now()));
}

void StoreCacheFeed::OnPush(const HostId& from, const CachePush& push) {
  const Time now = state_.loop.Now();
  OnActivity(state_.freshness, now);
  OnHostHeard(state_.freshness, now);
  // A relay that has not met the store's era counts as one that lost the store.
  const bool is_of_earlier_era = IsOfEarlierEra(table_, push);
  if (!is_of_earlier_era) {
    OnRelayHeard(choice_, from, std::chrono::milliseconds(push.store_age_ms),
                 std::chrono::milliseconds(push.doubt_ms), now);
  }
  // A host that follows the store sees by itself whether the store answers.
  if (choice_.source == FeedSource::kRelays)
    ExtendRegistryUnreliable(state_.endpoints, MinUnreliableFor(choice_, now),
                             now);
  const CacheFollow before = PositionsOf(table_);
  const auto new_items =
      ApplyPush(table_, push,
                choice_.source == FeedSource::kStore ? CacheSource::kStore
                                                     : CacheSource::kRelays);
  for (const CachePosition& it : before.positions)
    OnNewEra(it.kind, it.as_of, from.value());
  ApplyItems(new_items, from.value());
  for (const CacheSpan& it : push.spans) {
    if (it.kind == platform::kConfigKind &&
        it.from <= table_.kinds[it.kind].as_of)
      RecordDelivery(from.value(), it.as_of);
  }
  AskAgainAfterLoss(from, push);
  if (!is_of_earlier_era && push.state_age_ms < kUnknownStateAgeMs &&
      IsUpToDate(table_, push))
    Confirm(from.value(), std::chrono::milliseconds(push.state_age_ms));
}

void StoreCacheFeed::AskAgainAfterLoss(const HostId& relay,
                                       const CachePush& push) {
  const auto follow = FollowAfterLoss(table_, push);
  if (!follow || !MayAskAgain(choice_, relay, state_.loop.Now()))
    return;
  mesh_->Send(relay, *follow);
  state_.metrics.Count("gateway_lost_pushes_total", "");
  LogLine(LogLevel::kInfo, "beliefs",
          "A push of a relay was lost; asked for it again.")
      .With("relay", relay)
      .With("config", state_.config ? state_.config->version : 0)
      .With("state_age_ms", StateAgeMs());
}

void StoreCacheFeed::OnStoreReachable(bool reachable) {
  store_reachable_ = reachable;
  if (!reachable)
    OnCallEnded(StoreStatus::kUnavailable);
  LogLine(LogLevel::kWarning, "store",
          reachable ? "Store answers again." : "Store does not answer.")
      .With("config", state_.config ? state_.config->version : 0);
  // A host that follows relays relies on their reports about the store instead.
  if (choice_.source == FeedSource::kStore)
    MarkRegistryUnreliable(state_.endpoints, state_.loop.Now());
  if (state_.members.self.reaches_store == reachable)
    return;
  // Other hosts choose their relays by this.
  state_.members.self.reaches_store = reachable;
  on_self_changed_();
}

void StoreCacheFeed::Push(const std::vector<HostId>& to, CachePush push) {
  push.state_age_ms =
      IsConfirmed(state_.freshness)
          ? static_cast<uint64_t>(std::max<int64_t>(
                Millis(state_.loop.Now() - state_.freshness.confirmed_at), 0))
          : kUnknownStateAgeMs;
  push.store_age_ms = static_cast<uint64_t>(
      std::max<int64_t>(Millis(state_.loop.Now() - last_store_answer_), 0));
  mesh_->SendToAll(to, push);
}

void StoreCacheFeed::RecordDelivery(const std::string& source,
                                    const StorePosition& as_of) {
  const std::string labels =
      MetricLabel("source", source == kStoreSource ? "store" : "relay");
  for (const DeliveredVersion& it :
       OnDelivered(config_delivery_, source, as_of, state_.loop.Now())) {
    state_.metrics.Observe(
        "gateway_config_delivery_seconds",
        labels + (it.is_first ? R"(,order="first")" : R"(,order="later")"),
        it.time);
    LogLine(LogLevel::kInfo, "config", "A source delivered a version.")
        .With("version", it.number)
        .With("source", source)
        .With("is_first", it.is_first)
        .With("ms", Millis(it.time));
  }
}

int64_t StoreCacheFeed::StateAgeMs() const {
  return IsConfirmed(state_.freshness)
             ? Millis(state_.loop.Now() - state_.freshness.confirmed_at)
             : -1;
}

Duration StoreCacheFeed::UnreliableFor() const {
  return state_.endpoints.registry_unreliable_until - state_.loop.Now();
}

// Requests a small list from any replica of the store, because a pending watch
// does not show whether the store can still be reached.
void StoreCacheFeed::ProbeStore() {
  if (is_probing_)
    return;
  is_probing_ = true;
  last_probe_ = state_.loop.Now();
  StoreList list;
  list.kind = platform::kEvacuationKind;
  list.timeout = kProbeTimeout;
  list.freshness = ListFreshness::kMayBeStale;
  list.only_first_page = true;
  store_->List(list, [this](const StoreReply& reply) {
    is_probing_ = false;
    OnCallEnded(reply.status);
  });
}

void StoreCacheFeed::OnTick() {
  const Time now = state_.loop.Now();
  OnActivity(state_.freshness, now);
  if (choice_.source == FeedSource::kStore && !store_reachable_)
    MarkRegistryUnreliable(state_.endpoints, now);
  ApplyChanges(DropMissing(state_.endpoints, now));
  state_.pool.CloseExpired();
  ExpireUnansweredSends(state_.unanswered_sends, now);
  ExpireNotices(state_.endpoints, now);
  for (const CacheItem& it : TakeDueItems(restored_, now)) {
    LogLine(LogLevel::kWarning, "beliefs",
            "Nobody wrote an object again; the store's copy holds.")
        .With("kind", it.kind)
        .With("name", it.name)
        .With("position", it.position);
    ApplyItems({it}, "copy");
  }
}

void StoreCacheFeed::ApplyChanges(const std::vector<EndpointChange>& changes) {
  for (const EndpointChange& it : changes) {
    LogChange(it);
    if (it.endpoint->ended_abruptly)
      ReportSilentCrashes(state_, *it.endpoint);
    if (it.endpoint->state != EndpointState::kReady)
      state_.pool.CloseIdle(*it.endpoint);
  }
}

void StoreCacheFeed::ApplyItems(const std::vector<CacheItem>& items,
                                const std::string& source) {
  for (const CacheItem& it : items) {
    DropHeldItem(restored_, it);
    if (it.kind == platform::kEndpointKind)
      ApplyEndpoint(it, source);
    else if (it.kind == platform::kConfigKind)
      ApplyConfig(it, source);
    else if (it.kind == platform::kEvacuationKind)
      ApplyEvacuation(it, source);
  }
  state_.source.positions = PositionsOf(table_).positions;
  UpdateComplete();
}

// The host is ready as soon as it can serve routes without home regions: after
// a loss of power, no host may be able to do more.
void StoreCacheFeed::UpdateComplete() {
  if (is_complete_ || !IsComplete(table_) || !state_.config)
    return;
  is_complete_ = true;
  on_complete_();
}

void StoreCacheFeed::Hold(const CacheItem& item,
                          Duration time,
                          const std::string& source) {
  LogLine(LogLevel::kWarning, "beliefs",
          "The store's copy takes back what was acknowledged; waiting.")
      .With("kind", item.kind)
      .With("name", item.name)
      .With("removed", item.removed)
      .With("position", item.position)
      .With("source", source)
      .With("hold_ms", Millis(time));
  HoldItem(restored_, item, time, state_.loop.Now());
}

void StoreCacheFeed::ApplyEndpoint(const CacheItem& item,
                                   const std::string& source) {
  const Time now = state_.loop.Now();
  if (item.removed) {
    ApplyChanges(ApplyRemoval(state_.endpoints, EndpointId(item.name), now));
    return;
  }
  TryOr(
      [&]() -> Result<void> {
        BOOST_LEAF_AUTO(record, platform::DecodeEndpoint(
                                    ObjectOf(item), state_.settings.regions));
        if (item.is_restored && UndoesLeaving(state_.endpoints, record))
          Hold(item, kRestoredHoldTime, source);
        else
          ApplyChanges(ApplyRecord(state_.endpoints, record, now));
        return {};
      },
      [&](const Error& e) {
        LogLine(LogLevel::kWarning, "endpoints",
                "Ignored a malformed endpoint record.")
            .With("reason", e.ToString());
        // An earlier record of this endpoint no longer holds either.
        ApplyChanges(
            ApplyRemoval(state_.endpoints, EndpointId(item.name), now));
      });
}

void StoreCacheFeed::ApplyConfig(const CacheItem& item,
                                 const std::string& source) {
  if (item.name != platform::kConfigName || item.removed)
    return;
  auto config = TryOr(
      [&]() -> Result<std::shared_ptr<const SteeringConfig>> {
        BOOST_LEAF_AUTO(it, platform::DecodeConfig(ObjectOf(item)));
        return std::make_shared<const SteeringConfig>(std::move(it));
      },
      [](const Error& e) {
        LogLine(LogLevel::kError, "config",
                "Ignored a malformed configuration.")
            .With("reason", e.ToString());
        return std::shared_ptr<const SteeringConfig>();
      });
  if (!config)
    return;
  const uint64_t before = state_.config ? state_.config->version : 0;
  const bool is_newer = !state_.config || config->version > before;
  LogLine(LogLevel::kInfo, "config",
          is_newer ? "Applied a new configuration."
                   : "Ignored a configuration that is not newer.")
      .With("version", config->version)
      .With("before", before)
      .With("position", item.position)
      .With("source", source)
      .With("state_age_ms", StateAgeMs());
  if (!is_newer)
    return;
  LogUnreadableParts(*config);
  state_.config = std::move(config);
  state_.members.self.config_version = state_.config->version;
  state_.source.config_source = source;
  state_.source.config_position = item.position;
  state_.source.config_applied_at = state_.loop.Now();
  const Time known_since =
      IsConfirmed(state_.freshness) ? state_.freshness.confirmed_at : started_;
  OnNewVersion(config_delivery_, state_.config->version, item.position,
               state_.loop.Now() - known_since, state_.loop.Now());
}

void StoreCacheFeed::ApplyEvacuation(const CacheItem& item,
                                     const std::string& source) {
  const ZoneId zone(item.name);
  if (item.is_restored && item.removed) {
    Hold(item, kEvacuationHoldTime, source);
    return;
  }
  LogLine(LogLevel::kInfo, "endpoints",
          item.removed ? "Evacuation of an availability zone ended."
                       : "Evacuation of an availability zone started.")
      .With("zone", zone)
      .With("position", item.position)
      .With("source", source);
  if (!item.removed) {
    SetEvacuated(state_.endpoints, zone);
    return;
  }
  Duration warmup{};
  if (state_.config) {
    for (const auto& [name, service] : state_.config->services)
      warmup = std::max(warmup, service.warmup_time);
  }
  EndEvacuation(state_.endpoints, zone, warmup, state_.loop.Now());
}

void StoreCacheFeed::ReadHosts() {
  store_->List({platform::kHostKind, {}, ListFreshness::kMayBeStale},
               [this](const StoreReply& reply) {
                 for (const StoreObject& object : reply.objects) {
                   TryOr(
                       [&]() -> Result<bool> {
                         BOOST_LEAF_AUTO(notice, platform::DecodeHost(object));
                         AddDiscoveredHost(state_.members, notice,
                                           state_.loop.Now());
                         return true;
                       },
                       [](const Error& e) {
                         LogLine(LogLevel::kWarning, "members",
                                 "Ignored a malformed host record.")
                             .With("reason", e.ToString());
                         return false;
                       });
                 }
               });
}

// Writes this host's record to the store, so that hosts that start later can
// find it when none of their seeds is alive.
void StoreCacheFeed::WriteOwnHost() {
  const StorePut put{platform::kHostKind, state_.settings.host.value(), 0,
                     platform::EncodeHost(state_.members.self)};
  store_->PutIf(put, [this](const StoreReply& reply) {
    // On a conflict, the record that an earlier start of this host wrote
    // exists and is good enough.
    if (reply.status == StoreStatus::kOk ||
        reply.status == StoreStatus::kConflict)
      return;
    LogLine(LogLevel::kWarning, "members",
            "Failed to write this host's record to the store; will retry.")
        .With("status", NameOf(reply.status));
    own_host_retry_ =
        state_.loop.After(kOwnHostRetryDelay, [this] { WriteOwnHost(); });
  });
}

}  // namespace sassafras
