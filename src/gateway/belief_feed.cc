#include "gateway/belief_feed.h"

#include <algorithm>
#include <utility>

#include "base/log.h"
#include "platform/platform.h"

namespace sassafras {

namespace {

constexpr Duration kTickPeriod = std::chrono::milliseconds(250);
// A store that answers a small list no sooner cannot be relied on.
constexpr Duration kProbeTimeout = std::chrono::milliseconds(600);
// How often a host that need not follow the store tries one that it lost.
constexpr Duration kLostStoreProbe = std::chrono::milliseconds(1200);
constexpr Duration kOwnHostRetry = std::chrono::seconds(2);

constexpr char kMeshName[] = "gateway";

StoreObject ObjectOf(const CacheItem& item) {
  return {item.kind, item.name, item.revision, item.value};
}

void LogChange(const EndpointChange& change) {
  LogLine(LogLevel::kInfo, "endpoints",
          change.is_new ? "Endpoint is new." : "Endpoint changed.")
      .With("endpoint", change.endpoint->record.id)
      .With("service", change.endpoint->record.service)
      .With("zone", change.endpoint->record.zone)
      .With("from", change.is_new ? "-" : NameOf(change.from))
      .With("to", NameOf(change.endpoint->state))
      .With("warmup_ms", Millis(change.endpoint->record.warmup_left));
}

}  // namespace

BeliefFeed::BeliefFeed(GatewayState& state,
                       std::function<void()> on_complete,
                       std::function<void()> on_news)
    : state_(state),
      on_complete_(std::move(on_complete)),
      on_news_(std::move(on_news)),
      store_(platform::ConnectStore(state.loop, state.settings.store)),
      started_(state.loop.Now()) {}

Result<void> BeliefFeed::Start() {
  table_ = MakeBeliefTable({platform::kConfigKind, platform::kEndpointKind,
                            platform::kEvacuationKind});
  MeshConfig config;
  config.self = state_.settings.host;
  config.listen = {state_.settings.ip, state_.settings.peer_port};
  config.deployment = kMeshName;
  BOOST_LEAF_ASSIGN(mesh_,
                    StartMesh(
                        state_.loop, config,
                        [this](const HostId& host) { return AddressOf(host); },
                        [this](const HostId& from, const Message& message) {
                          OnMessage(from, message);
                        }));
  store_->set_on_reachable([this](bool reachable) { OnReachable(reachable); });
  tick_ = state_.loop.Every(kTickPeriod, [this] { OnTick(); });
  ReadFirstLists();
  ReadHosts();
  WriteOwnHost();
  return {};
}

std::optional<Address> BeliefFeed::AddressOf(const HostId& host) const {
  const auto it = state_.members.others.find(host);
  if (it == state_.members.others.end())
    return std::nullopt;
  return Address{it->second.notice.ip, state_.settings.peer_port};
}

void BeliefFeed::OnRound() {
  const Time now = state_.loop.Now();
  const FeedInput input{&state_.members, &state_.settings.regions,
                        HasFollowers(followers_, now), started_};
  const FeedSource before = choice_.source;
  if (UpdateFeedChoice(choice_, input, now)) {
    LogChoice();
    if (choice_.source != before) {
      follows_.clear();
      if (choice_.source == FeedSource::kStore)
        FollowStore();
    }
  }
  const CacheFollow known = PositionsOf(table_);
  for (const auto& [relay, heard] : choice_.relays)
    mesh_->Send(relay, known);
  // A host that lost the store finds out when it is back, since others pass
  // it over until then.
  if (choice_.source == FeedSource::kStore ||
      (!store_reachable_ && now - probed_ >= kLostStoreProbe))
    ProbeStore();
}

void BeliefFeed::LogChoice() const {
  std::string relays;
  for (const auto& [relay, heard] : choice_.relays)
    relays += (relays.empty() ? "" : ",") + relay.value();
  LogLine(LogLevel::kInfo, "beliefs", "Source is chosen.")
      .With("source", NameOf(choice_.source))
      .With("relays", relays.empty() ? "-" : relays)
      .With("complete", is_complete_);
}

// Cheap lists of any replica, so that the host serves before it has found a
// relay; what they lack follows from its source.
void BeliefFeed::ReadFirstLists() {
  for (const auto& [kind, known] : table_.kinds) {
    store_->List({kind}, [this, name = kind](const StoreReply& reply) {
      if (reply.status != StoreStatus::kOk || reply.as_of == 0 ||
          table_.kinds[name].as_of > 0)
        return;
      TakeStoreChange(name, {reply.objects, true, reply.as_of});
    });
  }
}

void BeliefFeed::TakeStoreChange(const std::string& kind,
                                 const StoreChange& change) {
  store_answered_ = state_.loop.Now();
  const auto news = ApplyStoreChange(table_, kind, change);
  Take(news);
  if (news.empty() || !IsComplete(table_))
    return;
  for (const AddressedPush& it :
       PushToAll(followers_, table_, Doubt(), state_.loop.Now()))
    Push(it.to, it.push);
}

void BeliefFeed::FollowStore() {
  for (const auto& [kind, known] : table_.kinds) {
    follows_.push_back(
        store_->Follow(kind, [this, name = kind](const StoreChange& change) {
          TakeStoreChange(name, change);
        }));
  }
}

void BeliefFeed::OnMessage(const HostId& from, const Message& message) {
  if (const auto* follow = std::get_if<CacheFollow>(&message))
    OnFollowMessage(from, *follow);
  else if (const auto* push = std::get_if<CachePush>(&message))
    OnPush(from, *push);
}

// Being asked makes a host follow the store from the next round on; until then
// it passes on what it knows, and says how old that is.
void BeliefFeed::OnFollowMessage(const HostId& from,
                                 const CacheFollow& follow) {
  Push(from,
       OnFollow(followers_, table_, from, follow, Doubt(), state_.loop.Now()));
}

void BeliefFeed::OnPush(const HostId& from, const CachePush& push) {
  const Time now = state_.loop.Now();
  OnRelayHeard(choice_, from, std::chrono::milliseconds(push.store_age_ms),
               std::chrono::milliseconds(push.doubt_ms), now);
  // A host that follows the store knows itself whether it answers.
  if (choice_.source == FeedSource::kRelays)
    ExtendDoubt(state_.endpoints, CommonDoubt(choice_, now), now);
  Take(ApplyPush(table_, push));
}

void BeliefFeed::OnReachable(bool reachable) {
  store_reachable_ = reachable;
  LogLine(LogLevel::kWarning, "store",
          reachable ? "Store answers again." : "Store does not answer.")
      .With("config", state_.config ? state_.config->version : 0);
  // A host that follows relays goes by what they say of the store.
  if (choice_.source == FeedSource::kStore)
    MarkRegistryUnreliable(state_.endpoints, state_.loop.Now());
  if (state_.members.self.reaches_store == reachable)
    return;
  // Others choose their relays by this.
  state_.members.self.reaches_store = reachable;
  on_news_();
}

void BeliefFeed::Push(const HostId& to, CachePush push) {
  push.store_age_ms = static_cast<uint64_t>(
      std::max<int64_t>(Millis(state_.loop.Now() - store_answered_), 0));
  mesh_->Send(to, push);
}

Duration BeliefFeed::Doubt() const {
  return state_.endpoints.registry_unreliable_until - state_.loop.Now();
}

// Asks for little from any replica: a watch that waits does not show whether
// the store can still be reached.
void BeliefFeed::ProbeStore() {
  if (is_probing_)
    return;
  is_probing_ = true;
  probed_ = state_.loop.Now();
  store_->List({platform::kEvacuationKind, kProbeTimeout},
               [this](const StoreReply& reply) {
                 is_probing_ = false;
                 if (reply.status == StoreStatus::kOk)
                   store_answered_ = state_.loop.Now();
               });
}

void BeliefFeed::OnTick() {
  const Time now = state_.loop.Now();
  if (choice_.source == FeedSource::kStore && !store_reachable_)
    MarkRegistryUnreliable(state_.endpoints, now);
  ApplyChanges(DropMissing(state_.endpoints, now));
  state_.pool.Sweep();
}

void BeliefFeed::ApplyChanges(const std::vector<EndpointChange>& changes) {
  for (const EndpointChange& it : changes) {
    LogChange(it);
    if (it.endpoint->state != EndpointState::kReady)
      state_.pool.Drop(*it.endpoint);
  }
}

void BeliefFeed::Take(const std::vector<CacheItem>& items) {
  const bool was_complete = is_complete_;
  for (const CacheItem& it : items) {
    if (it.kind == platform::kEndpointKind)
      TakeEndpoint(it);
    else if (it.kind == platform::kConfigKind)
      TakeConfig(it);
    else if (it.kind == platform::kEvacuationKind)
      TakeEvacuation(it);
  }
  is_complete_ = IsComplete(table_) && state_.config;
  if (is_complete_ && !was_complete)
    on_complete_();
}

void BeliefFeed::TakeEndpoint(const CacheItem& item) {
  const Time now = state_.loop.Now();
  if (item.removed) {
    ApplyChanges(ApplyRemoval(state_.endpoints, EndpointId(item.name), now));
    return;
  }
  TryOr(
      [&]() -> Result<void> {
        BOOST_LEAF_AUTO(record, platform::DecodeEndpoint(
                                    ObjectOf(item), state_.settings.regions));
        ApplyChanges(ApplyRecord(state_.endpoints, record, now));
        return {};
      },
      [](const Error& e) {
        LogLine(LogLevel::kWarning, "endpoints", "Record is malformed.")
            .With("reason", e.ToString());
      });
}

void BeliefFeed::TakeConfig(const CacheItem& item) {
  if (item.name != platform::kConfigName || item.removed)
    return;
  auto config = TryOr(
      [&]() -> Result<std::shared_ptr<const SteeringConfig>> {
        BOOST_LEAF_AUTO(it, platform::DecodeConfig(ObjectOf(item)));
        return std::make_shared<const SteeringConfig>(std::move(it));
      },
      [](const Error& e) {
        LogLine(LogLevel::kError, "config", "Configuration is malformed.")
            .With("reason", e.ToString());
        return std::shared_ptr<const SteeringConfig>();
      });
  if (!config)
    return;
  const uint64_t before = state_.config ? state_.config->version : 0;
  const bool is_newer = !state_.config || config->version > before;
  LogLine(LogLevel::kInfo, "config",
          is_newer ? "Configuration is in force." : "Configuration is old.")
      .With("version", config->version)
      .With("before", before)
      .With("revision", item.revision);
  if (!is_newer)
    return;
  state_.config = std::move(config);
  state_.members.self.config_version = state_.config->version;
}

void BeliefFeed::TakeEvacuation(const CacheItem& item) {
  const ZoneId zone(item.name);
  LogLine(LogLevel::kInfo, "endpoints",
          item.removed ? "Evacuation ends." : "Evacuation begins.")
      .With("zone", zone)
      .With("revision", item.revision);
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

void BeliefFeed::ReadHosts() {
  store_->List({platform::kHostKind}, [this](const StoreReply& reply) {
    for (const StoreObject& object : reply.objects) {
      TryOr(
          [&]() -> Result<bool> {
            BOOST_LEAF_AUTO(notice, platform::DecodeHost(object));
            Introduce(state_.members, notice, state_.loop.Now());
            return true;
          },
          [](const Error& e) {
            LogLine(LogLevel::kWarning, "members", "Host is malformed.")
                .With("reason", e.ToString());
            return false;
          });
    }
  });
}

// Lets hosts that start later find this one when their seeds are gone.
void BeliefFeed::WriteOwnHost() {
  const StorePut put{platform::kHostKind, state_.settings.host.value(), 0,
                     platform::EncodeHost(state_.members.self)};
  store_->PutIf(put, [this](const StoreReply& reply) {
    // An object of an earlier start says the same.
    if (reply.status == StoreStatus::kOk ||
        reply.status == StoreStatus::kConflict)
      return;
    LogLine(LogLevel::kWarning, "members", "Own host cannot be written.")
        .With("status", NameOf(reply.status));
    own_host_retry_ =
        state_.loop.After(kOwnHostRetry, [this] { WriteOwnHost(); });
  });
}

}  // namespace sassafras
