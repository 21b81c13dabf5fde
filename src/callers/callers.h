// The callers' interface: look-ups and calls over HTTP/1.1.
#ifndef CALLERS_CALLERS_H_
#define CALLERS_CALLERS_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "base/error.h"
#include "base/http_server.h"
#include "base/ids.h"
#include "base/loop.h"
#include "base/settings.h"
#include "decisions/entry_node.h"
#include "decisions/lookup.h"
#include "decisions/topology.h"

namespace sassafras {

// A caller's request that passed the checks of its form.
struct Call {
  std::shared_ptr<HttpSession> session;
  CallArrived arrived;     // Without the exchange's number.
  std::string target;      // What the endpoint is asked for.
  std::string whole_body;  // Of requests with a key.
  bool streams_body = false;
  uint64_t max_body_bytes = 0;
};

struct CallersConfig {
  HttpServerConfig server;
  uint64_t max_keyed_body_bytes = 0;
  const Topology* topology = nullptr;
};

// What the entry process does with requests.
struct CallersHandler {
  std::function<LookupAnswer(uint32_t client_ip)> look_up;
  std::function<void(Call)> on_call;
};

Result<std::unique_ptr<HttpServer>> StartCallerServer(
    Loop& loop,
    const CallersConfig& config,
    CallersHandler handler);

// Answers a session with a problem document (application/problem+json).
void AnswerProblem(HttpSession& session, const Problem& problem);

// JSON text of a look-up's answer.
std::string LookupText(const LookupAnswer& answer);

}  // namespace sassafras

#endif  // CALLERS_CALLERS_H_
