#include "soak/soak_callers.h"

#include <algorithm>

#include "base/http_status.h"

namespace sassafras {

namespace {

// Of a hundred requests: sent on a new connection, left before the answer.
constexpr uint64_t kNewConnectionPercent = 25;
constexpr uint64_t kLeavePercent = 4;
constexpr int kObjects = 40;
constexpr size_t kMostPipelined = 3;

bool Chance(std::mt19937_64& random, uint64_t percent) {
  return random() % 100 < percent;
}

}  // namespace

SoakCallers::Connection& SoakCallers::ConnectionTo(int host) {
  if (!Chance(random_, kNewConnectionPercent)) {
    for (const auto& it : connections_) {
      const bool has_room =
          it->pending.empty() || (it->pending.size() < kMostPipelined &&
                                  it->pending.back()->may_repeat);
      if (it->host == host && it->is_usable && has_room)
        return *it;
    }
  }
  auto connection = std::make_unique<Connection>();
  connection->host = host;
  connection->caller = std::make_unique<PlatformStandinCaller>(
      world_.loop(), world_.CallerAddressOf(host));
  connections_.push_back(std::move(connection));
  return *connections_.back();
}

void SoakCallers::Send(int host, const std::string& path) {
  const uint64_t n = next_id_ + 1;
  SendRequest(host, path + std::to_string(n), std::to_string(n % kObjects));
}

void SoakCallers::SendAgain(int host, const std::string& path) {
  SendRequest(host, path, "again");
}

void SoakCallers::SendRequest(int host,
                              const std::string& path,
                              const std::string& object) {
  auto request = std::make_shared<SoakRequest>();
  request->id = "q" + std::to_string(++next_id_);
  request->path = path;
  request->host = host;
  const bool is_upload = path.rfind("/upload/", 0) == 0;
  request->may_repeat = !is_upload && path.rfind("/charge/", 0) != 0;
  request->sent = world_.loop().Now();
  if (!request->may_repeat)
    request->body.assign(is_upload ? 40000 : 20, 'b');
  Connection& connection = ConnectionTo(host);
  request->is_behind = !connection.pending.empty();
  connection.pending.push_back(request);
  requests_[request->id] = request;
  connection.caller->Send(RequestText(
      request->may_repeat ? "GET" : "POST", request->path, request->id,
      "Cookie: Affinity-Key=" + object + "\r\n", request->body));
  MaybeLeave(connection);
}

void SoakCallers::MaybeLeave(Connection& connection) {
  if (!Chance(random_, kLeavePercent))
    return;
  connection.caller->Disconnect();
  connection.is_usable = false;
  for (const auto& it : connection.pending)
    it->has_left = true;
  connection.pending.clear();
  // What came before it left and was not taken yet is nobody's.
  connection.taken = connection.caller->answers().size();
}

void SoakCallers::TakeAnswers(Connection& connection,
                              std::vector<std::string>& violations) {
  const auto& answers = connection.caller->answers();
  for (; connection.taken < answers.size(); ++connection.taken) {
    const auto& answer = answers[connection.taken];
    if (connection.pending.empty()) {
      violations.push_back(
          "an answer (status " + std::to_string(answer.head.status) +
          ") without a request from host " + std::to_string(connection.host));
      return;
    }
    const auto request = connection.pending.front();
    connection.pending.pop_front();
    request->status = answer.head.status;
    request->done = world_.loop().Now();
    if (!answer.head.keep_alive)
      connection.is_usable = false;
    if (request->status != kHttpOk)
      continue;
    const std::string* seal = FindField(answer.head.fields, "Server-Seal");
    if (!seal || *seal != "seal-" + request->id ||
        answer.body != "answer to " + request->id)
      violations.push_back("a foreign or broken answer to " + request->id);
  }
}

void SoakCallers::Take(std::vector<std::string>& violations) {
  const Time now = world_.loop().Now();
  for (const auto& it : connections_) {
    TakeAnswers(*it, violations);
    if (!it->caller->is_closed())
      continue;
    it->is_usable = false;
    for (const auto& request : it->pending) {
      request->is_cut = true;
      request->done = now;
    }
    it->pending.clear();
  }
  connections_.erase(
      std::remove_if(
          connections_.begin(), connections_.end(),
          [](const auto& it) { return !it->is_usable && it->pending.empty(); }),
      connections_.end());
}

void SoakCallers::ForgetHost(int host) {
  for (const auto& it : connections_) {
    if (it->host == host)
      it->is_usable = false;
  }
}

}  // namespace sassafras
