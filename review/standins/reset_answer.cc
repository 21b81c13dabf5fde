// Servers answer some long uploads before they have read them, with answers
// that have no length, and break these off: they close the connection with
// unread bytes, which resets it. Checks that no client takes such an answer for
// whole.
#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdio>
#include <cstdlib>

#include "standins.h"

namespace review {
namespace {

constexpr char kServerIp[] = "127.0.0.35";
constexpr int kServers = 3;
constexpr int kSlots = 3;
// The smallest of the site's doses of the variants: 0.35 of the servers and
// 0.02 of their answers (broken off), for 5 s (without a length).
constexpr int kFaultyServers = 1;
constexpr int kBrokenOneOf = 50;
constexpr int64_t kTroubleMs = 5000;
constexpr int64_t kTroubleAtMs = 2000;  // From the start of the load.
constexpr int64_t kLoadMs = 12'000;
constexpr int64_t kUploadPeriodMs = 250;
// About 80 reads and 25 charges a second; the site has 84 and 29.
constexpr int kReaders = 8;
constexpr int kChargers = 3;
constexpr int64_t kSmallWorkMs = 60;
constexpr int64_t kSmallPauseMs = 45;
constexpr size_t kUploadBytes = 360'000;  // The most that the site names.
constexpr size_t kEarlyBytes = 4000;      // Read before an early answer.
constexpr size_t kAnswerBytes = 2400;     // The most that the site names.
constexpr int64_t kBreakMs = 100;         // From the begun answer to the reset.
constexpr int64_t kWorkMs = 250;
// As on a network with Ethernet frames. The loopback's own segments of 64 KB
// come with send buffers of megabytes.
constexpr int kSegmentBytes = 1400;
constexpr int kReceiveBufferBytes = 8 << 10;

struct Run {
  explicit Run(const Options& options)
      : options(options), record(options.record) {}

  Options options;
  Record record;
  std::atomic<int64_t> started{0};
  std::atomic<int> broken_off{0};
  std::atomic<int> served{0};
  std::atomic<int> small{0};  // Reads and charges served.
  std::atomic<int> mixed{0};
};

std::string AnswerBody(const std::string& id) {
  std::string body;
  while (body.size() < kAnswerBytes)
    body += "stored " + id + "\n";
  body.resize(kAnswerBytes);
  return body;
}

struct Server {
  std::string name;
  bool is_faulty = false;
  std::atomic<int> answers{0};  // Since the trouble began.
  std::atomic<int> broken_off{0};

  bool IsInTrouble(const Run& run) const {
    const int64_t since = NowMs() - run.started - kTroubleAtMs;
    return run.options.trouble && is_faulty && since >= 0 && since < kTroubleMs;
  }
  void CountAnswer(const Run& run) { answers += IsInTrouble(run) ? 1 : 0; }
  // Breaks off an upload's answer as long as these stay within the dose.
  bool BreaksOff(const Run& run) {
    if (!IsInTrouble(run) || (broken_off + 1) * kBrokenOneOf > answers)
      return false;
    ++broken_off;
    return true;
  }
};

void ServeConnection(Run& run, Server& server, Conn& conn) {
  while (const auto head = conn.ReadHead(NowMs() + 10'000)) {
    const std::string id = head->Get("Request-Id");
    if (head->Get("Target-Instance") != server.name) {
      conn.Write("HTTP/1.1 421 X\r\nRequest-Id: " + id +
                 "\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n");
      return;
    }
    std::string body;
    const std::string answer = AnswerBody(id);
    server.CountAnswer(run);
    if (head->Path().compare(0, 4, "/up/") != 0) {
      if (!conn.ReadBody(*head, body, NowMs() + 4000))
        return;
      SleepMs(kSmallWorkMs);
      if (!conn.Write(ServerAnswer(id, 200, "", answer)))
        return;
      continue;
    }
    if (server.BreaksOff(run)) {
      if (!conn.ReadExactly(body, kEarlyBytes, NowMs() + 4000))
        return;
      ++run.broken_off;
      run.record.Line(server.name + " runs " + id + ", sends " +
                      std::to_string(answer.size() / 2) + " of " +
                      std::to_string(answer.size()) +
                      " bytes of an answer without a length and closes the "
                      "connection with unread bytes");
      conn.Write("HTTP/1.1 200 X\r\nRequest-Id: " + id + "\r\nServer-Seal: " +
                 SealOf(id) + "\r\nConnection: close\r\n\r\n" +
                 answer.substr(0, answer.size() / 2));
      SleepMs(kBreakMs);
      return;
    }
    if (!conn.ReadBody(*head, body, NowMs() + 8000))
      return;
    run.record.Line(server.name + " runs " + id);
    SleepMs(kWorkMs);
    // As other answers do at times, those to uploads close the connection.
    conn.Write(ServerAnswer(id, 200, "Connection: close\r\n", answer));
    return;
  }
}

// Like Listener, with the segments and windows of a network.
int Listen(Run& run, Server& server) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  setsockopt(fd, IPPROTO_TCP, TCP_MAXSEG, &kSegmentBytes,
             sizeof(kSegmentBytes));
  setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &kReceiveBufferBytes,
             sizeof(kReceiveBufferBytes));
  sockaddr_in to{};
  to.sin_family = AF_INET;
  inet_pton(AF_INET, kServerIp, &to.sin_addr);
  if (::bind(fd, reinterpret_cast<sockaddr*>(&to), sizeof(to)) != 0 ||
      ::listen(fd, 512) != 0)
    std::exit(kCannotRun);
  socklen_t size = sizeof(to);
  getsockname(fd, reinterpret_cast<sockaddr*>(&to), &size);
  std::thread([fd, &run, &server] {
    while (true) {
      const int accepted = ::accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
      if (accepted < 0)
        continue;
      std::thread([accepted, &run, &server] {
        Conn conn(accepted);
        ServeConnection(run, server, conn);
      }).detach();
    }
  }).detach();
  return ntohs(to.sin_port);
}

// Sends reads, or charges if `charges`, one after the other.
void SendSmall(Run& run,
               const std::string& ip,
               int port,
               int caller,
               bool charges,
               int64_t until_ms) {
  std::unique_ptr<Conn> conn;
  for (int n = 0; NowMs() < until_ms; ++n) {
    const std::string id = (charges ? "c" : "s") + std::to_string(caller) +
                           "-" + std::to_string(n);
    const std::string body = charges ? "amount=1" : "";
    if (!conn)
      conn = Conn::Open(ip, port);
    if (!conn)
      return;
    conn->Write(
        (charges ? "POST /charge/" : "GET /sheet/") + id +
        " HTTP/1.1\r\nHost: h.example\r\nRequest-Id: " + id +
        "\r\nCookie: Affinity-Key=" + std::to_string((caller + n) % 24) +
        "\r\nDeadline-Ms: 3000\r\n" +
        (charges ? "Content-Length: " + std::to_string(body.size()) + "\r\n"
                 : std::string()) +
        "\r\n" + body);
    const auto head = conn->ReadHead(NowMs() + 4000);
    std::string answer;
    const bool whole = head && conn->ReadBody(*head, answer, NowMs() + 1000);
    if (whole && head->Status() == 200 && answer != AnswerBody(id)) {
      ++run.mixed;
      run.record.Line("BROKEN: " + id + " got another body than its server's");
    }
    run.small += whole && head->Status() == 200 ? 1 : 0;
    if (!whole || head->Get("Connection") == "close")
      conn.reset();
    SleepMs(kSmallPauseMs);
  }
}

void Upload(Run& run, const std::string& ip, int port, int number) {
  const std::string id = "u" + std::to_string(number);
  const auto conn = Conn::Open(ip, port);
  if (!conn)
    return;
  std::thread writer([&] {
    conn->Write("POST /up/" + id +
                " HTTP/1.1\r\nHost: h.example\r\nRequest-Id: " + id +
                "\r\nCookie: Affinity-Key=" + std::to_string(number % 6) +
                "\r\nDeadline-Ms: 4000\r\nContent-Length: " +
                std::to_string(kUploadBytes) + "\r\n\r\n" +
                std::string(kUploadBytes, 'u'));
  });
  const auto head = conn->ReadHead(NowMs() + 5000);
  std::string body;
  const bool whole = head && conn->ReadBody(*head, body, NowMs() + 2000);
  const int status = head ? head->Status() : 0;
  run.record.Line(
      "client got for " + id + ": " + (head ? head->start : "nothing") + ", " +
      std::to_string(body.size()) + " bytes" + (whole ? "" : ", incomplete"));
  if (whole && status == 200) {
    ++run.served;
    if (body != AnswerBody(id)) {
      ++run.mixed;
      run.record.Line("BROKEN: " + id +
                      " was answered 200 and looks complete, "
                      "with " +
                      std::to_string(body.size()) + " of the " +
                      std::to_string(kAnswerBytes) +
                      " bytes of its server's body");
    }
  }
  conn->Shutdown();
  writer.join();
}

int Main(const Options& options) {
  // Never destroyed: the threads of the stand-ins end with the process.
  Run& run = *new Run(options);
  Store& store = *new Store("127.0.0.1");
  store.Put("config", "main",
            Configuration(
                1, {"rondas"},
                {{"/up/", "upload", "rondas", 4, 0.6, 1, true},
                 {"/sheet/", "idempotent", "rondas", 2, 0.5, 0, true},
                 {"/charge/", "non_idempotent", "rondas", 2.5, 0.6, 1, true}}));
  for (int i = 0; i < kServers; ++i) {
    Server& server = *new Server;
    server.name = "i-" + std::to_string(i);
    server.is_faulty = i < kFaultyServers;
    store.Put("servers", server.name,
              ServerEntry("rondas", kServerIp, Listen(run, server), "cuyo-a",
                          kSlots));
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
  std::vector<std::thread> uploads;
  for (int i = 0; i < kReaders + kChargers; ++i) {
    uploads.emplace_back([&run, &gateways, i] {
      SendSmall(run, gateways.ip(i % 2), gateways.front_port(), i,
                i >= kReaders, run.started + kLoadMs);
    });
  }
  for (int i = 1; NowMs() < run.started + kLoadMs; ++i) {
    uploads.emplace_back([&run, &gateways, i] {
      Upload(run, gateways.ip(i % 2), gateways.front_port(), i);
    });
    SleepMs(kUploadPeriodMs);
  }
  for (std::thread& it : uploads)
    it.join();
  SleepMs(500);
  run.record.Line("uploads served " + std::to_string(run.served) +
                  ", reads and charges " + std::to_string(run.small) +
                  ", broken off by servers " + std::to_string(run.broken_off) +
                  ", passed to clients as whole " + std::to_string(run.mixed));
  if (run.served == 0 || (options.trouble && run.broken_off == 0))
    return kCannotRun;
  return run.mixed > 0 ? kBroken : kHeld;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  const int result = review::Main(review::ParseOptions(argc, argv));
  std::fflush(nullptr);
  std::_Exit(result);
}
