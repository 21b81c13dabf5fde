// An HTTP/1.1 server on the event loop, on libmicrohttpd. Bodies stream both
// ways with back-pressure.
#ifndef BASE_HTTP_SERVER_H_
#define BASE_HTTP_SERVER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "base/address.h"
#include "base/byte_pipe.h"
#include "base/error.h"
#include "base/loop.h"

namespace sassafras {

using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

// One request of a client and its answer. Lives as long as the connection
// serves it and as long as others hold it.
class HttpSession {
 public:
  virtual ~HttpSession() = default;

  virtual const std::string& method() const = 0;
  // Path with its query, as the client sent it.
  virtual const std::string& target() const = 0;
  virtual const std::string& path() const = 0;
  // Value of a query argument, or nothing.
  virtual std::optional<std::string> Argument(
      const std::string& name) const = 0;
  virtual std::optional<std::string> Header(const std::string& name) const = 0;
  virtual HttpHeaders Headers() const = 0;
  virtual std::string client_ip() const = 0;
  virtual bool has_body() const = 0;
  // Length of the body if the client announced one.
  virtual std::optional<uint64_t> content_length() const = 0;

  // Reads the whole body, up to `limit` bytes, then calls `done(body)`;
  // nothing if the body is longer.
  virtual void ReadBody(
      size_t limit,
      std::function<void(std::optional<std::string>)> done) = 0;
  // Starts reading the body into the pipe that is returned. At most `limit`
  // bytes are taken; more abort the pipe.
  virtual std::shared_ptr<BytePipe> StreamBody(size_t buffer_bytes,
                                               uint64_t limit) = 0;

  // Answers in one piece.
  virtual void Respond(int status,
                       const HttpHeaders& headers,
                       std::string body) = 0;
  // Answers with a body that is read from `body` until its end. An aborted
  // pipe cuts the connection, so that the client sees the break.
  virtual void RespondStream(int status,
                             const HttpHeaders& headers,
                             std::optional<uint64_t> length,
                             std::shared_ptr<BytePipe> body) = 0;
  // Cuts the connection without an answer.
  virtual void AbortConnection() = 0;
  // Called when the client goes away before it has the whole answer.
  virtual void set_on_disconnect(std::function<void()> fn) = 0;
};

struct HttpServerConfig {
  Address listen;
  unsigned max_connections = 1000;
  std::chrono::seconds idle_timeout{60};
};

class HttpServer {
 public:
  // Called when the headers of a request have arrived. The handler must in
  // the end call Respond(), RespondStream() or Cut().
  using OnRequest = std::function<void(std::shared_ptr<HttpSession>)>;

  virtual ~HttpServer() = default;
};

Result<std::unique_ptr<HttpServer>> StartHttpServer(
    Loop& loop,
    const HttpServerConfig& config,
    HttpServer::OnRequest on_request);

}  // namespace sassafras

#endif  // BASE_HTTP_SERVER_H_
