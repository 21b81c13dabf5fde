#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "base/http_client.h"
#include "base/http_status.h"
#include "base/lenient_json.h"
#include "base/log.h"
#include "store/store.h"

namespace sassafras {

namespace {

using Json = nlohmann::json;

constexpr long kMaxConnections = 16;
constexpr Duration kInitialBackoff = std::chrono::milliseconds(200);
constexpr Duration kMaxBackoff = std::chrono::seconds(3);
// Longest time of one watch request. The store then ends it and a new watch is
// opened.
constexpr std::chrono::seconds kMaxWatchTime{30};

StoreObject ParseObject(const Json& json) {
  StoreObject object;
  object.kind = json.at("kind").get<std::string>();
  const Json& metadata = json.at("metadata");
  object.name = metadata.at("name").get<std::string>();
  const auto revision = metadata.at("resourceVersion").get<std::string>();
  object.revision = std::stoull(revision);
  object.value = json.at("spec").dump();
  return object;
}

Json ParseBody(const std::string& body) {
  auto parsed = ParseLenientJson(body);
  if (!parsed)
    throw std::invalid_argument("body is not valid JSON");
  return std::move(parsed->value);
}

// Parses one object. A malformed object is logged and skipped, so that the
// other objects of a list are still read.
std::optional<StoreObject> TryParseObject(const Json& json) {
  try {
    return ParseObject(json);
  } catch (const std::exception& e) {
    LogLine(LogLevel::kWarning, "store", "Skipped a malformed object.")
        .With("reason", e.what());
    return std::nullopt;
  }
}

// Parses a response body that holds a list of objects or a single object.
std::vector<StoreObject> ParseObjects(const Json& json) {
  std::vector<StoreObject> out;
  if (!json.contains("items")) {
    out.push_back(ParseObject(json));
    return out;
  }
  for (const Json& it : json.at("items")) {
    if (auto object = TryParseObject(it))
      out.push_back(std::move(*object));
  }
  return out;
}

// False if the connection or the name resolution failed, so that the store
// cannot have received the call.
bool MayHaveArrived(CURLcode code) {
  return code != CURLE_COULDNT_CONNECT && code != CURLE_COULDNT_RESOLVE_HOST;
}

StoreReply ReplyOf(const HttpTransfer& transfer, CURLcode code, bool is_write) {
  StoreReply reply;
  const long status = transfer.Status();
  const StoreStatus lost =
      is_write ? StoreStatus::kUnknown : StoreStatus::kUnavailable;
  if (code != CURLE_OK) {
    reply.status = MayHaveArrived(code) ? lost : StoreStatus::kUnavailable;
    return reply;
  }
  if (status == kHttpNotFound) {
    reply.status = StoreStatus::kNotFound;
    return reply;
  }
  if (status == kHttpTooManyRequests) {
    reply.status = StoreStatus::kUnavailable;
    return reply;
  }
  if (status != kHttpOk && status != kHttpCreated && status != kHttpConflict) {
    reply.status = lost;
    return reply;
  }
  try {
    if (!transfer.response.empty())
      reply.objects = ParseObjects(ParseBody(transfer.response));
    reply.status =
        status == kHttpConflict ? StoreStatus::kConflict : StoreStatus::kOk;
  } catch (const std::exception&) {
    reply.status = lost;
    reply.objects.clear();
  }
  return reply;
}

class StoreClient;

// Follows the objects of one kind: reads the list, then watches for changes.
// After an error it starts again with the list, with exponential backoff.
class Follower : public Watch, public std::enable_shared_from_this<Follower> {
 public:
  using OnChange = std::function<void(StoreChange)>;

  Follower(StoreClient& client, Loop& loop, std::string kind, OnChange fn)
      : client_(client),
        loop_(loop),
        kind_(std::move(kind)),
        on_change_(std::move(fn)) {}
  ~Follower() override;

  void ReadList();

 private:
  void HandleList(const std::string& body);
  void StartWatch();
  void HandleData(std::string_view data);
  void HandleLine(const std::string& line);
  void RetryLater();

  StoreClient& client_;
  Loop& loop_;
  std::string kind_;
  OnChange on_change_;
  uint64_t revision_ = 0;
  std::string buffer_;
  bool has_malformed_event_ = false;
  std::shared_ptr<HttpTransfer> transfer_;
  std::unique_ptr<Watch> retry_timer_;
  Duration next_backoff_ = kInitialBackoff;
};

class StoreClient : public Store {
 public:
  StoreClient(Loop& loop,
              const Address& address,
              std::chrono::milliseconds timeout)
      : loop_(loop),
        driver_(loop, kMaxConnections),
        base_url_("http://" + address.ToString() + "/v1/objects/"),
        timeout_(timeout) {}

  void Get(const StoreGet& get, Done done) override {
    Read(get.kind + "/" + EscapeForUrl(get.name), timeout_, std::move(done));
  }

  void List(const StoreList& list, Done done) override {
    Read(list.kind, list.timeout > Duration(0) ? list.timeout : timeout_,
         std::move(done));
  }

  void PutIf(const StorePut& put, Done done) override {
    auto transfer =
        MakeHttpTransfer(base_url_ + put.kind + "/" + EscapeForUrl(put.name));
    Json body = {
        {"kind", put.kind},
        {"metadata",
         {{"name", put.name},
          {"resourceVersion", std::to_string(put.expected_revision)}}}};
    body["spec"] = Json::parse(put.value, nullptr, false);
    transfer->SetJson("PUT", body.dump());
    Start(std::move(transfer), timeout_, true, std::move(done));
  }

  std::unique_ptr<Watch> Follow(
      const std::string& kind,
      const StorePosition& from,
      std::function<void(StoreChange)> on_change) override;

  CurlDriver& driver() { return driver_; }
  const std::string& base_url() const { return base_url_; }
  std::chrono::milliseconds timeout() const { return timeout_; }

 private:
  void Read(const std::string& path, Duration timeout, Done done) {
    Start(MakeHttpTransfer(base_url_ + path), timeout, false, std::move(done));
  }

  void Start(std::shared_ptr<HttpTransfer> transfer,
             Duration timeout,
             bool is_write,
             Done done) {
    transfer->SetTimeout(timeout);
    CURL* easy = transfer->easy;
    driver_.Add(easy, [transfer = std::move(transfer), is_write,
                       done = std::move(done)](CURLcode code) {
      done(ReplyOf(*transfer, code, is_write));
    });
  }

  Loop& loop_;
  CurlDriver driver_;
  std::string base_url_;
  std::chrono::milliseconds timeout_;
};

Follower::~Follower() {
  if (transfer_)
    client_.driver().Remove(transfer_->easy);
}

void Follower::ReadList() {
  retry_timer_.reset();
  transfer_ = MakeHttpTransfer(client_.base_url() + kind_);
  transfer_->SetTimeout(client_.timeout());
  client_.driver().Add(transfer_->easy,
                       [weak = weak_from_this()](CURLcode code) {
                         const auto self = weak.lock();
                         if (!self)
                           return;
                         const auto transfer = std::move(self->transfer_);
                         if (code != CURLE_OK || transfer->Status() != kHttpOk)
                           self->RetryLater();
                         else
                           self->HandleList(transfer->response);
                       });
}

void Follower::HandleList(const std::string& body) {
  try {
    const Json json = ParseBody(body);
    const auto revision =
        json.at("metadata").at("resourceVersion").get<std::string>();
    revision_ = std::stoull(revision);
    on_change_({ParseObjects(json), true, {0, revision_}});
  } catch (const std::exception& e) {
    LogLine(LogLevel::kWarning, "store", "Store sent a malformed list.")
        .With("kind", kind_)
        .With("reason", e.what());
    RetryLater();
    return;
  }
  next_backoff_ = kInitialBackoff;
  StartWatch();
}

void Follower::StartWatch() {
  buffer_.clear();
  has_malformed_event_ = false;
  transfer_ = MakeHttpTransfer(
      client_.base_url() + kind_ +
      "?watch=1&resourceVersion=" + std::to_string(revision_) +
      "&timeoutSeconds=" + std::to_string(kMaxWatchTime.count()));
  constexpr std::chrono::seconds kTimeoutMargin(5);
  transfer_->SetTimeout(kMaxWatchTime + kTimeoutMargin);
  transfer_->on_data = [this](std::string_view data) { HandleData(data); };
  client_.driver().Add(transfer_->easy, [weak =
                                             weak_from_this()](CURLcode code) {
    const auto self = weak.lock();
    if (!self)
      return;
    const auto transfer = std::move(self->transfer_);
    const bool ended_well = code == CURLE_OK && transfer->Status() == kHttpOk &&
                            !self->has_malformed_event_;
    // 410 Gone: the store no longer has the changes since `revision_`, so
    // the list is read again at once. Other errors wait before the list.
    if (ended_well)
      self->StartWatch();
    else if (transfer->Status() == kHttpGone)
      self->ReadList();
    else
      self->RetryLater();
  });
}

void Follower::HandleData(std::string_view data) {
  buffer_.append(data);
  size_t start = 0;
  for (size_t end = buffer_.find('\n', start); end != std::string::npos;
       end = buffer_.find('\n', start)) {
    HandleLine(buffer_.substr(start, end - start));
    start = end + 1;
  }
  buffer_.erase(0, start);
}

void Follower::HandleLine(const std::string& line) {
  if (line.empty())
    return;
  try {
    const Json json = ParseBody(line);
    if (!json.contains("object"))
      return;
    auto object = TryParseObject(json.at("object"));
    if (!object)
      return;
    revision_ = std::max(revision_, object->revision);
    StoreChange change;
    change.as_of = {0, revision_};
    change.objects.push_back(std::move(*object));
    loop_.Post([weak = weak_from_this(), change = std::move(change)] {
      if (const auto self = weak.lock())
        self->on_change_(change);
    });
  } catch (const std::exception& e) {
    LogLine(LogLevel::kWarning, "store", "Store sent a malformed watch event.")
        .With("kind", kind_)
        .With("reason", e.what());
    has_malformed_event_ = true;
  }
}

void Follower::RetryLater() {
  const Duration backoff = next_backoff_;
  next_backoff_ = std::min(next_backoff_ * 2, kMaxBackoff);
  retry_timer_ = loop_.After(backoff, [weak = weak_from_this()] {
    if (const auto self = weak.lock())
      self->ReadList();
  });
}

// The Watch that Follow() returns; ends the follower when it is destroyed.
class FollowHandle : public Watch {
 public:
  explicit FollowHandle(std::shared_ptr<Follower> follower)
      : follower_(std::move(follower)) {}

 private:
  std::shared_ptr<Follower> follower_;
};

std::unique_ptr<Watch> StoreClient::Follow(
    const std::string& kind,
    const StorePosition& /*from*/,
    std::function<void(StoreChange)> on_change) {
  auto follower =
      std::make_shared<Follower>(*this, loop_, kind, std::move(on_change));
  follower->ReadList();
  return std::make_unique<FollowHandle>(std::move(follower));
}

}  // namespace

std::unique_ptr<Store> ConnectStore(Loop& loop,
                                    const Address& address,
                                    std::chrono::milliseconds timeout) {
  return std::make_unique<StoreClient>(loop, address, timeout);
}

}  // namespace sassafras
