#include <csignal>
#include <cstring>
#include <map>
#include <random>
#include <unordered_map>
#include <utility>

#include "app/processes.h"
#include "app/state_dump.h"
#include "base/log.h"
#include "base/loop.h"
#include "base/metrics.h"
#include "callers/callers.h"
#include "decisions/entry_node.h"
#include "decisions/topology_settings.h"
#include "endpoints/endpoints.h"
#include "operators/operators.h"
#include "peers/peers.h"
#include "store/store.h"

namespace sassafras {

namespace {

constexpr char kLogPart[] = "entry";

// False for headers that apply to one connection only or that this process
// sets itself.
bool IsForwardedHeader(const std::string& name) {
  static constexpr const char* kNotForwarded[] = {"Connection",
                                                  "Keep-Alive",
                                                  "Proxy-Authenticate",
                                                  "TE",
                                                  "Trailer",
                                                  "Transfer-Encoding",
                                                  "Upgrade",
                                                  "Host",
                                                  "Content-Length",
                                                  "Expect",
                                                  "Request-Timeout",
                                                  "Request-Deadline",
                                                  "Sassafras-Exchange"};
  for (const char* it : kNotForwarded) {
    if (strcasecmp(name.c_str(), it) == 0)
      return false;
  }
  return true;
}

// Runs an EntryNode: passes events from sockets, timers and signals to it and
// carries out the actions that it returns.
class EntryProcess {
 public:
  explicit EntryProcess(const Settings& settings)
      : settings_(settings),
        node_(MakeTopology(settings),
              MakeSelf(settings),
              std::random_device()()),
        endpoint_client_(MakeEndpointClient(loop_)),
        store_(ConnectStore(loop_, settings.store, settings.store_timeout)) {
    node_.control = ControlPeerId(settings.host->name);
    node_.ledger.limits.max_records = settings.ledger.max_records;
    node_.ledger.limits.max_answer_bytes = settings.ledger.max_answer_bytes;
    node_.ledger.limits.max_answer_size = settings.ledger.max_answer_size;
    node_.ledger.limits.retention = settings.ledger.retention;
    node_.limits.outcome_retention = settings.ledger.retention;
    AddSeeds();
  }

  int Run() {
    return TryOr(
        [&]() -> Result<int> {
          BOOST_LEAF_CHECK(Start());
          const auto flush = loop_.Every(kLogFlushPeriod, &FlushLog);
          loop_.Run();
          return int{kExitOk};
        },
        [](const Error& e) {
          LogLine(LogLevel::kError, kLogPart,
                  "Could not start the entry process.")
              .With("error", e.ToString());
          return int{kExitFailed};
        });
  }

 private:
  struct OpenCall {
    Call call;
    std::shared_ptr<BytePipe> body;  // Set when a streamed body is first read.
    Time arrived;
  };

  void AddSeeds() {
    HostList list;
    for (const SeedSettings& it : settings_.seeds) {
      Host host;
      host.id = it.host;
      host.region = it.region;
      host.zone = it.zone;
      host.caller_address = it.caller_address;
      host.peer_address = it.peer_address;
      list.hosts.push_back(std::move(host));
    }
    SetListedHosts(node_.membership, list);
  }

  Result<void> Start() {
    MeshConfig mesh;
    mesh.self = node_.self.id;
    mesh.listen = settings_.host->peer_address;
    mesh.deployment = settings_.deployment;
    mesh.key = settings_.peer_key;
    BOOST_LEAF_ASSIGN(
        mesh_,
        StartMesh(
            loop_, mesh, [this](const HostId& id) { return AddressOfPeer(id); },
            [this](const HostId& from, Message message) {
              HandleEvent(PeerMessage{from, std::move(message)});
            }));
    StateSource source;
    source.dump = [this](const std::string& part) { return Dump(part); };
    source.metrics = [this] { return ExposeMetrics(); };
    BOOST_LEAF_ASSIGN(
        operator_server_,
        StartOperatorServer(loop_, settings_.host->operator_address, source));
    BOOST_LEAF_CHECK(StartCallers());
    OnSignals();
    RunActions(StartEntry(node_, loop_.Now()));
    LogLine(LogLevel::kInfo, kLogPart, "Started the entry process.")
        .With("host", node_.self.id)
        .With("zone", node_.self.zone);
    return {};
  }

  Result<void> StartCallers() {
    CallerServerConfig config;
    config.server.listen = settings_.host->caller_address;
    config.server.max_connections =
        static_cast<unsigned>(settings_.limits.max_connections);
    config.server.idle_timeout = settings_.limits.idle_timeout;
    config.max_keyed_body_bytes = settings_.limits.max_keyed_body_bytes;
    config.topology = &node_.topology;
    CallerServerCallbacks callbacks;
    callbacks.on_lookup = [this](uint32_t ip) {
      ++lookups_;
      return AnswerLookup(node_, ip);
    };
    callbacks.on_call = [this](Call call) { OpenExchange(std::move(call)); };
    BOOST_LEAF_ASSIGN(caller_server_,
                      StartCallerServer(loop_, config, std::move(callbacks)));
    return {};
  }

  void OnSignals() {
    const auto stop = [this] { HandleEvent(StopRequested{}); };
    signals_.push_back(loop_.OnSignal(SIGTERM, [this, stop] {
      stop();
      if (!stop_timer_) {
        stop_timer_ = loop_.After(settings_.limits.stop_timeout,
                                  [this] { loop_.Stop(); });
      }
    }));
    signals_.push_back(loop_.OnSignal(SIGUSR1, [this] {
      LogLine(LogLevel::kInfo, kLogPart, "State dump on SIGUSR1.")
          .With("state", Dump(""));
    }));
  }

  std::optional<Address> AddressOfPeer(const HostId& id) const {
    if (id == node_.control)
      return settings_.host->control_peer_address;
    const auto it = node_.membership.listed.find(id);
    if (it == node_.membership.listed.end())
      return std::nullopt;
    return it->second.peer_address;
  }

  // ---- Events and actions ----

  void HandleEvent(const EntryEvent& event) {
    RunActions(Handle(node_, event, loop_.Now()));
  }

  void RunActions(std::vector<EntryAction> actions) {
    for (EntryAction& it : actions)
      std::visit([this](auto& action) { RunAction(action); }, it);
  }

  void RunAction(const Envelope& envelope) {
    mesh_->Send(envelope.to, envelope.message);
  }

  void RunAction(const RefuseCall& refuse) {
    const auto it = calls_.find(refuse.exchange);
    if (it == calls_.end())
      return;
    CountCall(it->second, "refused", refuse.problem.code);
    const auto session = it->second.call.session;
    session->set_on_disconnect(nullptr);
    // While the request body is still streamed, the head of an answer that
    // broke off may already have been sent, so the connection is closed
    // instead.
    if (it->second.body && !it->second.body->is_ended())
      session->AbortConnection();
    else
      RespondWithProblem(*session, refuse.problem);
    calls_.erase(it);
  }

  void RunAction(const AnswerCall& answer) {
    const auto it = calls_.find(answer.exchange);
    if (it == calls_.end())
      return;
    CountCall(it->second, "answered", "from_record");
    HttpHeaders headers = {{"Idempotent-Replay", "true"}};
    if (!answer.answer.content_type.empty())
      headers.emplace_back("Content-Type", answer.answer.content_type);
    it->second.call.session->set_on_disconnect(nullptr);
    it->second.call.session->Respond(answer.answer.status, headers,
                                     answer.answer.body);
    calls_.erase(it);
  }

  void RunAction(const Dispatch& dispatch) {
    const auto it = calls_.find(dispatch.exchange);
    if (it == calls_.end()) {
      HandleEvent(DispatchEnded{
          dispatch.exchange, SlotOutcome::kCancelled, false, false, false, {}});
      return;
    }
    endpoint_client_->Send(
        RequestFor(it->second, dispatch),
        [this, id = dispatch.exchange](const EndpointAnswer& answer) {
          SendAnswerHead(id, answer);
        },
        [this, id = dispatch.exchange](EndpointResult result) {
          EndDispatch(id, std::move(result));
        });
  }

  void RunAction(const CancelDispatch& cancel) {
    endpoint_client_->Cancel(cancel.exchange);
    calls_.erase(cancel.exchange);
  }

  void RunAction(const FollowStore& follow) {
    store_watches_.clear();
    if (!follow.follow)
      return;
    for (const DocumentKind kind : kAllDocumentKinds) {
      store_watches_.push_back(store_->Follow(
          std::string(NameOf(kind)), {}, [this, kind](StoreChange change) {
            HandleEvent(
                StoreObjects{kind, std::move(change.objects), change.complete});
          }));
    }
  }

  void RunAction(const WriteStatus& write) {
    store_->PutIf(write.put, [this](StoreReply reply) {
      HandleEvent(StatusWritten{std::move(reply)});
    });
  }

  void RunAction(const SetTimer& timer) {
    const Duration delay = std::max(Duration(0), timer.at - loop_.Now());
    timer_ = loop_.After(delay, [this] { HandleEvent(TimerFired{WallNow()}); });
  }

  void RunAction(const LogEvent& log) {
    WriteLog(LogLevel::kInfo, log.part, log.text);
  }

  void RunAction(const Exit&) { loop_.Stop(); }

  // ---- Calls ----

  void OpenExchange(Call call) {
    const ExchangeId id = NewExchange(node_);
    call.arrived.exchange = id;
    call.session->set_on_disconnect([this, id] {
      HandleEvent(CallerGone{id});
      // A request with a key continues after its caller has disconnected.
      const auto it = calls_.find(id);
      if (it != calls_.end() && it->second.call.arrived.key.empty())
        calls_.erase(it);
    });
    const CallArrived arrived = call.arrived;
    calls_[id] = OpenCall{std::move(call), nullptr, loop_.Now()};
    HandleEvent(arrived);
  }

  EndpointRequest RequestFor(OpenCall& open, const Dispatch& dispatch) {
    const Call& call = open.call;
    EndpointRequest request;
    request.exchange = dispatch.exchange;
    request.address = dispatch.address;
    request.method = call.session->method();
    request.target = call.target;
    request.timeout = dispatch.timeout;
    request.shed_header =
        node_.topology.services.at(call.arrived.service).shed_header;
    request.buffer_bytes = settings_.limits.stream_buffer_bytes;
    request.keep_bytes =
        call.arrived.key.empty() ? 0 : settings_.ledger.max_answer_size;
    for (auto& [name, value] : call.session->Headers()) {
      if (IsForwardedHeader(name))
        request.headers.emplace_back(name, value);
    }
    request.headers.emplace_back("Request-Timeout",
                                 std::to_string(Seconds(dispatch.timeout)));
    request.whole_body = call.whole_body;
    if (!call.streams_body)
      return request;
    request.body_length = call.session->content_length();
    if (!open.body) {
      open.body = call.session->StreamBody(settings_.limits.stream_buffer_bytes,
                                           call.max_body_bytes);
    }
    request.body = open.body;
    return request;
  }

  void SendAnswerHead(ExchangeId id, const EndpointAnswer& answer) {
    const auto it = calls_.find(id);
    if (it == calls_.end())
      return;
    HttpHeaders headers;
    for (const auto& [name, value] : answer.headers) {
      if (IsForwardedHeader(name))
        headers.emplace_back(name, value);
    }
    it->second.call.session->RespondStream(answer.status, headers,
                                           answer.length, answer.body);
  }

  void EndDispatch(ExchangeId id, EndpointResult result) {
    const auto it = calls_.find(id);
    DispatchEnded ended;
    ended.exchange = id;
    ended.outcome = result.outcome;
    ended.answer_begun = result.answer_begun;
    ended.replayable = !result.body_consumed;
    ended.answer_kept = result.answer_kept;
    ended.answer = std::move(result.answer);
    const bool whole = ended.outcome == SlotOutcome::kAnswered ||
                       ended.outcome == SlotOutcome::kFailed;
    if (it != calls_.end() && (whole || result.answer_begun)) {
      CountCall(it->second, whole ? "answered" : "cut", "");
      calls_.erase(it);
    }
    HandleEvent(ended);
  }

  void CountCall(const OpenCall& open,
                 const std::string& result,
                 const std::string& code) {
    const CallArrived& arrived = open.call.arrived;
    const std::string labels =
        MetricLabel("service", arrived.service.value()) + ",priority=\"" +
        std::string(NameOf(arrived.route.priority)) + "\",result=\"" + result +
        "\",code=\"" + code + "\"";
    metrics_.Count("sassafras_calls_total", labels);
    metrics_.Observe("sassafras_call_seconds", labels,
                     loop_.Now() - open.arrived);
  }

  std::string Dump(const std::string& part) {
    return DumpEntry(node_, *mesh_, part, loop_.Now());
  }

  std::string ExposeMetrics() {
    std::string text = metrics_.Expose();
    const auto line = [&](const char* name, uint64_t value) {
      text += std::string(name) + " " + std::to_string(value) + "\n";
    };
    line("sassafras_lookups_total", lookups_);
    line("sassafras_peer_bytes_sent_total", mesh_->BytesSent());
    line("sassafras_peer_bytes_received_total", mesh_->BytesReceived());
    line("sassafras_peers_connected", mesh_->ConnectedCount());
    line("sassafras_exchanges_open", node_.exchanges.size());
    line("sassafras_ledger_records", node_.ledger.record_count);
    return text;
  }

  const Settings& settings_;
  Loop loop_;
  Metrics metrics_;
  EntryNode node_;
  std::unique_ptr<EndpointClient> endpoint_client_;
  std::unique_ptr<Store> store_;
  std::unique_ptr<Mesh> mesh_;
  std::unique_ptr<HttpServer> caller_server_;
  std::unique_ptr<HttpServer> operator_server_;
  std::vector<std::unique_ptr<Watch>> store_watches_;
  std::vector<std::unique_ptr<Watch>> signals_;
  std::unique_ptr<Watch> timer_;
  std::unique_ptr<Watch> stop_timer_;
  std::unordered_map<ExchangeId, OpenCall> calls_;
  uint64_t lookups_ = 0;
};

}  // namespace

HostId ControlPeerId(const HostId& host) {
  return HostId(host.value() + "/control");
}

int RunEntry(const Settings& settings) {
  return EntryProcess(settings).Run();
}

}  // namespace sassafras
