#include "gateway/gateway.h"

#include <malloc.h>
#include <sys/stat.h>

#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstring>
#include <functional>
#include <unordered_map>
#include <utility>

#include "base/hash.h"
#include "base/http_server.h"
#include "base/http_status.h"
#include "base/log.h"
#include "gateway/caller_connection.h"
#include "gateway/gossip.h"
#include "gateway/state_dump.h"
#include "gateway/store_cache_feed.h"
#include "platform/platform.h"
#include "routing/request_buffers.h"
#include "routing/stop_policy.h"

namespace sassafras {

namespace {

constexpr char kPart[] = "gateway";
constexpr int kExitOk = 0;
constexpr int kExitFailed = 1;

constexpr Duration kSweepPeriod = std::chrono::milliseconds(500);
constexpr Duration kSettingsCheckPeriod = std::chrono::seconds(2);
// How often the draining process closes idle connections and checks whether it
// can exit.
constexpr Duration kDrainPollPeriod = std::chrono::milliseconds(20);
// Limits the connections accepted in one turn of the event loop.
constexpr int kMaxAcceptsPerTurn = 32;
// After a failure to accept for lack of descriptors or memory.
constexpr Duration kAcceptPause = std::chrono::milliseconds(50);
// Once a bound is met, this part of it is released, so that it is not met again
// at once.
constexpr size_t kReleasedParts = 16;
// For each of the servers of StartAuxiliaryServers().
constexpr unsigned kMaxAuxiliaryConnections = 256;

uint64_t UnixMillis() {
  const auto since = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(since).count());
}

// Identifies a version of the file by its modification time and size. Empty if
// the file does not exist.
std::string FileStamp(const std::string& path) {
  struct stat st {};
  if (::stat(path.c_str(), &st) != 0)
    return "";
  return std::to_string(st.st_mtim.tv_sec) + "." +
         std::to_string(st.st_mtim.tv_nsec) + "/" + std::to_string(st.st_size);
}

class GatewayProcess {
 public:
  GatewayProcess(const GatewaySettings& settings, std::string settings_path)
      : settings_path_(std::move(settings_path)),
        state_(loop_, settings),
        feed_(
            state_,
            [this] { OnFeedComplete(); },
            [this] { gossip_.Announce(); }),
        gossip_(state_) {
    state_.announce = [this] { gossip_.AnnounceSoon(); };
    state_.bound_request_bytes = [this] { BoundRequestBytes(); };
    HostNotice& self = state_.members.self;
    self.id = settings.host;
    self.ip = settings.ip;
    self.caller_port = settings.caller_address.port;
    self.zone = settings.zone;
    self.incarnation = UnixMillis();
    self.cpu_share = settings.cpu_share;
    self.link_mbps = settings.link_mbps;
    state_.members.random.seed(state_.random());
    ApplyRegions();
  }

  int Run() {
    return TryOr(
        [&]() -> Result<int> {
          BOOST_LEAF_CHECK(Start());
          loop_.Run();
          LogLine(LogLevel::kInfo, kPart, "Stopped.")
              .With("open", state_.open_exchanges);
          return int{kExitOk};
        },
        [](const Error& e) {
          LogLine(LogLevel::kError, kPart, "Start failed.")
              .With("error", e.ToString());
          return int{kExitFailed};
        });
  }

 private:
  Result<void> Start() {
    std::signal(SIGPIPE, SIG_IGN);
    settings_stamp_ = FileStamp(settings_path_);
    BOOST_LEAF_ASSIGN(listener_, Listen(state_.settings.caller_address));
    BoundReceiveBuffers();
    StartAccepting();
    BOOST_LEAF_CHECK(StartAuxiliaryServers());
    BOOST_LEAF_CHECK(feed_.Start());
    gossip_.set_on_round([this] { feed_.OnRound(); });
    BOOST_LEAF_CHECK(gossip_.Start());
    sweep_ = loop_.Every(kSweepPeriod, [this] { Sweep(); });
    flush_log_ = loop_.Every(kLogFlushPeriod, &FlushLog);
    reload_ = loop_.Every(kSettingsCheckPeriod, [this] { ReloadIfChanged(); });
    sigterm_ = loop_.OnSignal(SIGTERM, [this] { Stop(); });
    sigint_ = loop_.OnSignal(SIGINT, [this] { Stop(); });
    sighup_ = loop_.OnSignal(SIGHUP, [this] { Reload(); });
    sigusr1_ = loop_.OnSignal(SIGUSR1, [this] {
      LogLine(LogLevel::kInfo, kPart, "State.")
          .With("state", DumpGateway(state_));
    });
    LogLine(LogLevel::kInfo, kPart, "Started.")
        .With("host", state_.settings.host)
        .With("zone", state_.settings.zone)
        .With("callers", state_.settings.caller_address.ToString())
        .With("store", state_.settings.store_address.ToString());
    return {};
  }

  Result<void> StartAuxiliaryServers() {
    BOOST_LEAF_CHECK(StartAuxiliaryServer(state_.settings.readiness_address));
    BOOST_LEAF_CHECK(StartAuxiliaryServer(state_.settings.directory_address));
    if (state_.settings.operator_address)
      BOOST_LEAF_CHECK(StartAuxiliaryServer(*state_.settings.operator_address));
    return {};
  }

  // Serves readiness, look-ups, metrics and the state dump. Each of them is
  // available on all addresses except the callers' one.
  Result<void> StartAuxiliaryServer(const Address& address) {
    HttpServerConfig config;
    config.listen = address;
    config.max_connections = kMaxAuxiliaryConnections;
    BOOST_LEAF_AUTO(server,
                    StartHttpServer(loop_, config, [this](auto session) {
                      HandleRequest(session);
                    }));
    auxiliary_servers_.push_back(std::move(server));
    return {};
  }

  void HandleRequest(const std::shared_ptr<HttpSession>& session) {
    const std::string& path = session->path();
    if (path == platform::kReadinessPath) {
      const bool ready = state_.members.self.phase == HostPhase::kReady;
      session->Respond(ready ? kHttpOk : kHttpServiceUnavailable, {}, "");
      return;
    }
    if (path == platform::kDirectoryPath) {
      HandleLookup(*session);
      return;
    }
    if (path == "/metrics") {
      session->Respond(kHttpOk, {{"Content-Type", "text/plain"}},
                       ExposeMetrics());
      return;
    }
    if (path == "/state") {
      session->Respond(kHttpOk, {{"Content-Type", "application/json"}},
                       DumpGateway(state_));
      return;
    }
    session->Respond(kHttpNotFound, {}, "");
  }

  std::string ExposeMetrics() const {
    std::string text = state_.metrics.Expose();
    const auto add = [&text](const char* name, uint64_t value) {
      text += std::string(name) + ' ' + std::to_string(value) + '\n';
    };
    add("gateway_open_requests", state_.open_exchanges);
    add("gateway_kept_connections", state_.pool.size());
    add("gateway_hosts_alive", CountAlive(state_.members, loop_.Now()));
    add("gateway_config_version", state_.members.self.config_version);
    for (const CachePosition& it : state_.source.positions) {
      text += "gateway_store_position{kind=\"" + it.kind + "\"} " +
              std::to_string(it.as_of.revision()) + '\n';
      text += "gateway_store_era{kind=\"" + it.kind + "\"} " +
              std::to_string(it.as_of.era()) + '\n';
    }
    add("gateway_log_lines_dropped_total", DroppedLogLines());
    return text;
  }

  void HandleLookup(HttpSession& session) {
    const DirectoryQuery query{
        RegionId(session.Argument(platform::kRegionArgument).value_or("")),
        ZoneId(session.Argument(platform::kZoneArgument).value_or("")),
        session.Argument(platform::kHostNameArgument).value_or("")};
    const DirectoryView view{&state_.members, &state_.settings.regions,
                             state_.config.get(),
                             KnowsHosts(state_.members, loop_.Now())};
    const auto hosts = FindHosts(view, query, loop_.Now());
    state_.metrics.Count("gateway_lookups_total", "");
    if (hosts.empty()) {
      state_.metrics.Count("gateway_lookups_without_hosts_total", "");
      session.Respond(kHttpServiceUnavailable, {}, "");
      return;
    }
    session.Respond(
        kHttpOk, {{"Content-Type", "application/json"}},
        platform::EncodeDirectory(hosts, state_.settings.directory_ttl));
  }

  void OnFeedComplete() {
    HostNotice& self = state_.members.self;
    if (self.phase != HostPhase::kStarting)
      return;
    self.phase = HostPhase::kReady;
    LogLine(LogLevel::kInfo, kPart, "Ready.")
        .With("config", self.config_version)
        .With("endpoints", state_.endpoints.by_id.size());
    gossip_.Announce();
  }

  void StartAccepting() {
    accept_ = loop_.OnSocket(listener_.fd(), Ready::kRead,
                             [this](bool, bool) { Accept(); });
  }

  void Accept() {
    for (int i = 0; i < kMaxAcceptsPerTurn; ++i) {
      BoundReceiveBuffers();
      Socket socket = AcceptConnection(listener_);
      if (!socket.valid()) {
        const bool has_failed = errno == EMFILE || errno == ENFILE ||
                                errno == ENOBUFS || errno == ENOMEM;
        if (has_failed)
          PauseAccepting(errno);
        return;
      }
      if (!BoundConnections()) {
        state_.metrics.Count("gateway_connections_refused_total", "");
        continue;
      }
      auto connection = std::make_shared<CallerConnection>(
          state_, std::move(socket),
          [this](CallerConnection* it) { connections_.erase(it); });
      connections_[connection.get()] = connection;
      connection->Start();
    }
  }

  // The listener stays readable, so that its watch would run without end.
  void PauseAccepting(int error) {
    LogLine(LogLevel::kWarning, kPart, "Cannot accept connections.")
        .With("reason", std::strerror(error))
        .With("connections", connections_.size());
    const size_t n = connections_.size() / kReleasedParts + 1;
    LetGiveWay("accept", [n](const auto& holds) {
      return ChooseForConnections(holds, n);
    });
    accept_.reset();
    accept_timer_ = loop_.After(kAcceptPause, [this] {
      if (listener_.valid())
        StartAccepting();
    });
  }

  void BoundReceiveBuffers() {
    // Connections that wait to be accepted already have buffers.
    const size_t bytes = ReceiveBufferBytes(
        state_.settings.memory_bytes, connections_.size() + kListenBacklog);
    if (bytes == receive_buffer_bytes_)
      return;
    receive_buffer_bytes_ = bytes;
    SetReceiveBuffer(listener_, bytes);
  }

  // Makes room for another connection. Returns whether there is.
  bool BoundConnections() {
    const size_t max = MaxCallerConnections(state_.settings.max_sockets);
    const size_t part = max / kReleasedParts + 1;
    const auto choose = [part](const auto& holds) {
      return ChooseForConnections(holds, part);
    };
    // Those that give way are still open until their callers close, or until
    // they are chosen again.
    if (connections_.size() >= max)
      LetGiveWay("connections", choose);
    if (connections_.size() >= max)
      LetGiveWay("connections", choose);
    return connections_.size() < max;
  }

  void BoundRequestBytes() {
    const size_t max = MaxRequestBytes(state_.settings.memory_bytes);
    const size_t bytes = state_.request_buffers.bytes;
    if (bytes <= max)
      return;
    LetGiveWay("memory", [&](const auto& holds) {
      return ChooseForBytes(holds, bytes - max + max / kReleasedParts);
    });
  }

  // Lets those connections give way that `choose` picks by what they hold.
  void LetGiveWay(
      const char* cause,
      const std::function<std::vector<size_t>(const std::vector<CallerHold>&)>&
          choose) {
    if (gives_way_)
      return;
    gives_way_ = true;
    std::vector<std::shared_ptr<CallerConnection>> all;
    std::vector<CallerHold> holds;
    all.reserve(connections_.size());
    holds.reserve(connections_.size());
    for (const auto& [raw, it] : connections_) {
      all.push_back(it);
      holds.push_back(it->Hold());
    }
    for (const size_t i : choose(holds)) {
      const CallerHold& hold = holds[i];
      LogLine(LogLevel::kWarning, "caller", "Connection gave way to others.")
          .With("cause", cause)
          .With("stage", NameOf(hold.stage))
          .With("bytes", hold.bytes)
          .With("idle_ms", Millis(loop_.Now() - hold.last_progress))
          .With("all_bytes", state_.request_buffers.bytes)
          .With("connections", connections_.size());
      state_.metrics.Count("gateway_connections_gave_way_total",
                           "cause=\"" + std::string(cause) + "\",stage=\"" +
                               std::string(NameOf(hold.stage)) + "\"");
      all[i]->GiveWay();
    }
    gives_way_ = false;
  }

  // Iterates over a copy, because `fn` may close and thereby erase connections.
  template <typename Fn>
  void ForEachConnection(Fn fn) {
    std::vector<std::shared_ptr<CallerConnection>> all;
    all.reserve(connections_.size());
    for (const auto& [raw, it] : connections_)
      all.push_back(it);
    for (const auto& it : all)
      fn(*it);
  }

  void Sweep() {
    const Time now = loop_.Now();
    ForEachConnection([now](CallerConnection& it) { it.CloseIfTimedOut(now); });
    // Freed memory between other blocks stays with the process otherwise.
    if (ShouldTrim(state_.request_buffers, state_.settings.memory_bytes)) {
      malloc_trim(0);
      state_.request_buffers.peak = state_.request_buffers.bytes;
    }
  }

  void ReloadIfChanged() {
    if (FileStamp(settings_path_) != settings_stamp_)
      Reload();
  }

  // Applies the settings' regions of the availability zones.
  void ApplyRegions() {
    const GatewaySettings& settings = state_.settings;
    SetRegions(state_.endpoints, settings.regions);
    state_.placement.own_region = settings.region;
    // Assumes that callers are spread evenly over the availability zones.
    state_.placement.caller_shares.clear();
    for (const auto& [zone, region] : settings.regions) {
      state_.placement.caller_shares[region] +=
          1.0 / static_cast<double>(settings.regions.size());
    }
  }

  // Applies bounds, seeds and regions from the file. Addresses and the host's
  // name keep their values from the start.
  void Reload() {
    settings_stamp_ = FileStamp(settings_path_);
    TryOr(
        [&]() -> Result<bool> {
          BOOST_LEAF_AUTO(fresh, platform::ReadSettings(settings_path_));
          state_.settings.seed_ips = fresh.seed_ips;
          state_.settings.retry_bound = fresh.retry_bound;
          state_.settings.directory_ttl = fresh.directory_ttl;
          state_.settings.stop_timeout = fresh.stop_timeout;
          state_.settings.region = fresh.region;
          state_.settings.regions = fresh.regions;
          ApplyRegions();
          LogLine(LogLevel::kInfo, kPart, "Reloaded settings.")
              .With("file", settings_path_);
          return true;
        },
        [](const Error& e) {
          LogLine(LogLevel::kError, kPart,
                  "Failed to reload settings; keeping the previous ones.")
              .With("error", e.ToString());
          return false;
        });
  }

  // Look-ups stop naming this host at once. Callers that already know it are
  // served until the process exits.
  void Stop() {
    if (state_.stopping)
      return;
    state_.stopping = true;
    state_.members.self.phase = HostPhase::kLeaving;
    gossip_.Announce();
    LogLine(LogLevel::kInfo, kPart, "Stopping.")
        .With("connections", connections_.size())
        .With("open", state_.open_exchanges);
    const StopSchedule stop = MakeStopSchedule(state_.settings.stop_timeout);
    state_.no_cuts_from = loop_.Now() + stop.no_cuts;
    state_.final_answers_at = loop_.Now() + stop.final_answers;
    drain_timer_ = loop_.After(stop.drain, [this] { BeginDrain(); });
    final_answers_timer_ =
        loop_.After(stop.final_answers, [this] { EndOpenRequests(); });
    exit_timer_ = loop_.After(stop.exit, [this] { loop_.Stop(); });
  }

  void BeginDrain() {
    // Connections that wait to be accepted would be reset.
    Accept();
    accept_.reset();
    accept_timer_.reset();
    listener_.Close();
    CloseIdle();
    drain_poll_timer_ = loop_.Every(kDrainPollPeriod, [this] { CloseIdle(); });
  }

  void EndOpenRequests() {
    LogLine(LogLevel::kInfo, kPart, "Ending open requests.")
        .With("connections", connections_.size())
        .With("open", state_.open_exchanges);
    ForEachConnection([](CallerConnection& it) { it.EndOpenRequests(); });
  }

  void CloseIdle() {
    ForEachConnection([](CallerConnection& it) { it.CloseIfIdle(); });
    if (connections_.empty() && state_.open_exchanges == 0)
      loop_.Stop();
  }

  std::string settings_path_;
  std::string settings_stamp_;
  Loop loop_;
  GatewayState state_;
  StoreCacheFeed feed_;
  Gossip gossip_;
  Socket listener_;
  std::unique_ptr<Watch> accept_;
  std::unique_ptr<Watch> accept_timer_;
  size_t receive_buffer_bytes_ = 0;
  bool gives_way_ = false;
  std::vector<std::unique_ptr<HttpServer>> auxiliary_servers_;
  std::unordered_map<CallerConnection*, std::shared_ptr<CallerConnection>>
      connections_;
  std::unique_ptr<Watch> sweep_;
  std::unique_ptr<Watch> flush_log_;
  std::unique_ptr<Watch> reload_;
  std::unique_ptr<Watch> sigterm_;
  std::unique_ptr<Watch> sigint_;
  std::unique_ptr<Watch> sighup_;
  std::unique_ptr<Watch> sigusr1_;
  std::unique_ptr<Watch> drain_timer_;
  std::unique_ptr<Watch> final_answers_timer_;
  std::unique_ptr<Watch> exit_timer_;
  std::unique_ptr<Watch> drain_poll_timer_;
};

}  // namespace

int RunGateway(const GatewaySettings& settings,
               const std::string& settings_path) {
  GatewayProcess process(settings, settings_path);
  return process.Run();
}

}  // namespace sassafras
