#include "base/http_client.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <cstdint>
#include <utility>
#include <vector>

namespace sassafras {

namespace {

// A connection attempt that takes longer than this fails, so that the caller
// can retry early: TCP itself retransmits a lost SYN only seconds later.
constexpr long kConnectTimeoutMs = 600;
// The connection is closed after this many unanswered keepalive probes.
constexpr int kMaxUnansweredProbes = 2;

size_t OnBody(char* data, size_t size, size_t count, void* self) {
  auto* transfer = static_cast<HttpTransfer*>(self);
  const std::string_view text(data, size * count);
  if (transfer->on_data)
    transfer->on_data(text);
  else
    transfer->response.append(text);
  return size * count;
}

// Callback for CURLOPT_SOCKOPTFUNCTION. `peer_timeout` points to a
// std::chrono::seconds, the time after which the connection to an unresponsive
// peer is closed.
int SetKeepAlive(void* peer_timeout, curl_socket_t fd, curlsocktype) {
  const int seconds = static_cast<int>(
      static_cast<const std::chrono::seconds*>(peer_timeout)->count());
  const int on = 1;
  const int probe_interval_s = 1;
  const int idle_s =
      std::max(1, seconds - kMaxUnansweredProbes * probe_interval_s);
  const int peer_timeout_ms = seconds * 1000;
  setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
  setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &idle_s, sizeof(idle_s));
  setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &probe_interval_s,
             sizeof(probe_interval_s));
  setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &kMaxUnansweredProbes,
             sizeof(kMaxUnansweredProbes));
  setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &peer_timeout_ms,
             sizeof(peer_timeout_ms));
  return CURL_SOCKOPT_OK;
}

}  // namespace

HttpTransfer::~HttpTransfer() {
  curl_slist_free_all(headers);
  curl_easy_cleanup(easy);
}

long HttpTransfer::Status() const {
  long status = 0;
  curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
  return status;
}

std::string HttpTransfer::Field(const char* name) const {
  curl_header* field = nullptr;
  const bool is_found =
      curl_easy_header(easy, name, 0, CURLH_HEADER, -1, &field) == CURLHE_OK;
  return is_found ? field->value : "";
}

void HttpTransfer::SetTimeout(Duration timeout) {
  curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS,
                   static_cast<long>(Millis(timeout)));
}

void HttpTransfer::SetJson(const char* method, std::string body) {
  request = std::move(body);
  curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, method);
  curl_easy_setopt(easy, CURLOPT_POSTFIELDS, request.c_str());
  curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE,
                   static_cast<long>(request.size()));
  headers = curl_slist_append(nullptr, "Content-Type: application/json");
  curl_easy_setopt(easy, CURLOPT_HTTPHEADER, headers);
}

void HttpTransfer::EnableKeepAlive(std::chrono::seconds timeout) {
  peer_timeout = timeout;
  curl_easy_setopt(easy, CURLOPT_SOCKOPTFUNCTION, &SetKeepAlive);
  curl_easy_setopt(easy, CURLOPT_SOCKOPTDATA, &peer_timeout);
}

void HttpTransfer::SetMaxIdleTime(std::chrono::seconds time) {
  curl_easy_setopt(easy, CURLOPT_MAXAGE_CONN, static_cast<long>(time.count()));
}

void HttpTransfer::UseNewConnection() {
  curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
}

std::shared_ptr<HttpTransfer> MakeHttpTransfer(const std::string& url) {
  auto transfer = std::make_shared<HttpTransfer>();
  CURL* easy = transfer->easy;
  curl_easy_setopt(easy, CURLOPT_URL, url.c_str());
  curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &OnBody);
  curl_easy_setopt(easy, CURLOPT_WRITEDATA, transfer.get());
  curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(easy, CURLOPT_PROXY, "");
  curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS, kConnectTimeoutMs);
  return transfer;
}

std::string EscapeForUrl(const std::string& text) {
  // libcurl takes a length of zero for that of a C string.
  if (text.empty())
    return {};
  const std::unique_ptr<char, decltype(&curl_free)> escaped(
      curl_easy_escape(nullptr, text.data(), static_cast<int>(text.size())),
      &curl_free);
  return escaped ? std::string(escaped.get()) : std::string();
}

CurlDriver::CurlDriver(Loop& loop, long max_connections)
    : loop_(loop),
      multi_(curl_multi_init()),
      alive_(std::make_shared<bool>(true)) {
  curl_multi_setopt(multi_, CURLMOPT_SOCKETFUNCTION, &CurlDriver::OnSocket);
  curl_multi_setopt(multi_, CURLMOPT_SOCKETDATA, this);
  curl_multi_setopt(multi_, CURLMOPT_TIMERFUNCTION, &CurlDriver::OnTimer);
  curl_multi_setopt(multi_, CURLMOPT_TIMERDATA, this);
  curl_multi_setopt(multi_, CURLMOPT_MAXCONNECTS, max_connections);
}

CurlDriver::~CurlDriver() {
  *alive_ = false;
  for (const auto& [easy, on_done] : transfers_)
    curl_multi_remove_handle(multi_, easy);
  curl_multi_cleanup(multi_);
}

void CurlDriver::Add(CURL* easy, std::function<void(CURLcode)> on_done) {
  transfers_[easy] = std::move(on_done);
  curl_multi_add_handle(multi_, easy);
}

void CurlDriver::Remove(CURL* easy) {
  if (transfers_.erase(easy) > 0)
    curl_multi_remove_handle(multi_, easy);
}

int CurlDriver::OnSocket(CURL*, curl_socket_t fd, int what, void* self, void*) {
  auto* driver = static_cast<CurlDriver*>(self);
  driver->sockets_.erase(fd);
  if (what == CURL_POLL_REMOVE)
    return 0;
  const Ready ready = what == CURL_POLL_IN    ? Ready::kRead
                      : what == CURL_POLL_OUT ? Ready::kWrite
                                              : Ready::kReadWrite;
  driver->sockets_[fd] = driver->loop_.OnSocket(
      fd, ready, [driver, fd](bool readable, bool writable) {
        int events = 0;
        if (readable)
          events |= CURL_CSELECT_IN;
        if (writable)
          events |= CURL_CSELECT_OUT;
        driver->RunSocketAction(fd, events);
      });
  return 0;
}

int CurlDriver::OnTimer(CURLM*, long timeout_ms, void* self) {
  auto* driver = static_cast<CurlDriver*>(self);
  driver->timer_.reset();
  if (timeout_ms < 0)
    return 0;
  driver->timer_ = driver->loop_.After(
      std::chrono::milliseconds(timeout_ms),
      [driver] { driver->RunSocketAction(CURL_SOCKET_TIMEOUT, 0); });
  return 0;
}

void CurlDriver::RunSocketAction(curl_socket_t fd, int events) {
  int running = 0;
  curl_multi_socket_action(multi_, fd, events, &running);
  FinishCompletedTransfers();
}

void CurlDriver::FinishCompletedTransfers() {
  int left = 0;
  std::vector<std::pair<CURL*, CURLcode>> done;
  while (CURLMsg* msg = curl_multi_info_read(multi_, &left)) {
    if (msg->msg == CURLMSG_DONE)
      done.emplace_back(msg->easy_handle, msg->data.result);
  }
  for (const auto& [easy, code] : done) {
    const auto it = transfers_.find(easy);
    if (it == transfers_.end())
      continue;
    auto on_done = std::move(it->second);
    transfers_.erase(it);
    curl_multi_remove_handle(multi_, easy);
    loop_.Post([alive = alive_, on_done = std::move(on_done), code = code] {
      if (*alive)
        on_done(code);
    });
  }
}

}  // namespace sassafras
