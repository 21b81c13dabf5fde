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

constexpr char kPart[] = "control";

// Binds the control node to sockets, timers and the log.
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
          LogLine(LogLevel::kError, kPart, "Start failed.")
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
                            Feed(PeerMessage{from, std::move(message)});
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
        operators_,
        StartOperatorServer(loop_, settings_.host->control_operator_address,
                            source));
    signals_.push_back(loop_.OnSignal(SIGTERM, [this] { loop_.Stop(); }));
    signals_.push_back(loop_.OnSignal(SIGUSR1, [this] {
      LogLine(LogLevel::kInfo, kPart, "State.")
          .With("state", DumpControl(node_, "", loop_.Now()));
    }));
    Do(StartControl(node_, loop_.Now()));
    LogLine(LogLevel::kInfo, kPart, "Started.").With("host", node_.self.id);
    return {};
  }

  void Feed(const ControlEvent& event) {
    Do(Handle(node_, event, loop_.Now()));
  }

  void Do(std::vector<ControlAction> actions) {
    for (ControlAction& it : actions)
      std::visit([this](auto& action) { DoOne(action); }, it);
  }

  void DoOne(const Envelope& envelope) {
    mesh_->Send(envelope.to, envelope.message);
  }

  void DoOne(const StoreCall& call) {
    const auto done = [this, id = call.id](StoreReply reply) {
      Feed(StoreAnswer{id, std::move(reply)});
    };
    if (const auto* get = std::get_if<StoreGet>(&call.call))
      store_->Get(*get, done);
    else if (const auto* list = std::get_if<StoreList>(&call.call))
      store_->List(*list, done);
    else if (const auto* put = std::get_if<StorePut>(&call.call))
      store_->PutIf(*put, done);
  }

  void DoOne(const SetTimer& timer) {
    const Duration delay = std::max(Duration(0), timer.at - loop_.Now());
    timer_ = loop_.After(delay, [this] { Feed(TimerFired{WallNow()}); });
  }

  void DoOne(const LogEvent& log) {
    WriteLog(LogLevel::kInfo, log.part, log.text);
  }

  const Settings& settings_;
  Loop loop_;
  ControlNode node_;
  std::unique_ptr<Store> store_;
  std::unique_ptr<Mesh> mesh_;
  std::unique_ptr<HttpServer> operators_;
  std::vector<std::unique_ptr<Watch>> signals_;
  std::unique_ptr<Watch> timer_;
};

}  // namespace

int RunControl(const Settings& settings) {
  return ControlProcess(settings).Run();
}

}  // namespace sassafras
