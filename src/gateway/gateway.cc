#include "gateway/gateway.h"

#include <sys/stat.h>

#include <chrono>
#include <csignal>
#include <unordered_map>
#include <utility>

#include "base/hash.h"
#include "base/http_server.h"
#include "base/http_status.h"
#include "base/log.h"
#include "gateway/belief_feed.h"
#include "gateway/caller_connection.h"
#include "gateway/gossip.h"
#include "gateway/state_dump.h"
#include "platform/platform.h"

namespace sassafras {

namespace {

constexpr char kPart[] = "gateway";
constexpr int kExitOk = 0;
constexpr int kExitFailed = 1;

constexpr Duration kSweepPeriod = std::chrono::milliseconds(500);
constexpr Duration kSettingsPeriod = std::chrono::seconds(2);
// Before the platform kills the process, it stops taking connections and
// closes idle ones; requests that are open go on until the end.
constexpr Duration kLastCalls = std::chrono::milliseconds(900);
constexpr Duration kExitMargin = std::chrono::milliseconds(150);
constexpr Duration kExitPoll = std::chrono::milliseconds(20);
// Connections accepted in one turn of the loop.
constexpr int kAcceptsPerTurn = 32;
constexpr unsigned kSideConnections = 256;

uint64_t StartStamp() {
  const auto since = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(since).count());
}

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
            [this] { OnComplete(); },
            [this] { gossip_.Announce(); }),
        gossip_(state_) {
    state_.announce = [this] { gossip_.AnnounceSoon(); };
    HostNotice& self = state_.members.self;
    self.id = settings.host;
    self.ip = settings.ip;
    self.caller_port = settings.callers.port;
    self.zone = settings.zone;
    self.incarnation = StartStamp();
    self.cpu_share = settings.cpu_share;
    state_.members.random.seed(state_.random());
    state_.placement.own_region = settings.region;
    // Callers are spread over the availability zones.
    for (const auto& [zone, region] : settings.regions) {
      state_.placement.caller_shares[region] +=
          1.0 / static_cast<double>(settings.regions.size());
    }
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
    BOOST_LEAF_ASSIGN(listener_, Listen(state_.settings.callers));
    accept_ = loop_.OnSocket(listener_.fd(), Ready::kRead,
                             [this](bool, bool) { Accept(); });
    BOOST_LEAF_CHECK(StartSides());
    BOOST_LEAF_CHECK(feed_.Start());
    gossip_.set_on_tick([this] { feed_.OnRound(); });
    BOOST_LEAF_CHECK(gossip_.Start());
    sweep_ = loop_.Every(kSweepPeriod, [this] { Sweep(); });
    flush_log_ = loop_.Every(kLogFlushPeriod, &FlushLog);
    reload_ = loop_.Every(kSettingsPeriod, [this] { ReloadIfChanged(); });
    term_ = loop_.OnSignal(SIGTERM, [this] { Stop(); });
    interrupt_ = loop_.OnSignal(SIGINT, [this] { Stop(); });
    hup_ = loop_.OnSignal(SIGHUP, [this] { Reload(); });
    dump_ = loop_.OnSignal(SIGUSR1, [this] {
      LogLine(LogLevel::kInfo, kPart, "State.")
          .With("state", DumpGateway(state_));
    });
    LogLine(LogLevel::kInfo, kPart, "Started.")
        .With("host", state_.settings.host)
        .With("zone", state_.settings.zone)
        .With("callers", state_.settings.callers.ToString())
        .With("store", state_.settings.store.ToString());
    return {};
  }

  Result<void> StartSides() {
    BOOST_LEAF_CHECK(StartSide(state_.settings.readiness));
    BOOST_LEAF_CHECK(StartSide(state_.settings.directory));
    if (state_.settings.operators)
      BOOST_LEAF_CHECK(StartSide(*state_.settings.operators));
    return {};
  }

  // Readiness, look-ups, metrics and state are served on all addresses but the
  // callers'.
  Result<void> StartSide(const Address& address) {
    HttpServerConfig config;
    config.listen = address;
    config.max_connections = kSideConnections;
    BOOST_LEAF_AUTO(server,
                    StartHttpServer(loop_, config,
                                    [this](auto session) { Answer(session); }));
    sides_.push_back(std::move(server));
    return {};
  }

  void Answer(const std::shared_ptr<HttpSession>& session) {
    const std::string& path = session->path();
    if (path == platform::kReadinessPath) {
      const bool ready = state_.members.self.phase == HostPhase::kReady;
      session->Respond(ready ? kHttpOk : kHttpServiceUnavailable, {}, "");
      return;
    }
    if (path == platform::kDirectoryPath) {
      AnswerLookup(*session);
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
    add("gateway_log_lines_dropped_total", DroppedLogLines());
    return text;
  }

  void AnswerLookup(HttpSession& session) {
    const DirectoryQuery query{
        RegionId(session.Argument(platform::kRegionArgument).value_or("")),
        ZoneId(session.Argument(platform::kZoneArgument).value_or(""))};
    const DirectoryView view{&state_.members, &state_.settings.regions};
    const auto hosts = FindHosts(view, query, loop_.Now());
    state_.metrics.Count("gateway_lookups_total", "");
    if (hosts.empty()) {
      session.Respond(kHttpServiceUnavailable, {}, "");
      return;
    }
    session.Respond(
        kHttpOk, {{"Content-Type", "application/json"}},
        platform::EncodeDirectory(hosts, state_.settings.directory_ttl));
  }

  void OnComplete() {
    HostNotice& self = state_.members.self;
    if (self.phase != HostPhase::kStarting)
      return;
    self.phase = HostPhase::kReady;
    LogLine(LogLevel::kInfo, kPart, "Ready.")
        .With("config", self.config_version)
        .With("endpoints", state_.endpoints.by_id.size());
    gossip_.Announce();
  }

  void Accept() {
    for (int i = 0; i < kAcceptsPerTurn; ++i) {
      Socket socket = AcceptConnection(listener_);
      if (!socket.valid())
        return;
      auto connection = std::make_shared<CallerConnection>(
          state_, std::move(socket),
          [this](CallerConnection* it) { connections_.erase(it); });
      connections_[connection.get()] = connection;
      connection->Start();
    }
  }

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
    ForEachConnection([now](CallerConnection& it) { it.Sweep(now); });
  }

  void ReloadIfChanged() {
    if (FileStamp(settings_path_) != settings_stamp_)
      Reload();
  }

  // Addresses and the host's name stay as they were at the start; bounds and
  // seeds may change.
  void Reload() {
    settings_stamp_ = FileStamp(settings_path_);
    TryOr(
        [&]() -> Result<bool> {
          BOOST_LEAF_AUTO(fresh, platform::ReadSettings(settings_path_));
          state_.settings.seed_ips = fresh.seed_ips;
          state_.settings.retry_bound = fresh.retry_bound;
          state_.settings.directory_ttl = fresh.directory_ttl;
          state_.settings.stop_timeout = fresh.stop_timeout;
          state_.settings.regions = fresh.regions;
          LogLine(LogLevel::kInfo, kPart, "Settings are reloaded.")
              .With("file", settings_path_);
          return true;
        },
        [](const Error& e) {
          LogLine(LogLevel::kError, kPart, "Settings stay as they were.")
              .With("error", e.ToString());
          return false;
        });
  }

  // Leaves the look-ups at once; callers that know this host are served until
  // the end.
  void Stop() {
    if (state_.stopping)
      return;
    state_.stopping = true;
    state_.members.self.phase = HostPhase::kLeaving;
    gossip_.Announce();
    LogLine(LogLevel::kInfo, kPart, "Stopping.")
        .With("connections", connections_.size())
        .With("open", state_.open_exchanges);
    const Duration stop = state_.settings.stop_timeout;
    state_.exit_at = loop_.Now() + stop - kExitMargin;
    last_calls_ = loop_.After(stop - kLastCalls, [this] { BeginLastCalls(); });
    exit_ = loop_.After(stop - kExitMargin, [this] { loop_.Stop(); });
  }

  void BeginLastCalls() {
    accept_.reset();
    listener_.Close();
    CloseIdle();
    exit_poll_ = loop_.Every(kExitPoll, [this] { CloseIdle(); });
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
  BeliefFeed feed_;
  Gossip gossip_;
  Socket listener_;
  std::unique_ptr<Watch> accept_;
  std::vector<std::unique_ptr<HttpServer>> sides_;
  std::unordered_map<CallerConnection*, std::shared_ptr<CallerConnection>>
      connections_;
  std::unique_ptr<Watch> sweep_;
  std::unique_ptr<Watch> flush_log_;
  std::unique_ptr<Watch> reload_;
  std::unique_ptr<Watch> term_;
  std::unique_ptr<Watch> interrupt_;
  std::unique_ptr<Watch> hup_;
  std::unique_ptr<Watch> dump_;
  std::unique_ptr<Watch> last_calls_;
  std::unique_ptr<Watch> exit_;
  std::unique_ptr<Watch> exit_poll_;
};

}  // namespace

int RunGateway(const GatewaySettings& settings,
               const std::string& settings_path) {
  GatewayProcess process(settings, settings_path);
  return process.Run();
}

}  // namespace sassafras
