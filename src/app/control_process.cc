#include <csignal>
#include <utility>

#include "app/processes.h"
#include "app/state_dump.h"
#include "base/log.h"
#include "base/loop.h"
#include "decisions/control_node.h"
#include "decisions/topology_settings.h"
#include "operators/operators.h"
#include "peers/peers.h"
#include "store/store.h"

namespace sassafras {

namespace {

constexpr char kLogPart[] = "control";

// Runs a ControlNode: passes events from sockets, timers and signals to it and
// carries out the actions that it returns.
class ControlProcess {
 public:
  explicit ControlProcess(const Settings& settings)
      : settings_(settings),
        node_(MakeTopology(settings), MakeSelf(settings)),
        store_(ConnectStore(loop_, settings.store, settings.store_timeout)) {
    node_.entry = settings.host->name;
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
                  "Could not start the control process.")
              .With("error", e.ToString());
          return int{kExitFailed};
        });
  }

 private:
  Result<void> Start() {
    MeshConfig mesh;
    mesh.self = ControlPeerId(settings_.host->name);
    mesh.listen = settings_.host->control_peer_address;
    mesh.deployment = settings_.deployment;
    mesh.key = settings_.peer_key;
    BOOST_LEAF_ASSIGN(mesh_,
                      StartMesh(
                          loop_, mesh,
                          [this](const HostId& id) -> std::optional<Address> {
                            if (id != node_.entry)
                              return std::nullopt;
                            return settings_.host->peer_address;
                          },
                          [this](const HostId& from, Message message) {
                            HandleEvent(PeerMessage{from, std::move(message)});
                          }));
    StateSource source;
    source.dump = [this](const std::string& part) {
      return DumpControl(node_, part, loop_.Now());
    };
    source.metrics = [this] {
      return "sassafras_control_is_leader " +
             std::to_string(IsLeader(node_, loop_.Now()) ? 1 : 0) +
             "\nsassafras_store_calls_total " +
             std::to_string(node_.last_call_id) + "\n";
    };
    BOOST_LEAF_ASSIGN(
        operator_server_,
        StartOperatorServer(loop_, settings_.host->control_operator_address,
                            source));
    signals_.push_back(loop_.OnSignal(SIGTERM, [this] { loop_.Stop(); }));
    signals_.push_back(loop_.OnSignal(SIGUSR1, [this] {
      LogLine(LogLevel::kInfo, kLogPart, "State dump on SIGUSR1.")
          .With("state", DumpControl(node_, "", loop_.Now()));
    }));
    RunActions(StartControl(node_, loop_.Now()));
    LogLine(LogLevel::kInfo, kLogPart, "Started the control process.")
        .With("host", node_.self.id);
    return {};
  }

  void HandleEvent(const ControlEvent& event) {
    RunActions(Handle(node_, event, loop_.Now()));
  }

  void RunActions(std::vector<ControlAction> actions) {
    for (ControlAction& it : actions)
      std::visit([this](auto& action) { RunAction(action); }, it);
  }

  void RunAction(const Envelope& envelope) {
    mesh_->Send(envelope.to, envelope.message);
  }

  void RunAction(const StoreCall& call) {
    const auto done = [this, id = call.id](StoreReply reply) {
      HandleEvent(StoreAnswer{id, std::move(reply)});
    };
    if (const auto* get = std::get_if<StoreGet>(&call.call))
      store_->Get(*get, done);
    else if (const auto* list = std::get_if<StoreList>(&call.call))
      store_->List(*list, done);
    else if (const auto* put = std::get_if<StorePut>(&call.call))
      store_->PutIf(*put, done);
  }

  void RunAction(const SetTimer& timer) {
    const Duration delay = std::max(Duration(0), timer.at - loop_.Now());
    timer_ = loop_.After(delay, [this] { HandleEvent(TimerFired{WallNow()}); });
  }

  void RunAction(const LogEvent& log) {
    WriteLog(LogLevel::kInfo, log.part, log.text);
  }

  const Settings& settings_;
  Loop loop_;
  ControlNode node_;
  std::unique_ptr<Store> store_;
  std::unique_ptr<Mesh> mesh_;
  std::unique_ptr<HttpServer> operator_server_;
  std::vector<std::unique_ptr<Watch>> signals_;
  std::unique_ptr<Watch> timer_;
};

}  // namespace

int RunControl(const Settings& settings) {
  return ControlProcess(settings).Run();
}

}  // namespace sassafras
