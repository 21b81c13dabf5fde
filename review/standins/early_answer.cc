// A server answers a long upload before it has read all of its body, keeps the
// connection and reads on later. Checks the bytes that arrive where the rest of
// that body is due.
#include <algorithm>
#include <cstdio>

#include "standins.h"

namespace review {
namespace {

constexpr char kServerIp[] = "127.0.0.31";
constexpr int kServers = 3;
// The largest dose of the site: 0.7 of the servers, 0.4 of their answers, 6 s.
constexpr int kEarlyServers = 2;
constexpr int kEarlyOf5 = 2;
constexpr int64_t kTroubleMs = 6000;
constexpr int kSlots = 3;
constexpr size_t kUploadBytes = 360'000;  // The most that the site names.
constexpr size_t kUploadStepBytes = 24'000;
constexpr int64_t kUploadStepMs = 10;
constexpr size_t kEarlyBytes = 100'000;  // Of the body, read before the answer.
constexpr size_t kAnswerBytes = 160'000;
constexpr size_t kFirstAnswerBytes = 100'000;
constexpr int64_t kAnswerPauseMs = 400;  // Before the rest of the answer.
constexpr int64_t kChargeMs = 250;
constexpr int kChargers = 4;
constexpr int64_t kLoadMs = 12'000;
constexpr int64_t kTroubleAtMs = 2000;  // From the start of the load.
constexpr int64_t kUploadPeriodMs = 250;

// Each body names its request in every line.
std::string BodyOf(const std::string& id) {
  std::string body;
  char line[40];
  for (int i = 0; body.size() < kUploadBytes; ++i) {
    std::snprintf(line, sizeof(line), "%-12s %10d\n", id.c_str(), i);
    body += line;
  }
  body.resize(kUploadBytes);
  return body;
}

struct Run {
  explicit Run(const Options& options)
      : options(options), record(options.record) {}

  Options options;
  Record record;
  std::atomic<int64_t> started{0};  // Of the load.
  std::atomic<int> foreign{0};
  std::atomic<int> early{0};
  std::atomic<int> whole{0};
  std::atomic<int> unfinished{0};
  std::atomic<int> charges_run{0};
};

// A server with the number of uploads that it was sent during the trouble.
struct Server {
  std::string name;
  bool may_answer_early = false;
  std::atomic<int> uploads{0};

  bool AnswersEarly(const Run& run) {
    const int64_t since = NowMs() - run.started - kTroubleAtMs;
    if (!run.options.trouble || !may_answer_early || since < 0 ||
        since >= kTroubleMs)
      return false;
    // Two of each five.
    return uploads++ % 5 % 2 == 0 && (uploads - 1) % 5 / 2 < kEarlyOf5;
  }
};

std::string Printable(const std::string& text) {
  std::string out;
  for (const char c : text.substr(0, 120))
    out += c == '\r' || c == '\n' ? '|' : c;
  return out;
}

// Reads the rest of an upload's body; returns false if the connection is of no
// use afterwards.
bool ReadRest(Run& run,
              Conn& conn,
              const std::string& server,
              const std::string& id,
              const std::string& expected,
              std::string body) {
  conn.ReadExactly(body, expected.size() - body.size(), NowMs() + 8000);
  const auto [at, same] =
      std::mismatch(body.begin(), body.end(), expected.begin());
  if (at != body.end()) {
    ++run.foreign;
    const size_t offset = static_cast<size_t>(at - body.begin());
    run.record.Line(server +
                    " BROKEN: other bytes where the rest of the body "
                    "of " +
                    id + " is due, at offset " + std::to_string(offset) + ": " +
                    Printable(body.substr(offset)));
    return false;
  }
  if (body.size() < expected.size()) {
    ++run.unfinished;
    run.record.Line(server + " connection of " + id + " ended after " +
                    std::to_string(body.size()) + " bytes of its body");
    return false;
  }
  ++run.whole;
  run.record.Line(server + " read the whole body of " + id);
  return true;
}

void ServeConnection(Run& run, Server& self, Conn& conn) {
  const std::string& server = self.name;
  while (const auto head = conn.ReadHead(NowMs() + 10'000)) {
    const std::string id = head->Get("Request-Id");
    if (head->Get("Target-Instance") != server) {
      conn.Write("HTTP/1.1 421 X\r\nRequest-Id: " + id +
                 "\r\nNot-Executed: 1\r\nContent-Length: 0\r\n"
                 "Connection: close\r\n\r\n");
      return;
    }
    if (head->Path().compare(0, 4, "/up/") != 0) {
      std::string body;
      if (!conn.ReadBody(*head, body, NowMs() + 4000))
        return;
      run.record.Line(server + " runs " + id);
      ++run.charges_run;
      SleepMs(kChargeMs);
      if (!conn.Write(ServerAnswer(id, 200, "", "charged " + id)))
        return;
      continue;
    }
    const std::string expected = BodyOf(id);
    std::string body;
    const bool is_early = self.AnswersEarly(run);
    const size_t before = is_early ? kEarlyBytes : expected.size();
    run.early += is_early ? 1 : 0;
    if (!conn.ReadExactly(body, before, NowMs() + 8000)) {
      run.record.Line(server + " got only a part of " + id);
      return;
    }
    run.record.Line(server + " runs " + id + " and answers after " +
                    std::to_string(body.size()) + " bytes of its body");
    const std::string answer =
        ServerAnswer(id, 200, "", std::string(kAnswerBytes, 'a'));
    if (!conn.Write(answer.substr(0, kFirstAnswerBytes)))
      return;
    SleepMs(kAnswerPauseMs);
    if (!conn.Write(answer.substr(kFirstAnswerBytes)))
      return;
    if (!ReadRest(run, conn, server, id, expected, std::move(body)))
      return;
  }
}

std::string RequestHead(const std::string& path,
                        const std::string& id,
                        size_t length,
                        int object) {
  return "POST " + path + " HTTP/1.1\r\nHost: h.example\r\nRequest-Id: " + id +
         "\r\nCookie: Affinity-Key=" + std::to_string(object) +
         "\r\nDeadline-Ms: 4000\r\nContent-Length: " + std::to_string(length) +
         "\r\n\r\n";
}

void Upload(Run& run, const std::string& ip, int port, int number) {
  const std::string id = "u" + std::to_string(number);
  const auto conn = Conn::Open(ip, port);
  if (!conn)
    return;
  run.record.Line("client sends " + id);
  std::thread reader([&] {
    const auto head = conn->ReadHead(NowMs() + 5000);
    std::string body;
    const bool whole = head && conn->ReadBody(*head, body, NowMs() + 5000);
    run.record.Line("client got for " + id + ": " +
                    (head ? head->start : "nothing") + ", " +
                    std::to_string(body.size()) + " bytes" +
                    (whole ? "" : ", incomplete"));
  });
  const std::string body = BodyOf(id);
  conn->Write(RequestHead("/up/" + id, id, body.size(), number % 6));
  for (size_t at = 0; at < body.size(); at += kUploadStepBytes) {
    if (!conn->Write(body.substr(at, kUploadStepBytes)))
      break;
    SleepMs(kUploadStepMs);
  }
  reader.join();
}

void SendCharges(Run& run,
                 const std::string& ip,
                 int port,
                 int caller,
                 int64_t until_ms) {
  std::unique_ptr<Conn> conn;
  for (int n = 1; NowMs() < until_ms; ++n) {
    const std::string id =
        "c" + std::to_string(caller) + "-" + std::to_string(n);
    if (!conn)
      conn = Conn::Open(ip, port);
    if (!conn)
      return;
    const std::string body = "amount=1&id=" + id;
    conn->Write(
        RequestHead("/charge/" + id, id, body.size(), (caller + n) % 6) + body);
    const auto head = conn->ReadHead(NowMs() + 5000);
    std::string answer;
    const bool whole = head && conn->ReadBody(*head, answer, NowMs() + 1000);
    run.record.Line("client got for " + id + ": " +
                    (head ? head->start : "nothing"));
    if (!whole || head->Get("Connection") == "close")
      conn.reset();
    SleepMs(20);
  }
}

int Main(const Options& options) {
  // Never destroyed: the threads of the stand-ins end with the process.
  Run& run = *new Run(options);
  Store& store = *new Store("127.0.0.1");
  store.Put("config", "main",
            Configuration(
                1, {"rondas"},
                {{"/up/", "upload", "rondas", 4, 0.6, 1, true},
                 {"/charge/", "non_idempotent", "rondas", 4, 0.6, 1, true}}));
  for (int i = 0; i < kServers; ++i) {
    Server& server = *new Server;
    server.name = "i-" + std::to_string(i);
    server.may_answer_early = i < kEarlyServers;
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
  SleepMs(4000);
  run.started = NowMs();
  const int64_t end = run.started + kLoadMs;
  std::vector<std::thread> charges;
  for (int i = 0; i < kChargers; ++i) {
    charges.emplace_back([&run, &gateways, i, end] {
      SendCharges(run, gateways.ip(i % 2), gateways.front_port(), i, end);
    });
  }
  std::vector<std::thread> uploads;
  for (int i = 1; NowMs() < end; ++i) {
    uploads.emplace_back([&run, &gateways, i] {
      Upload(run, gateways.ip(i % 2), gateways.front_port(), i);
    });
    SleepMs(kUploadPeriodMs);
  }
  for (std::thread& it : uploads)
    it.join();
  for (std::thread& it : charges)
    it.join();
  SleepMs(3000);
  run.record.Line("answered early " + std::to_string(run.early) +
                  ", bodies whole " + std::to_string(run.whole) +
                  ", ended early " + std::to_string(run.unfinished) +
                  ", with other bytes " + std::to_string(run.foreign) +
                  ", charges run " + std::to_string(run.charges_run));
  if (run.whole == 0 || (options.trouble && run.early == 0))
    return kCannotRun;
  return run.foreign > 0 ? kBroken : kHeld;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  const int result = review::Main(review::ParseOptions(argc, argv));
  std::fflush(nullptr);
  std::_Exit(result);
}
