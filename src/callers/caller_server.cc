#include <charconv>
#include <cmath>
#include <nlohmann/json.hpp>
#include <utility>

#include "base/hash.h"
#include "base/http_status.h"
#include "base/lenient_json.h"
#include "callers/callers.h"

namespace sassafras {

namespace {

using Json = nlohmann::json;

constexpr char kLookupPath[] = "/v1/lookup";
constexpr std::string_view kCallPrefix = "/v1/call/";
constexpr size_t kMaxKeyBytes = 256;
constexpr Duration kMaxTimeout = std::chrono::minutes(10);

struct CallerServer {
  CallerServerConfig config;
  CallerServerCallbacks callbacks;
};

Problem NotRunProblem(int status, std::string code) {
  return {status, std::move(code), Ran::kNo, {}};
}

void HandleLookup(const CallerServer& server, HttpSession& session) {
  if (session.method() != "GET") {
    RespondWithProblem(
        session, NotRunProblem(kHttpMethodNotAllowed, "method_not_allowed"));
    return;
  }
  const auto service = session.Argument("service");
  const auto client = session.Argument("client");
  const auto ip = ParseIpv4(client.value_or(session.client_ip()));
  if (!service || !ip) {
    RespondWithProblem(session, NotRunProblem(kHttpBadRequest, "bad_argument"));
    return;
  }
  if (server.config.topology->services.count(ServiceId(*service)) == 0) {
    RespondWithProblem(session,
                       NotRunProblem(kHttpNotFound, "unknown_service"));
    return;
  }
  const LookupAnswer answer = server.callbacks.on_lookup(*ip);
  if (answer.hosts.empty()) {
    Problem problem = NotRunProblem(kHttpServiceUnavailable, "not_ready");
    problem.retry_after = std::chrono::seconds(1);
    RespondWithProblem(session, problem);
    return;
  }
  const std::string ttl = std::to_string(answer.ttl.count());
  session.Respond(kHttpOk,
                  {{"Content-Type", "application/json"},
                   {"Cache-Control", "max-age=" + ttl}},
                  EncodeLookup(answer));
}

// Returns the time that is left for the request. The header "Request-Timeout"
// holds seconds, "Request-Deadline" seconds since the Unix epoch; both may have
// a fraction, and Request-Timeout takes precedence. Without a header the
// default of the route is used. Returns nothing and sets `malformed` if the
// value is not a positive number or is more than kMaxTimeout away.
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

// Identity of the caller, for fair queueing between callers: the header
// Caller-Id, or else the IP address.
CallerId CallerOf(const HttpSession& session) {
  return CallerId(session.Header("Caller-Id").value_or(session.client_ip()));
}

Fingerprint FingerprintOf(const Call& call, uint64_t body) {
  const uint64_t route = HashText(call.session->method() + " " + call.target,
                                  HashText(call.arrived.service.value()));
  const uint64_t caller = HashText(call.arrived.caller.value());
  return Fingerprint(HashPair(HashPair(route, caller), body));
}

// Reads the complete body of a request with a key. Its hash is stored in the
// record of the key, to detect another body under the same key.
void CollectBody(const std::shared_ptr<CallerServer>& server, Call call) {
  HttpSession& session = *call.session;
  const uint64_t limit =
      std::min(call.max_body_bytes, server->config.max_keyed_body_bytes);
  if (session.content_length().value_or(0) > limit) {
    RespondWithProblem(session,
                       NotRunProblem(kHttpContentTooLarge, "body_too_large"));
    return;
  }
  session.ReadBody(limit, [server, call = std::move(call)](
                              std::optional<std::string> body) mutable {
    if (!body) {
      RespondWithProblem(*call.session,
                         NotRunProblem(kHttpContentTooLarge, "body_too_large"));
      return;
    }
    const uint64_t hash = HashText(*body);
    call.arrived.body = Fingerprint(hash);
    call.arrived.fingerprint = FingerprintOf(call, hash);
    call.whole_body = std::move(*body);
    server->callbacks.on_call(std::move(call));
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
    RespondWithProblem(*session,
                       NotRunProblem(kHttpNotFound, "unknown_service"));
    return;
  }
  const std::string path(slash == std::string_view::npos ? "/"
                                                         : rest.substr(slash));
  const Route* route = FindRoute(found->second, session->method(), path);
  if (!route) {
    RespondWithProblem(*session, NotRunProblem(kHttpNotFound, "unknown_route"));
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
    RespondWithProblem(*session,
                       NotRunProblem(kHttpBadRequest, "bad_idempotency_key"));
    return;
  }
  if (!route->idempotent && !key) {
    RespondWithProblem(
        *session, NotRunProblem(kHttpBadRequest, "idempotency_key_missing"));
    return;
  }
  bool malformed = false;
  const auto timeout = ReadTimeout(*session, *route, malformed);
  if (!timeout) {
    RespondWithProblem(*session, NotRunProblem(kHttpBadRequest, "bad_timeout"));
    return;
  }
  call.arrived.timeout = *timeout;
  if (session->content_length().value_or(0) > route->max_body_bytes) {
    RespondWithProblem(*session,
                       NotRunProblem(kHttpContentTooLarge, "body_too_large"));
    return;
  }
  if (key) {
    call.arrived.key = RequestKey(*key);
    CollectBody(server, std::move(call));
    return;
  }
  call.streams_body = session->has_body();
  // The body has not been read yet; its length stands in for its hash, so that
  // most uploads of one caller have different fingerprints.
  const uint64_t length = session->content_length().value_or(0);
  call.arrived.fingerprint = FingerprintOf(call, length);
  server->callbacks.on_call(std::move(call));
}

}  // namespace

std::string EncodeLookup(const LookupAnswer& answer) {
  Json json;
  json["ttl"] = answer.ttl.count();
  json["key_prefix"] = answer.key_prefix;
  json["hosts"] = Json::array();
  for (const LookupHost& it : answer.hosts) {
    json["hosts"].push_back(
        {{"host", it.host}, {"address", it.address}, {"weight", it.weight}});
  }
  return DumpLenientJson(json);
}

void RespondWithProblem(HttpSession& session, const Problem& problem) {
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
  session.Respond(problem.status, headers, DumpLenientJson(json));
}

Result<std::unique_ptr<HttpServer>> StartCallerServer(
    Loop& loop,
    const CallerServerConfig& config,
    CallerServerCallbacks callbacks) {
  auto server = std::make_shared<CallerServer>();
  server->config = config;
  server->callbacks = std::move(callbacks);
  return StartHttpServer(
      loop, config.server, [server](std::shared_ptr<HttpSession> session) {
        const std::string& path = session->path();
        if (path == kLookupPath)
          HandleLookup(*server, *session);
        else if (path.compare(0, kCallPrefix.size(), kCallPrefix) == 0)
          HandleCall(server, std::move(session));
        else
          RespondWithProblem(*session,
                             NotRunProblem(kHttpNotFound, "unknown_path"));
      });
}

}  // namespace sassafras
