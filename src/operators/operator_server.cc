#include <utility>

#include "base/http_status.h"
#include "operators/operators.h"

namespace sassafras {

namespace {

constexpr unsigned kMaxConnections = 32;

void Handle(const StateSource& source, HttpSession& session) {
  if (session.path() == "/metrics") {
    session.Respond(kHttpOk, {{"Content-Type", "text/plain; version=0.0.4"}},
                    source.metrics());
    return;
  }
  if (session.path() != "/state") {
    session.Respond(kHttpNotFound, {}, "unknown path\n");
    return;
  }
  std::string text = source.dump(session.Argument("part").value_or(""));
  if (text.empty()) {
    session.Respond(kHttpNotFound, {}, "unknown part\n");
    return;
  }
  session.Respond(kHttpOk, {{"Content-Type", "application/json"}},
                  std::move(text));
}

}  // namespace

Result<std::unique_ptr<HttpServer>> StartOperatorServer(Loop& loop,
                                                        const Address& listen,
                                                        StateSource source) {
  HttpServerConfig config;
  config.listen = listen;
  config.max_connections = kMaxConnections;
  return StartHttpServer(loop, config,
                         [source = std::move(source)](
                             const std::shared_ptr<HttpSession>& session) {
                           Handle(source, *session);
                         });
}

}  // namespace sassafras
