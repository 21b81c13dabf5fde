// Some servers break off a few of their answers. Clients pipeline reads. Checks
// that a read that was passed on to a sound server is answered before the
// gateway closes the client's connection.
#include <cstdio>
#include <set>

#include "standins.h"

namespace review {
namespace {

constexpr char kServerIp[] = "127.0.0.33";
constexpr int kServers = 6;
constexpr int kSlots = 3;
// The site's dose of `garble`: 0.35 of the servers, 0.02 of their answers, for
// 5.5 s.
constexpr int kFaultyServers = 2;
constexpr int kBrokenOneOf = 50;
constexpr int64_t kTroubleMs = 5500;
constexpr int64_t kTroubleAtMs = 3000;  // From the start of the load.
constexpr int64_t kLoadMs = 12'000;
constexpr size_t kAnswerBytes = 120'000;
constexpr size_t kBrokenAtBytes = 90'000;
constexpr int64_t kWorkMs = 60;
constexpr int kClients = 5;
constexpr int64_t kPauseMs = 310;  // About 80 reads a second in all.
constexpr int kPipelined = 6;
constexpr int kObjects = 24;
constexpr int kMostLost = 3;  // The rule's bound.

struct Request {
  bool was_run = false;  // A server has begun to work on it.
  bool is_sound = true;  // The server did not break off its answer.
  bool is_answered = false;
  bool is_closed = false;  // The connection was closed before its answer.
};

struct Run {
  explicit Run(const Options& options)
      : options(options), record(options.record) {}

  Options options;
  Record record;
  std::mutex mutex;
  std::map<std::string, Request> requests;
  std::atomic<int64_t> started{0};
  std::atomic<int> broken_off{0};
};

struct Server {
  std::string name;
  bool is_faulty = false;
  std::atomic<int> answers{0};

  bool BreaksOff(const Run& run) {
    const int64_t since = NowMs() - run.started - kTroubleAtMs;
    return run.options.trouble && is_faulty && since >= 0 &&
           since < kTroubleMs && answers++ % kBrokenOneOf == kBrokenOneOf / 2;
  }
};

void ServeConnection(Run& run, Server& server, Conn& conn) {
  while (const auto head = conn.ReadHead(NowMs() + 10'000)) {
    const std::string id = head->Get("Request-Id");
    if (head->Get("Target-Instance") != server.name) {
      conn.Write("HTTP/1.1 421 X\r\nRequest-Id: " + id +
                 "\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n");
      continue;
    }
    const bool breaks_off = server.BreaksOff(run);
    {
      const std::lock_guard<std::mutex> lock(run.mutex);
      run.requests[id].was_run = true;
      run.requests[id].is_sound = !breaks_off;
    }
    SleepMs(kWorkMs);
    const std::string answer =
        ServerAnswer(id, 200, "", std::string(kAnswerBytes, 'a'));
    if (!breaks_off) {
      if (!conn.Write(answer))
        return;
      continue;
    }
    ++run.broken_off;
    run.record.Line(server.name + " breaks off its answer to " + id);
    conn.Write(answer.substr(0, kBrokenAtBytes));
    SleepMs(20);
    return;
  }
}

// Sends groups of pipelined reads and waits for the answers of each.
void SendReads(Run& run, Gateways& gateways, int client, int64_t until) {
  std::unique_ptr<Conn> conn;
  for (int n = 0; NowMs() < until;) {
    if (!conn)
      conn = Conn::Open(gateways.ip(client % 2), gateways.front_port());
    if (!conn)
      return;
    std::vector<std::string> ids;
    std::string text;
    for (int i = 0; i < kPipelined; ++i, ++n) {
      const std::string id =
          "s" + std::to_string(client) + "-" + std::to_string(n);
      ids.push_back(id);
      const std::string object = std::to_string((client * 7 + n) % kObjects);
      text += "GET /sheet/" + object +
              " HTTP/1.1\r\nHost: h.example\r\nRequest-Id: " + id +
              "\r\nCookie: Affinity-Key=" + object +
              "\r\nDeadline-Ms: 3000\r\n\r\n";
    }
    conn->Write(text);
    size_t answered = 0;
    for (; answered < ids.size(); ++answered) {
      const auto head = conn->ReadHead(NowMs() + 4000);
      std::string body;
      if (!head || !conn->ReadBody(*head, body, NowMs() + 4000))
        break;
      const std::lock_guard<std::mutex> lock(run.mutex);
      run.requests[ids[answered]].is_answered = true;
    }
    if (answered < ids.size()) {
      conn.reset();
      const std::lock_guard<std::mutex> lock(run.mutex);
      for (size_t i = answered; i < ids.size(); ++i)
        run.requests[ids[i]].is_closed = true;
      run.record.Line("client: the connection closed before the answer to " +
                      ids[answered] + " was complete, with " +
                      std::to_string(ids.size() - answered - 1) +
                      " further requests on it");
    }
    SleepMs(kPauseMs);
  }
}

int Main(const Options& options) {
  // Never destroyed: the threads of the stand-ins end with the process.
  Run& run = *new Run(options);
  Store& store = *new Store("127.0.0.1");
  store.Put(
      "config", "main",
      Configuration(1, {"rondas"},
                    {{"/sheet/", "idempotent", "rondas", 2, 0.5, 0, true}}));
  for (int i = 0; i < kServers; ++i) {
    Server& server = *new Server;
    server.name = "i-" + std::to_string(i);
    server.is_faulty = i < kFaultyServers;
    const auto* listener = new Listener(
        kServerIp, 0,
        [&run, &server](Conn& conn) { ServeConnection(run, server, conn); });
    store.Put(
        "servers", server.name,
        ServerEntry("rondas", kServerIp, listener->port(), "cuyo-a", kSlots));
  }
  Gateways gateways(options.folder, store.port(), 6, 2);
  gateways.Start(0);
  gateways.Start(1);
  if (!gateways.WaitReady(0, NowMs() + 15'000) ||
      !gateways.WaitReady(1, NowMs() + 15'000)) {
    run.record.Line("gateways did not start");
    return kCannotRun;
  }
  SleepMs(5000);
  run.started = NowMs();
  const int64_t end = run.started + kLoadMs;
  std::vector<std::thread> clients;
  for (int i = 0; i < kClients; ++i) {
    clients.emplace_back(
        [&run, &gateways, i, end] { SendReads(run, gateways, i, end); });
  }
  for (std::thread& it : clients)
    it.join();
  SleepMs(500);
  const std::lock_guard<std::mutex> lock(run.mutex);
  int answered = 0;
  int lost = 0;
  for (const auto& [id, it] : run.requests) {
    answered += it.is_answered ? 1 : 0;
    if (!it.is_closed || !it.was_run || !it.is_sound)
      continue;
    ++lost;
    run.record.Line("LOST: " + id +
                    " ran at a sound server, and the gateway "
                    "closed its client's connection without an answer");
  }
  run.record.Line("requests " + std::to_string(run.requests.size()) +
                  ", answered " + std::to_string(answered) +
                  ", broken off by servers " + std::to_string(run.broken_off) +
                  ", lost " + std::to_string(lost) + " (the rule allows " +
                  std::to_string(kMostLost) + ")");
  if (answered < 100 || (options.trouble && run.broken_off == 0))
    return kCannotRun;
  return lost > kMostLost ? kBroken : kHeld;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  const int result = review::Main(review::ParseOptions(argc, argv));
  std::fflush(nullptr);
  std::_Exit(result);
}
