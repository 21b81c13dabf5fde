// HTTP requests through libcurl's multi interface on the event loop.
#ifndef BASE_HTTP_CLIENT_H_
#define BASE_HTTP_CLIENT_H_

#include <curl/curl.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

#include "base/loop.h"

namespace sassafras {

// One HTTP request and its response. It must live until its driver has called
// `on_done` or removed it.
struct HttpTransfer {
  CURL* easy = curl_easy_init();
  curl_slist* headers = nullptr;
  std::string request;   // Body to send.
  std::string response;  // Body received.
  // If set, receives the body instead of `response`.
  std::function<void(std::string_view)> on_data;
  std::chrono::seconds peer_timeout{};  // See EnableKeepAlive().

  HttpTransfer() = default;
  HttpTransfer(const HttpTransfer&) = delete;
  HttpTransfer& operator=(const HttpTransfer&) = delete;
  ~HttpTransfer();

  // HTTP status of the response; zero if there was none.
  long Status() const;
  // Value of a field of the response's head; empty if there is none.
  std::string Field(const char* name) const;
  // Limits the whole transfer, including the connection setup.
  void SetTimeout(Duration timeout);
  // Sets the method and a JSON request body.
  void SetJson(const char* method, std::string body);
  // Closes the connection if the peer has been unreachable for `timeout`, even
  // while no data is in flight: TCP keepalive probes and TCP_USER_TIMEOUT.
  void EnableKeepAlive(std::chrono::seconds timeout);
  // Does not use a connection that was idle for longer than `time`.
  void SetMaxIdleTime(std::chrono::seconds time);
  // Uses no connection of earlier transfers.
  void UseNewConnection();
};

std::shared_ptr<HttpTransfer> MakeHttpTransfer(const std::string& url);

// Escapes `text` for use as one segment of a path or one value of a query.
std::string EscapeForUrl(const std::string& text);

// Runs HTTP transfers on the event loop.
class CurlDriver {
 public:
  // `max_connections` limits the pool of idle connections.
  CurlDriver(Loop& loop, long max_connections);
  ~CurlDriver();
  CurlDriver(const CurlDriver&) = delete;
  CurlDriver& operator=(const CurlDriver&) = delete;

  // Starts a transfer. `on_done` is called once after it has ended, in a later
  // iteration of the loop; the driver has then already removed the handle.
  void Add(CURL* easy, std::function<void(CURLcode)> on_done);
  // Cancels a transfer. Its `on_done` is not called unless the transfer has
  // already ended.
  void Remove(CURL* easy);

 private:
  static int OnSocket(CURL*, curl_socket_t fd, int what, void* self, void*);
  static int OnTimer(CURLM*, long timeout_ms, void* self);
  void RunSocketAction(curl_socket_t fd, int events);
  void FinishCompletedTransfers();

  Loop& loop_;
  CURLM* multi_;
  std::map<curl_socket_t, std::unique_ptr<Watch>> sockets_;
  std::unique_ptr<Watch> timer_;
  std::unordered_map<CURL*, std::function<void(CURLcode)>> transfers_;
  // False after destruction: callbacks posted before it then do nothing.
  std::shared_ptr<bool> alive_;
};

}  // namespace sassafras

#endif  // BASE_HTTP_CLIENT_H_
