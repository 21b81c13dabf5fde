#include <curl/curl.h>
#include <strings.h>

#include <charconv>
#include <string_view>
#include <unordered_map>

#include "base/http_client.h"
#include "base/http_fields.h"
#include "base/http_status.h"
#include "endpoints/endpoints.h"

namespace sassafras {

namespace {

constexpr long kMaxPooledConnections = 2000;
constexpr char kExchangeHeader[] = "Sassafras-Exchange";
constexpr std::string_view kProtocolName = "HTTP/";
constexpr size_t kStatusDigits = 3;

bool SameName(std::string_view a, std::string_view b) {
  return a.size() == b.size() && strncasecmp(a.data(), b.data(), a.size()) == 0;
}

std::string_view TrimLine(std::string_view text) {
  constexpr std::string_view kSpace = " \t\r\n";
  const size_t first = text.find_first_not_of(kSpace);
  if (first == std::string_view::npos)
    return {};
  return text.substr(first, text.find_last_not_of(kSpace) - first + 1);
}

// Whether the status line has three digits that are a status.
bool HasHttpStatus(std::string_view status_line) {
  const size_t at = status_line.find(' ');
  if (at == std::string_view::npos)
    return false;
  const std::string_view rest = status_line.substr(at + 1);
  const std::string_view digits = rest.substr(0, rest.find(' '));
  int status = 0;
  const auto [end, ec] =
      std::from_chars(digits.data(), digits.data() + digits.size(), status);
  return ec == std::errc() && end == digits.data() + digits.size() &&
         digits.size() == kStatusDigits && IsHttpStatus(status);
}

class CurlEndpointClient;

// One request to an endpoint and its answer. CurlEndpointClient and the
// callback in CurlDriver own it until the transfer ends.
class EndpointTransfer : public std::enable_shared_from_this<EndpointTransfer> {
 public:
  EndpointTransfer(CurlEndpointClient& client,
                   Loop& loop,
                   EndpointRequest request,
                   EndpointClient::OnHead on_head,
                   EndpointClient::OnEnd on_end)
      : client_(client),
        loop_(loop),
        request_(std::move(request)),
        on_head_(std::move(on_head)),
        on_end_(std::move(on_end)) {}
  ~EndpointTransfer();

  void Prepare();
  CURL* easy() const { return easy_; }
  void OnDone(CURLcode code);
  void OnCancelled();

 private:
  static size_t OnRead(char* out, size_t size, size_t count, void* self);
  static size_t OnHeader(char* data, size_t size, size_t count, void* self);
  static size_t OnWrite(char* data, size_t size, size_t count, void* self);
  static int OnBeforeRequest(void* self, char*, char*, int, int);

  size_t ReadBody(char* out, size_t size);
  bool HandleHeader(std::string_view line);
  void HandleField(std::string_view name, std::string_view value);
  size_t HandleBody(const char* data, size_t size);
  void SetBody();
  void FinishHead();
  void Unpause();
  bool IsShed() const;
  SlotOutcome OutcomeOf(CURLcode code) const;

  CurlEndpointClient& client_;
  Loop& loop_;
  EndpointRequest request_;
  EndpointClient::OnHead on_head_;
  EndpointClient::OnEnd on_end_;
  CURL* easy_ = curl_easy_init();
  curl_slist* headers_ = nullptr;
  size_t whole_body_sent_ = 0;
  int send_attempts_ = 0;  // Times that libcurl was about to send the request.
  bool done_ = false;
  bool paused_ = false;
  bool unpause_posted_ = false;
  bool head_delivered_ = false;
  bool wrong_exchange_ = false;
  bool has_shed_header_ = false;
  bool forwards_last_field_ = false;  // It is the last one of `answer_`.
  EndpointAnswer answer_;
  EndpointResult result_;
  bool keeps_answer_ = true;
};

class CurlEndpointClient : public EndpointClient {
 public:
  explicit CurlEndpointClient(Loop& loop)
      : loop_(loop), driver_(loop, kMaxPooledConnections) {}

  void Send(EndpointRequest request, OnHead on_head, OnEnd on_end) override {
    const ExchangeId exchange = request.exchange;
    auto it = std::make_shared<EndpointTransfer>(
        *this, loop_, std::move(request), std::move(on_head),
        std::move(on_end));
    transfers_[exchange] = it;
    it->Prepare();
    driver_.Add(it->easy(), [this, it, exchange](CURLcode code) {
      transfers_.erase(exchange);
      it->OnDone(code);
    });
  }

  void Cancel(ExchangeId exchange) override {
    const auto it = transfers_.find(exchange);
    if (it == transfers_.end())
      return;
    const auto transfer = it->second;
    transfers_.erase(it);
    driver_.Remove(transfer->easy());
    transfer->OnCancelled();
  }

 private:
  Loop& loop_;
  CurlDriver driver_;
  std::unordered_map<ExchangeId, std::shared_ptr<EndpointTransfer>> transfers_;
};

EndpointTransfer::~EndpointTransfer() {
  curl_slist_free_all(headers_);
  curl_easy_cleanup(easy_);
}

void EndpointTransfer::Prepare() {
  const std::string url =
      "http://" + request_.address.ToString() + request_.target;
  curl_easy_setopt(easy_, CURLOPT_URL, url.c_str());
  curl_easy_setopt(easy_, CURLOPT_PATH_AS_IS, 1L);
  curl_easy_setopt(easy_, CURLOPT_PROXY, "");
  curl_easy_setopt(easy_, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(easy_, CURLOPT_CUSTOMREQUEST, request_.method.c_str());
  if (request_.method == "HEAD")
    curl_easy_setopt(easy_, CURLOPT_NOBODY, 1L);
  const int64_t ms = std::max<int64_t>(1, Millis(request_.timeout));
  curl_easy_setopt(easy_, CURLOPT_TIMEOUT_MS, static_cast<long>(ms));
  for (const auto& [name, value] : request_.headers) {
    std::string line = name;
    line += ": ";
    line += value;
    headers_ = curl_slist_append(headers_, line.c_str());
  }
  const std::string id = std::string(kExchangeHeader) + ": " +
                         std::to_string(request_.exchange.value());
  headers_ = curl_slist_append(headers_, id.c_str());
  SetBody();
  curl_easy_setopt(easy_, CURLOPT_HTTPHEADER, headers_);
  curl_easy_setopt(easy_, CURLOPT_HEADERFUNCTION, &EndpointTransfer::OnHeader);
  curl_easy_setopt(easy_, CURLOPT_HEADERDATA, this);
  curl_easy_setopt(easy_, CURLOPT_WRITEFUNCTION, &EndpointTransfer::OnWrite);
  curl_easy_setopt(easy_, CURLOPT_WRITEDATA, this);
  curl_easy_setopt(easy_, CURLOPT_PREREQFUNCTION,
                   &EndpointTransfer::OnBeforeRequest);
  curl_easy_setopt(easy_, CURLOPT_PREREQDATA, this);
}

void EndpointTransfer::SetBody() {
  const bool streamed = request_.body != nullptr;
  if (!streamed && request_.whole_body.empty())
    return;
  curl_easy_setopt(easy_, CURLOPT_UPLOAD, 1L);
  curl_easy_setopt(easy_, CURLOPT_READFUNCTION, &EndpointTransfer::OnRead);
  curl_easy_setopt(easy_, CURLOPT_READDATA, this);
  headers_ = curl_slist_append(headers_, "Expect:");
  if (!streamed) {
    curl_easy_setopt(easy_, CURLOPT_INFILESIZE_LARGE,
                     static_cast<curl_off_t>(request_.whole_body.size()));
    return;
  }
  if (request_.body_length) {
    curl_easy_setopt(easy_, CURLOPT_INFILESIZE_LARGE,
                     static_cast<curl_off_t>(*request_.body_length));
  } else {
    headers_ = curl_slist_append(headers_, "Transfer-Encoding: chunked");
  }
  request_.body->set_on_data([weak = weak_from_this()] {
    if (const auto self = weak.lock())
      self->Unpause();
  });
}

// libcurl calls this after it has a connection and before it sends the request.
// A second call is a resend of a request that the endpoint may have received,
// so it aborts the transfer.
int EndpointTransfer::OnBeforeRequest(void* self, char*, char*, int, int) {
  auto* it = static_cast<EndpointTransfer*>(self);
  ++it->send_attempts_;
  return it->send_attempts_ == 1 ? CURL_PREREQFUNC_OK : CURL_PREREQFUNC_ABORT;
}

size_t EndpointTransfer::OnRead(char* out,
                                size_t size,
                                size_t count,
                                void* self) {
  return static_cast<EndpointTransfer*>(self)->ReadBody(out, size * count);
}

size_t EndpointTransfer::ReadBody(char* out, size_t size) {
  if (!request_.body) {
    const size_t n = request_.whole_body.copy(out, size, whole_body_sent_);
    whole_body_sent_ += n;
    return n;
  }
  BytePipe& body = *request_.body;
  if (body.is_aborted())
    return CURL_READFUNC_ABORT;
  const size_t n = body.Read(out, size);
  if (n > 0) {
    result_.body_consumed = true;
    return n;
  }
  if (body.is_ended())
    return 0;
  paused_ = true;
  return CURL_READFUNC_PAUSE;
}

size_t EndpointTransfer::OnHeader(char* data,
                                  size_t size,
                                  size_t count,
                                  void* self) {
  // Any other result than the size ends the transfer.
  return static_cast<EndpointTransfer*>(self)->HandleHeader(
             {data, size * count})
             ? size * count
             : 0;
}

// Handles a line of a head or a trailer. Returns false if it is malformed;
// libcurl accepts most lines.
bool EndpointTransfer::HandleHeader(std::string_view line) {
  const bool is_continuation =
      !line.empty() && (line.front() == ' ' || line.front() == '\t');
  line = TrimLine(line);
  if (line.substr(0, kProtocolName.size()) == kProtocolName) {
    answer_ = EndpointAnswer();
    has_shed_header_ = false;
    forwards_last_field_ = false;
    return HasHttpStatus(line);
  }
  if (line.empty())
    return true;
  if (is_continuation) {
    if (forwards_last_field_)
      answer_.headers.back().second.append(" ").append(line);
    return IsFieldValue(line);
  }
  const size_t colon = line.find(':');
  if (colon == std::string_view::npos || !IsFieldName(line.substr(0, colon)))
    return false;
  const std::string_view value = TrimLine(line.substr(colon + 1));
  if (!IsFieldValue(value))
    return false;
  HandleField(line.substr(0, colon), value);
  return true;
}

void EndpointTransfer::HandleField(std::string_view name,
                                   std::string_view value) {
  forwards_last_field_ = !SameName(name, kExchangeHeader);
  if (!forwards_last_field_) {
    wrong_exchange_ = value != std::to_string(request_.exchange.value());
    return;
  }
  if (SameName(name, "Content-Length")) {
    uint64_t n = 0;
    if (std::from_chars(value.begin(), value.end(), n).ec == std::errc())
      answer_.length = n;
  }
  has_shed_header_ = has_shed_header_ || (!request_.shed_header.empty() &&
                                          SameName(name, request_.shed_header));
  answer_.headers.emplace_back(name, value);
}

bool EndpointTransfer::IsShed() const {
  return answer_.status == kHttpServiceUnavailable && has_shed_header_;
}

size_t EndpointTransfer::OnWrite(char* data,
                                 size_t size,
                                 size_t count,
                                 void* self) {
  return static_cast<EndpointTransfer*>(self)->HandleBody(data, size * count);
}

size_t EndpointTransfer::HandleBody(const char* data, size_t size) {
  FinishHead();
  if (wrong_exchange_)
    return 0;  // The answer is for another request; fails the transfer.
  if (IsShed())
    return size;
  if (answer_.body->is_aborted())
    return 0;
  if (answer_.body->is_full()) {
    paused_ = true;
    return CURL_WRITEFUNC_PAUSE;
  }
  answer_.body->WriteAll(data, size);
  if (keeps_answer_ &&
      result_.answer.body.size() + size <= request_.keep_bytes) {
    result_.answer.body.append(data, size);
  } else {
    keeps_answer_ = false;
    result_.answer.body.clear();
  }
  return size;
}

// Calls `on_head_` once. Not called for an answer to another request or for one
// that states that the request was not run.
void EndpointTransfer::FinishHead() {
  if (head_delivered_ || wrong_exchange_)
    return;
  long status = 0;
  curl_easy_getinfo(easy_, CURLINFO_RESPONSE_CODE, &status);
  answer_.status = static_cast<int>(status);
  if (IsShed())
    return;
  head_delivered_ = true;
  answer_.body = std::make_shared<BytePipe>(request_.buffer_bytes);
  answer_.body->set_on_space([weak = weak_from_this()] {
    if (const auto self = weak.lock())
      self->Unpause();
  });
  on_head_(answer_);
}

// Resumes the transfer in a later iteration of the event loop, because
// curl_easy_pause() must not run inside a callback of libcurl.
void EndpointTransfer::Unpause() {
  if (unpause_posted_ || done_)
    return;
  unpause_posted_ = true;
  loop_.Post([weak = weak_from_this()] {
    const auto self = weak.lock();
    if (!self)
      return;
    self->unpause_posted_ = false;
    if (self->done_ || !self->paused_)
      return;
    self->paused_ = false;
    curl_easy_pause(self->easy_, CURLPAUSE_CONT);
  });
}

SlotOutcome EndpointTransfer::OutcomeOf(CURLcode code) const {
  if (code == CURLE_OK && !wrong_exchange_ && answer_.status >= kHttpOk) {
    if (IsShed())
      return SlotOutcome::kShed;
    return answer_.status >= kHttpInternalServerError ? SlotOutcome::kFailed
                                                      : SlotOutcome::kAnswered;
  }
  if (send_attempts_ == 0)
    return SlotOutcome::kConnectFailed;
  if (code == CURLE_OPERATION_TIMEDOUT)
    return SlotOutcome::kTimedOut;
  // If the caller disconnected while its body or the answer was transferred,
  // the failure does not count against the endpoint.
  const bool caller_left = (request_.body && request_.body->is_aborted()) ||
                           (answer_.body && answer_.body->is_aborted());
  return caller_left ? SlotOutcome::kCancelled : SlotOutcome::kBroken;
}

void EndpointTransfer::OnDone(CURLcode code) {
  if (code == CURLE_OK)
    FinishHead();
  done_ = true;
  if (request_.body)
    request_.body->set_on_data(nullptr);
  result_.outcome = OutcomeOf(code);
  result_.answer_begun = head_delivered_;
  const bool whole = result_.outcome == SlotOutcome::kAnswered ||
                     result_.outcome == SlotOutcome::kFailed;
  if (head_delivered_) {
    if (whole)
      answer_.body->End();
    else
      answer_.body->Abort();
  }
  result_.answer_kept = whole && keeps_answer_;
  result_.answer.status = answer_.status;
  for (const auto& [name, value] : answer_.headers) {
    if (SameName(name, "Content-Type"))
      result_.answer.content_type = value;
  }
  on_end_(std::move(result_));
}

void EndpointTransfer::OnCancelled() {
  done_ = true;
  if (request_.body) {
    request_.body->set_on_data(nullptr);
    request_.body->Abort();
  }
  if (head_delivered_)
    answer_.body->Abort();
}

}  // namespace

std::unique_ptr<EndpointClient> MakeEndpointClient(Loop& loop) {
  return std::make_unique<CurlEndpointClient>(loop);
}

}  // namespace sassafras
