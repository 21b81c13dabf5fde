#include <charconv>
#include <cmath>
#include <nlohmann/json.hpp>
#include <utility>

#include "base/hash.h"
#include "base/http_status.h"
#include "callers/callers.h"

namespace sassafras {

namespace {

using Json = nlohmann::json;

constexpr char kLookupPath[] = "/v1/lookup";
constexpr std::string_view kCallPrefix = "/v1/call/";
constexpr size_t kMaxKeyBytes = 256;
constexpr Duration kMaxTimeout = std::chrono::minutes(10);

struct CallerServer {
  CallersConfig config;
  CallersHandler handler;
};

Problem NotRun(int status, std::string code) {
  return {status, std::move(code), Ran::kNo, {}};
}

void HandleLookup(const CallerServer& server, HttpSession& session) {
  if (session.method() != "GET") {
    AnswerProblem(session, NotRun(kHttpMethodNotAllowed, "method_not_allowed"));
    return;
  }
  const auto service = session.Argument("service");
  const auto client = session.Argument("client");
  const auto ip = ParseIpv4(client.value_or(session.client_ip()));
  if (!service || !ip) {
    AnswerProblem(session, NotRun(kHttpBadRequest, "bad_argument"));
    return;
  }
  if (server.config.topology->services.count(ServiceId(*service)) == 0) {
    AnswerProblem(session, NotRun(kHttpNotFound, "unknown_service"));
    return;
  }
  const LookupAnswer answer = server.handler.look_up(*ip);
  if (answer.hosts.empty()) {
    Problem problem = NotRun(kHttpServiceUnavailable, "not_ready");
    problem.retry_after = std::chrono::seconds(1);
    AnswerProblem(session, problem);
    return;
  }
  const std::string ttl = std::to_string(answer.ttl.count());
  session.Respond(kHttpOk,
                  {{"Content-Type", "application/json"},
                   {"Cache-Control", "max-age=" + ttl}},
                  LookupText(answer));
}

// "Request-Timeout" in seconds, or "Request-Deadline" in seconds since the
// epoch; both take fractions.
std::optional<Duration> ReadTimeout(const HttpSession& session,
                                    const Route& route,
                                    bool& malformed) {
  const auto parse = [&](const std::string& text) {
    double value = 0;
    const auto [end, ec] =
        std::from_chars(text.data(), text.data() + text.size(), value);
    malformed = ec != std::errc() || end != text.data() + text.size() ||
                !std::isfinite(value) || value <= 0;
    return value;
  };
  if (const auto text = session.Header("Request-Timeout")) {
    const double seconds = parse(*text);
    if (malformed || seconds > Seconds(kMaxTimeout)) {
      malformed = true;
      return std::nullopt;
    }
    return FromSeconds(seconds);
  }
  if (const auto text = session.Header("Request-Deadline")) {
    const double at = parse(*text);
    const double now = std::chrono::duration<double>(
                           std::chrono::system_clock::now().time_since_epoch())
                           .count();
    if (malformed || at - now > Seconds(kMaxTimeout)) {
      malformed = true;
      return std::nullopt;
    }
    return FromSeconds(std::max(0.0, at - now));
  }
  return route.default_timeout;
}

bool IsKeyWellFormed(const std::string& key) {
  if (key.empty() || key.size() > kMaxKeyBytes)
    return false;
  for (const char c : key) {
    if (c <= ' ' || c > '~')
      return false;
  }
  return true;
}

// Who is asking, for fairness between callers.
CallerId CallerOf(const HttpSession& session) {
  return CallerId(session.Header("Caller-Id").value_or(session.client_ip()));
}

Fingerprint FingerprintOf(const Call& call, uint64_t body) {
  const uint64_t route = HashText(call.session->method() + " " + call.target,
                                  HashText(call.arrived.service.value()));
  const uint64_t caller = HashText(call.arrived.caller.value());
  return Fingerprint(HashPair(HashPair(route, caller), body));
}

// Reads the whole body of a request with a key, whose hash belongs to the
// key's record.
void CollectBody(const std::shared_ptr<CallerServer>& server, Call call) {
  HttpSession& session = *call.session;
  const uint64_t limit =
      std::min(call.max_body_bytes, server->config.max_keyed_body_bytes);
  if (session.content_length().value_or(0) > limit) {
    AnswerProblem(session, NotRun(kHttpContentTooLarge, "body_too_large"));
    return;
  }
  session.ReadBody(limit, [server, call = std::move(call)](
                              std::optional<std::string> body) mutable {
    if (!body) {
      AnswerProblem(*call.session,
                    NotRun(kHttpContentTooLarge, "body_too_large"));
      return;
    }
    const uint64_t hash = HashText(*body);
    call.arrived.body = Fingerprint(hash);
    call.arrived.fingerprint = FingerprintOf(call, hash);
    call.whole_body = std::move(*body);
    server->handler.on_call(std::move(call));
  });
}

void HandleCall(const std::shared_ptr<CallerServer>& server,
                std::shared_ptr<HttpSession> session) {
  const std::string_view rest =
      std::string_view{session->path()}.substr(kCallPrefix.size());
  const size_t slash = rest.find('/');
  const ServiceId service{std::string(rest.substr(0, slash))};
  const auto& services = server->config.topology->services;
  const auto found = services.find(service);
  if (found == services.end()) {
    AnswerProblem(*session, NotRun(kHttpNotFound, "unknown_service"));
    return;
  }
  const std::string path(slash == std::string_view::npos ? "/"
                                                         : rest.substr(slash));
  const Route* route = FindRoute(found->second, session->method(), path);
  if (!route) {
    AnswerProblem(*session, NotRun(kHttpNotFound, "unknown_route"));
    return;
  }
  Call call;
  call.session = session;
  call.arrived.service = service;
  call.arrived.route = *route;
  call.arrived.caller = CallerOf(*session);
  call.max_body_bytes = route->max_body_bytes;
  const size_t in_target = session->target().find('/', kCallPrefix.size());
  call.target = in_target == std::string::npos
                    ? "/"
                    : session->target().substr(in_target);
  const auto key = session->Header("Idempotency-Key");
  if (key && !IsKeyWellFormed(*key)) {
    AnswerProblem(*session, NotRun(kHttpBadRequest, "bad_idempotency_key"));
    return;
  }
  if (!route->idempotent && !key) {
    AnswerProblem(*session, NotRun(kHttpBadRequest, "idempotency_key_missing"));
    return;
  }
  bool malformed = false;
  const auto timeout = ReadTimeout(*session, *route, malformed);
  if (!timeout) {
    AnswerProblem(*session, NotRun(kHttpBadRequest, "bad_timeout"));
    return;
  }
  call.arrived.timeout = *timeout;
  if (session->content_length().value_or(0) > route->max_body_bytes) {
    AnswerProblem(*session, NotRun(kHttpContentTooLarge, "body_too_large"));
    return;
  }
  if (key) {
    call.arrived.key = RequestKey(*key);
    CollectBody(server, std::move(call));
    return;
  }
  call.streams_body = session->has_body();
  // The body is not known yet; its length tells uploads of one caller apart.
  const uint64_t length = session->content_length().value_or(0);
  call.arrived.fingerprint = FingerprintOf(call, length);
  server->handler.on_call(std::move(call));
}

}  // namespace

std::string LookupText(const LookupAnswer& answer) {
  Json json;
  json["ttl"] = answer.ttl.count();
  json["key_prefix"] = answer.key_prefix;
  json["hosts"] = Json::array();
  for (const LookupHost& it : answer.hosts) {
    json["hosts"].push_back(
        {{"host", it.host}, {"address", it.address}, {"weight", it.weight}});
  }
  return json.dump();
}

void AnswerProblem(HttpSession& session, const Problem& problem) {
  const Json json = {{"type", "about:blank"},
                     {"status", problem.status},
                     {"code", problem.code},
                     {"ran", problem.ran}};
  HttpHeaders headers = {{"Content-Type", "application/problem+json"}};
  if (problem.retry_after > Duration::zero()) {
    const double seconds = std::ceil(Seconds(problem.retry_after));
    headers.emplace_back("Retry-After",
                         std::to_string(static_cast<int64_t>(seconds)));
  }
  session.Respond(problem.status, headers, json.dump());
}

Result<std::unique_ptr<HttpServer>> StartCallerServer(
    Loop& loop,
    const CallersConfig& config,
    CallersHandler handler) {
  auto server = std::make_shared<CallerServer>();
  server->config = config;
  server->handler = std::move(handler);
  return StartHttpServer(
      loop, config.server, [server](std::shared_ptr<HttpSession> session) {
        const std::string& path = session->path();
        if (path == kLookupPath)
          HandleLookup(*server, *session);
        else if (path.compare(0, kCallPrefix.size(), kCallPrefix) == 0)
          HandleCall(server, std::move(session));
        else
          AnswerProblem(*session, NotRun(kHttpNotFound, "unknown_path"));
      });
}

}  // namespace sassafras
