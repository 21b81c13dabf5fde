#include "standins/standin_endpoint.h"

#include <unistd.h>

#include <map>
#include <nlohmann/json.hpp>
#include <set>

#include "base/http_server.h"

namespace sassafras {

namespace {

using Json = nlohmann::json;

constexpr size_t kMaxBody = 1 << 30;
constexpr int kCrashCode = 70;
constexpr int kColdFactor = 3;

// Counts the bytes of a streamed body without keeping them.
void Drain(BytePipe& pipe, uint64_t& bytes) {
  char buf[16 << 10];
  while (const size_t n = pipe.Read(buf, sizeof(buf)))
    bytes += n;
}

class EndpointImpl : public StandinEndpoint {
 public:
  EndpointImpl(Loop& loop, const StandinEndpointConfig& config)
      : loop_(loop),
        config_(config),
        work_(config.work),
        started_(loop.Now()) {}

  Result<void> Start() {
    HttpServerConfig config;
    config.listen = config_.listen;
    config.max_connections = 800;
    BOOST_LEAF_ASSIGN(
        server_, StartHttpServer(loop_, config,
                                 [this](auto session) { Handle(session); }));
    return {};
  }

 private:
  using Session = std::shared_ptr<HttpSession>;

  struct Run {
    Session session;
    std::shared_ptr<BytePipe> body;
    uint64_t body_bytes = 0;
    std::unique_ptr<Watch> timer;
  };

  void Handle(const Session& session) {
    if (session->path() == "/standin/control") {
      Control(session);
      return;
    }
    if (session->path() == "/standin/runs") {
      session->Respond(200, {}, Json(runs_).dump());
      return;
    }
    if (drain_ || running_.size() >= static_cast<size_t>(config_.slots)) {
      ++sheds_;
      session->Respond(503, {{kStandinShedHeader, "1"}}, "shed\n");
      return;
    }
    // Not in a test of the process's own exit paths: a crash is a crash.
    if (session->target().find("poison") != std::string::npos)
      _exit(kCrashCode);
    Begin(session);
  }

  void Begin(const Session& session) {
    auto run = std::make_shared<Run>();
    run->session = session;
    running_.insert(run);
    ++runs_[session->Header("Idempotency-Key").value_or(session->target())];
    session->set_on_disconnect([this, run] { End(run); });
    if (!session->has_body()) {
      Work(run);
      return;
    }
    run->body = session->StreamBody(64 << 10, kMaxBody);
    run->body->set_on_data([this, run] {
      Drain(*run->body, run->body_bytes);
      if (run->body->is_ended() && !run->timer)
        Work(run);
    });
    Drain(*run->body, run->body_bytes);
  }

  void Work(const std::shared_ptr<Run>& run) {
    std::chrono::milliseconds time = work_;
    if (loop_.Now() - started_ < config_.cold)
      time *= kColdFactor;
    if (fail_)
      time = std::chrono::milliseconds(1);
    run->timer = loop_.After(time, [this, run] { Answer(run); });
  }

  void Answer(const std::shared_ptr<Run>& run) {
    if (running_.count(run) == 0)
      return;
    run->session->set_on_disconnect(nullptr);
    if (break_answers_) {
      run->session->AbortConnection();
      End(run);
      return;
    }
    const size_t slots = static_cast<size_t>(config_.slots);
    const double load = report_idle_ ? 0.0
                                     : static_cast<double>(running_.size()) /
                                           static_cast<double>(slots);
    HttpHeaders headers = {
        {"Content-Type", "application/json"},
        {"endpoint-load-metrics",
         "JSON {\"application_utilization\":" + std::to_string(load) + "}"}};
    if (const auto id = run->session->Header("Sassafras-Exchange"))
      headers.emplace_back("Sassafras-Exchange", *id);
    const Json body = {
        {"target", run->session->target()},
        {"key", run->session->Header("Idempotency-Key").value_or("")},
        {"bytes", run->body_bytes}};
    run->session->Respond(fail_ ? 500 : 200, headers, body.dump());
    End(run);
  }

  void End(const std::shared_ptr<Run>& run) {
    running_.erase(run);
    loop_.Post([run] {
      run->timer.reset();
      if (run->body)
        run->body->set_on_data(nullptr);
    });
  }

  void Control(const Session& session) {
    session->ReadBody(kMaxBody, [this, session](auto body) {
      const Json json = Json::parse(body.value_or(""), nullptr, false);
      if (json.is_object()) {
        work_ = std::chrono::milliseconds(
            json.value("work_ms", static_cast<int>(work_.count())));
        fail_ = json.value("fail", fail_);
        report_idle_ = json.value("report_idle", report_idle_);
        drain_ = json.value("drain", drain_);
        break_answers_ = json.value("break_answers", break_answers_);
      }
      session->Respond(json.is_object() ? 200 : 400, {}, "");
    });
  }

  Loop& loop_;
  StandinEndpointConfig config_;
  std::chrono::milliseconds work_;
  Time started_;
  std::unique_ptr<HttpServer> server_;
  bool fail_ = false;
  bool report_idle_ = false;
  bool drain_ = false;
  bool break_answers_ = false;
  std::set<std::shared_ptr<Run>> running_;
  std::map<std::string, uint64_t> runs_;
  uint64_t sheds_ = 0;
};

}  // namespace

Result<std::unique_ptr<StandinEndpoint>> StartStandinEndpoint(
    Loop& loop,
    const StandinEndpointConfig& config) {
  auto endpoint = std::make_unique<EndpointImpl>(loop, config);
  BOOST_LEAF_CHECK(endpoint->Start());
  return std::unique_ptr<StandinEndpoint>(std::move(endpoint));
}

}  // namespace sassafras
