#include "gateway/gossip.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cmath>
#include <cstring>
#include <limits>
#include <stdexcept>
#include <utility>

#include <nlohmann/json.hpp>

#include "base/cbor_depth.h"
#include "base/hash.h"
#include "base/lenient_json.h"
#include "base/log.h"
#include "gateway/reserves.h"

namespace sassafras {

namespace {

using Json = nlohmann::json;

constexpr int kProtocolVersion = 1;
// Size of the receive buffer; larger datagrams are truncated and fail to
// decode.
constexpr size_t kMaxDatagramBytes = 60 << 10;
// Limits the host notices in one datagram so that it stays well below
// kMaxDatagramBytes.
constexpr size_t kMaxHostNotices = 400;

uint32_t ToMillis(Duration age) {
  return static_cast<uint32_t>(std::clamp<int64_t>(
      Millis(age), 0, std::numeric_limits<uint32_t>::max()));
}

// Limits how often AnnounceSoon() sends to all hosts, because many endpoints
// may fail at the same time.
constexpr Duration kMinAnnounceInterval = std::chrono::milliseconds(200);

// Returns the integer at index `i`. Throws if it has another type or is out of
// the range of `T`.
template <typename T>
T IntegerAt(const Json& items, size_t i) {
  const auto n = ToInteger<T>(items.at(i));
  if (!n)
    throw std::out_of_range("item " + std::to_string(i) + " is out of range");
  return *n;
}

// Returns the notice as an array. The protocol fixes the order of its items.
Json ToJsonArray(const HostNotice& it) {
  return Json::array({it.id.value(), it.ip, it.caller_port, it.zone.value(),
                      it.incarnation, it.heartbeat, static_cast<int>(it.phase),
                      it.config_version, it.cpu_share, it.reaches_store,
                      it.link_mbps});
}

HostNotice ParseHostNotice(const Json& items) {
  HostNotice it;
  it.id = HostId(items.at(0).get<std::string>());
  it.ip = items.at(1).get<std::string>();
  it.caller_port = IntegerAt<uint16_t>(items, 2);
  it.zone = ZoneId(items.at(3).get<std::string>());
  it.incarnation = IntegerAt<uint64_t>(items, 4);
  it.heartbeat = IntegerAt<uint64_t>(items, 5);
  const int phase = IntegerAt<int>(items, 6);
  it.phase = phase >= 0 && phase <= static_cast<int>(HostPhase::kLeaving)
                 ? static_cast<HostPhase>(phase)
                 : HostPhase::kStarting;
  it.config_version = IntegerAt<uint64_t>(items, 7);
  it.cpu_share = items.at(8).get<double>();
  it.reaches_store = items.at(9).get<bool>();
  // Hosts that run an earlier release send no bandwidth.
  if (items.size() > 10)
    it.link_mbps = items.at(10).get<double>();
  return it;
}

// Each send takes three items: the endpoint and two ages in milliseconds.
Json ToJsonArray(const CrashNotice& it) {
  Json items = Json::array({it.request, it.epoch, ToMillis(it.arrival_age)});
  for (const CrashNotice::Send& send : it.sends) {
    items.push_back(send.endpoint);
    items.push_back(ToMillis(send.sent_age));
    items.push_back(ToMillis(send.crash_age));
  }
  return items;
}

CrashNotice ParseCrashNotice(const Json& items) {
  const auto age = [&](size_t i) {
    return std::chrono::milliseconds(IntegerAt<uint32_t>(items, i));
  };
  CrashNotice it;
  it.request = IntegerAt<uint64_t>(items, 0);
  it.epoch = IntegerAt<uint32_t>(items, 1);
  it.arrival_age = age(2);
  for (size_t i = 3; i + 2 < items.size(); i += 3)
    it.sends.push_back({IntegerAt<uint32_t>(items, i), age(i + 1), age(i + 2)});
  return it;
}

// Slots are sent as integer thousandths, which take fewer bytes in CBOR than
// floating-point numbers.
uint32_t ToThousandths(double slots) {
  return static_cast<uint32_t>(std::lround(std::max(slots, 0.0) * 1000));
}

double FromThousandths(uint32_t n) {
  return n / 1000.0;
}

sockaddr_in ToSockaddr(const std::string& ip, uint16_t port) {
  sockaddr_in out{};
  out.sin_family = AF_INET;
  out.sin_port = htons(port);
  inet_pton(AF_INET, ip.c_str(), &out.sin_addr);
  return out;
}

}  // namespace

std::string EncodeGossip(const GossipMessage& message) {
  Json notices = Json::array();
  for (const HostNotice& it : message.notices) {
    if (notices.size() < kMaxHostNotices)
      notices.push_back(ToJsonArray(it));
  }
  Json beats = Json::array();
  for (const HeartbeatNotice& it : message.heartbeats) {
    beats.push_back(it.id_hash);
    beats.push_back(it.heartbeat);
  }
  Json demands = Json::array();
  for (const DemandNotice& it : message.demands) {
    demands.push_back(it.service_hash);
    demands.push_back(ToThousandths(it.urgent_slots));
    demands.push_back(ToThousandths(it.long_slots));
  }
  Json crashes = Json::array();
  for (const CrashNotice& it : message.crashes) {
    crashes.push_back(ToJsonArray(it));
  }
  Json leavings = Json::array();
  for (const LeavingNotice& it : message.leavings) {
    leavings.push_back(it.incarnation);
    leavings.push_back(ToMillis(it.age));
  }
  std::string out;
  Json::to_cbor(
      Json::array({kProtocolVersion, std::move(notices), std::move(beats),
                   std::move(demands), Json::array(), std::move(crashes),
                   std::move(leavings)}),
      out);
  return out;
}

Result<GossipMessage> DecodeGossip(std::string_view bytes) {
  const auto fail = [](const std::string& reason) {
    return leaf::new_error(
        Error{ErrorCode::kBadInput, "decode gossip", "host", reason});
  };
  if (!IsCborWithinDepth(bytes, kMaxCborDepth))
    return fail("malformed or nested too deeply");
  try {
    const Json json = Json::from_cbor(bytes.begin(), bytes.end());
    if (IntegerAt<int>(json, 0) != kProtocolVersion)
      return fail("unsupported protocol version");
    GossipMessage out;
    for (const Json& it : json.at(1))
      out.notices.push_back(ParseHostNotice(it));
    const Json& beats = json.at(2);
    for (size_t i = 0; i + 1 < beats.size(); i += 2) {
      out.heartbeats.push_back(
          {IntegerAt<uint32_t>(beats, i), IntegerAt<uint64_t>(beats, i + 1)});
    }
    // Hosts that run an earlier release send no demands.
    const Json demands = json.size() > 3 ? json[3] : Json::array();
    for (size_t i = 0; i + 2 < demands.size(); i += 3) {
      out.demands.push_back(
          {IntegerAt<uint32_t>(demands, i),
           FromThousandths(IntegerAt<uint32_t>(demands, i + 1)),
           FromThousandths(IntegerAt<uint32_t>(demands, i + 2))});
    }
    // Hosts that run an earlier release send no crashes, or send them as pairs
    // in item 4, which is ignored.
    const Json crashes = json.size() > 5 ? json[5] : Json::array();
    for (const Json& it : crashes)
      out.crashes.push_back(ParseCrashNotice(it));
    // Hosts that run an earlier release send no leavings.
    const Json leavings = json.size() > 6 ? json[6] : Json::array();
    for (size_t i = 0; i + 1 < leavings.size(); i += 2) {
      out.leavings.push_back(
          {IntegerAt<uint64_t>(leavings, i),
           std::chrono::milliseconds(IntegerAt<uint32_t>(leavings, i + 1))});
    }
    return out;
  } catch (const std::exception& e) {
    return fail(e.what());
  }
}

Result<void> Gossip::Start() {
  socket_ =
      Socket(::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  const sockaddr_in own =
      ToSockaddr(state_.settings.ip, state_.settings.gossip_port);
  if (::bind(socket_.fd(), reinterpret_cast<const sockaddr*>(&own),
             sizeof(own)) != 0) {
    return leaf::new_error(Error{
        ErrorCode::kUnavailable, "bind gossip",
        state_.settings.ip + ":" + std::to_string(state_.settings.gossip_port),
        std::strerror(errno)});
  }
  read_watch_ = state_.loop.OnSocket(socket_.fd(), Ready::kRead,
                                     [this](bool, bool) { OnReadable(); });
  state_.members.started = state_.loop.Now();
  round_timer_ = state_.loop.Every(kGossipPeriod, [this] { RunRound(); });
  RunRound();
  return {};
}

void Gossip::OnReadable() {
  static std::array<char, kMaxDatagramBytes> buf;
  for (;;) {
    const ssize_t n = ::recv(socket_.fd(), buf.data(), buf.size(), 0);
    if (n < 0)
      return;
    const GossipMessage message = TryOr(
        [&] {
          return DecodeGossip({buf.data(), static_cast<size_t>(n)});
        },
        [](const Error& e) {
          LogLine(LogLevel::kWarning, "members",
                  "Dropped a malformed gossip message.")
              .With("reason", e.reason);
          return GossipMessage();
        });
    const Time now = state_.loop.Now();
    const GossipResult news = OnGossip(state_.members, message, now);
    OnActivity(state_.freshness, now);
    if (!message.notices.empty())
      OnHostHeard(state_.freshness, now);
    ApplyCrashNotices(message);
    ApplyLeavings(message);
    for (const HostId& it : news.appeared)
      LogLine(LogLevel::kInfo, "members", "Heard from a new or silent host.")
          .With("host", it);
    if (!news.appeared.empty())
      UpdateKnownHosts();
    if (news.is_sender_new)
      SendFullMessage(message.notices.front().ip);
  }
}

void Gossip::ApplyCrashNotices(const GossipMessage& message) {
  for (const CrashNotice& it : message.crashes) {
    const CrashNoticeResult news =
        OnCrashNotice(state_.crashes, it, state_.loop.Now());
    if (!news.became_suspect)
      continue;
    if (news.must_announce)
      AnnounceSoon();
    LogLine(LogLevel::kWarning, "members",
            "Another host reported a suspect request.")
        .With("host", message.notices.empty() ? HostId("-")
                                              : message.notices.front().id)
        .With("request", it.request)
        .With("crashes", CountCrashes(state_.crashes, it.request))
        .With("returned_ms_ago", Millis(it.arrival_age));
  }
}

void Gossip::ApplyLeavings(const GossipMessage& message) {
  const Time now = state_.loop.Now();
  for (const LeavingNotice& it : message.leavings) {
    if (!OnLeaving(state_.endpoints, it.incarnation, now - it.age, now))
      continue;
    const EndpointPtr endpoint =
        FindIncarnation(state_.endpoints, it.incarnation);
    // The record may still arrive.
    if (!endpoint)
      continue;
    state_.pool.CloseIdle(*endpoint);
    state_.metrics.Count("gateway_leaving_notices_total", "source=\"host\"");
    LogLine(LogLevel::kInfo, "endpoints", "Endpoint is leaving.")
        .With("endpoint", endpoint->record.id)
        .With("source", message.notices.empty() ? HostId("-")
                                                : message.notices.front().id)
        .With("age_ms", Millis(it.age))
        .With("registry_state", NameOf(endpoint->state))
        .With("registry_state_ms", Millis(now - endpoint->state_since));
  }
}

void Gossip::SendFullMessage(const std::string& ip) {
  const Time now = state_.loop.Now();
  GossipMessage message = FullSyncMessage(state_.members, now);
  message.crashes = CollectCrashNotices(state_.crashes, now);
  message.leavings = CollectLeavings(state_.endpoints.notices, true, now);
  Send(message, {ip});
}

void Gossip::RunRound() {
  UpdateKnownHosts();
  RefreshReserves(state_);
  const Time now = state_.loop.Now();
  GossipRound round = NextRound(state_.members, state_.settings.seed_ips,
                                state_.settings.regions, now);
  ExpireCrashes(state_.crashes, now);
  round.message.crashes = CollectCrashNotices(state_.crashes, now);
  round.full_sync.crashes = round.message.crashes;
  round.message.leavings =
      CollectLeavings(state_.endpoints.notices, false, now);
  if (!round.full_sync_to_ip.empty())
    round.full_sync.leavings =
        CollectLeavings(state_.endpoints.notices, true, now);
  Send(round.message, round.to_ips);
  if (!round.full_sync_to_ip.empty())
    Send(round.full_sync, {round.full_sync_to_ip});
  if (on_round_)
    on_round_();
}

void Gossip::UpdateKnownHosts() {
  const Time now = state_.loop.Now();
  state_.placement.own_hash = HashText(state_.members.self.id.value());
  state_.placement.host_hashes = KnownHostHashes(state_.members);
  state_.placement.knows_hosts = KnowsHosts(state_.members, now);
  const size_t alive = CountAlive(state_.members, now);
  if (alive == alive_hosts_)
    return;
  LogLine(LogLevel::kInfo, "members", "Number of alive hosts changed.")
      .With("alive", alive)
      .With("before", alive_hosts_);
  alive_hosts_ = alive;
}

void Gossip::Announce() {
  const Time now = state_.loop.Now();
  GossipRound round = UrgentRound(state_.members, now);
  round.message.crashes = CollectCrashNotices(state_.crashes, now);
  Send(round.message, round.to_ips);
}

void Gossip::AnnounceSoon() {
  if (announce_timer_)
    return;
  const Time now = state_.loop.Now();
  const Duration delay =
      std::max(last_announced_ + kMinAnnounceInterval - now, Duration(0));
  announce_timer_ = state_.loop.After(delay, [this] {
    last_announced_ = state_.loop.Now();
    announce_timer_.reset();
    Announce();
  });
}

void Gossip::Send(const GossipMessage& message,
                  const std::vector<std::string>& to_ips) {
  const std::string bytes = EncodeGossip(message);
  for (const std::string& ip : to_ips) {
    const sockaddr_in to = ToSockaddr(ip, state_.settings.gossip_port);
    const ssize_t n =
        ::sendto(socket_.fd(), bytes.data(), bytes.size(), MSG_NOSIGNAL,
                 reinterpret_cast<const sockaddr*>(&to), sizeof(to));
    // A failed send, such as with a full buffer or without a route, is only
    // counted: the next round makes up for it.
    if (n < 0)
      state_.metrics.Count("gateway_gossip_unsent_total", "");
  }
}

}  // namespace sassafras
