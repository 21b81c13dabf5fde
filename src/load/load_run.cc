#include <arpa/inet.h>
#include <curl/curl.h>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <random>
#include <utility>

#include "base/http_client.h"
#include "load/load.h"

namespace sassafras {

namespace {

using Json = nlohmann::json;

constexpr long kMaxConnections = 4000;
constexpr long kHttpClientFault = 400;
constexpr Duration kSendPeriod = std::chrono::milliseconds(2);
constexpr Duration kDrainTimeout = std::chrono::seconds(20);
constexpr int kMaxLookupTries = 3;
constexpr long kLookupTimeoutMs = 2000;
// Time after the Request-Timeout at which the load generator itself gives up.
constexpr long kClientTimeoutMarginMs = 2000;

size_t Append(char* data, size_t size, size_t count, void* self) {
  static_cast<std::string*>(self)->append(data, size * count);
  return size * count;
}

struct Transfer {
  CURL* easy = curl_easy_init();
  curl_slist* headers = nullptr;
  std::string response;

  Transfer() = default;
  Transfer(const Transfer&) = delete;
  Transfer& operator=(const Transfer&) = delete;
  ~Transfer() {
    curl_slist_free_all(headers);
    curl_easy_cleanup(easy);
  }
};

// The answer to the last look-up of a caller.
struct CachedLookup {
  std::vector<std::pair<Address, int>> hosts;  // With weights.
  std::string key_prefix;
  Time expires_at;
};

class LoadGenerator {
 public:
  LoadGenerator(Loop& loop, const LoadPlan& plan)
      : loop_(loop),
        plan_(plan),
        driver_(loop, kMaxConnections),
        random_(plan.seed) {
    in_addr first{};
    inet_pton(AF_INET, plan.first_client_ip.c_str(), &first);
    first_ip_ = ntohl(first.s_addr);
    for (const LoadKind& it : plan.kinds)
      rows_.push_back(LoadRow{it.name, 0, 0, 0, 0, 0, 0, {}});
    max_body_bytes_ = 0;
    for (const LoadKind& it : plan.kinds)
      max_body_bytes_ = std::max(max_body_bytes_, it.body_bytes);
    body_.assign(max_body_bytes_, 'x');
    due_requests_.resize(plan.kinds.size());
  }

  std::vector<LoadRow> Run(
      const std::function<void(const std::vector<LoadRow>&)>& on_second) {
    start_ = loop_.Now();
    last_send_time_ = start_;
    auto send_timer = loop_.Every(kSendPeriod, [this] { SendDueRequests(); });
    auto progress =
        loop_.Every(std::chrono::seconds(1), [&] { on_second(rows_); });
    loop_.Run();
    return rows_;
  }

 private:
  void SendDueRequests() {
    const Time now = loop_.Now();
    const Time end = start_ + plan_.duration;
    if (now >= end) {
      if (open_ == 0 || now >= end + kDrainTimeout)
        loop_.Stop();
      return;
    }
    const double elapsed = Seconds(now - last_send_time_);
    last_send_time_ = now;
    for (size_t n = 0; n < plan_.kinds.size(); ++n) {
      due_requests_[n] += elapsed * plan_.kinds[n].requests_per_second;
      while (due_requests_[n] >= 1.0) {
        due_requests_[n] -= 1.0;
        if (open_ < plan_.max_open)
          StartRequest(n);
        else
          ++rows_[n].held_back;
      }
    }
  }

  std::string ClientIp(size_t caller) const {
    in_addr ip{};
    constexpr uint32_t kNetworkStep = 1 << 16;
    constexpr uint32_t kBlockStep = 1 << 8;
    const auto network = static_cast<uint32_t>(caller % plan_.networks);
    const auto block = static_cast<uint32_t>(caller / plan_.networks);
    ip.s_addr = htonl(first_ip_ + network * kNetworkStep + block * kBlockStep);
    char buf[INET_ADDRSTRLEN] = {};
    inet_ntop(AF_INET, &ip, buf, sizeof(buf));
    return buf;
  }

  void StartRequest(size_t kind) {
    const size_t caller = random_() % plan_.callers;
    ++rows_[kind].sent;
    ++open_;
    const auto it = cache_.find({plan_.kinds[kind].service, caller});
    if (it != cache_.end() && loop_.Now() < it->second.expires_at) {
      SendCall(kind, caller, it->second);
      return;
    }
    LookUp(kind, caller, kMaxLookupTries);
  }

  void LookUp(size_t kind, size_t caller, int tries) {
    const Address& entry = plan_.entries[random_() % plan_.entries.size()];
    const std::string& service = plan_.kinds[kind].service;
    auto transfer = MakeTransfer("http://" + entry.ToString() +
                                 "/v1/lookup?service=" + service +
                                 "&client=" + ClientIp(caller));
    curl_easy_setopt(transfer->easy, CURLOPT_TIMEOUT_MS, kLookupTimeoutMs);
    CURL* easy = transfer->easy;
    driver_.Add(easy, [=](CURLcode code) {
      CachedLookup cached;
      if (code == CURLE_OK && ReadLookup(transfer->response, cached)) {
        cache_[{service, caller}] = cached;
        SendCall(kind, caller, cached);
      } else if (tries > 1) {
        LookUp(kind, caller, tries - 1);
      } else {
        ++rows_[kind].broken;
        --open_;
      }
    });
  }

  bool ReadLookup(const std::string& text, CachedLookup& out) const {
    const Json json = Json::parse(text, nullptr, false);
    if (!json.is_object() || !json.contains("hosts"))
      return false;
    out.key_prefix = json.value("key_prefix", "");
    out.expires_at = loop_.Now() + std::chrono::seconds(json.value("ttl", 1));
    for (const Json& it : json["hosts"]) {
      const auto address = Address::Parse(it.value("address", ""));
      if (address)
        out.hosts.emplace_back(*address, it.value("weight", 1));
    }
    return !out.hosts.empty();
  }

  const Address& PickHost(const CachedLookup& cached) {
    int sum = 0;
    for (const auto& [address, weight] : cached.hosts)
      sum += weight;
    int at = static_cast<int>(random_() % static_cast<uint64_t>(sum));
    for (const auto& [address, weight] : cached.hosts) {
      at -= weight;
      if (at < 0)
        return address;
    }
    return cached.hosts.front().first;
  }

  void SendCall(size_t kind, size_t caller, const CachedLookup& cached) {
    const LoadKind& it = plan_.kinds[kind];
    // A different target for each request, as with many real callers.
    const std::string id = std::to_string(++next_id_);
    auto transfer =
        MakeTransfer("http://" + PickHost(cached).ToString() + "/v1/call/" +
                     it.service + it.path + "?n=" + id);
    CURL* easy = transfer->easy;
    const std::string caller_header =
        "Caller-Id: caller-" + std::to_string(caller);
    const std::string timeout_header =
        "Request-Timeout: " + std::to_string(it.timeout.count() / 1e3);
    transfer->headers = curl_slist_append(nullptr, caller_header.c_str());
    transfer->headers =
        curl_slist_append(transfer->headers, timeout_header.c_str());
    transfer->headers = curl_slist_append(transfer->headers, "Expect:");
    if (it.with_key) {
      const std::string key = "Idempotency-Key: " + cached.key_prefix + "load" +
                              std::to_string(plan_.seed) + "-" + id;
      transfer->headers = curl_slist_append(transfer->headers, key.c_str());
    }
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, transfer->headers);
    curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, it.method.c_str());
    if (it.body_bytes > 0) {
      curl_easy_setopt(easy, CURLOPT_POSTFIELDS, body_.c_str());
      curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE,
                       static_cast<long>(it.body_bytes));
    }
    curl_easy_setopt(
        easy, CURLOPT_TIMEOUT_MS,
        static_cast<long>(it.timeout.count() + kClientTimeoutMarginMs));
    const Time begun = loop_.Now();
    driver_.Add(easy, [=](CURLcode code) {
      --open_;
      Record(rows_[kind], *transfer, code, loop_.Now() - begun);
    });
  }

  static void Record(LoadRow& row,
                     const Transfer& transfer,
                     CURLcode code,
                     Duration latency) {
    long status = 0;
    curl_easy_getinfo(transfer.easy, CURLINFO_RESPONSE_CODE, &status);
    if (code != CURLE_OK || status == 0) {
      ++row.broken;
      return;
    }
    if (status < kHttpClientFault) {
      ++row.answered;
      row.latencies.push_back(latency);
      return;
    }
    const Json json = Json::parse(transfer.response, nullptr, false);
    const bool not_run = json.is_object() && json.value("ran", "") == "no";
    ++(not_run ? row.refused_not_run : row.refused_unknown);
  }

  std::shared_ptr<Transfer> MakeTransfer(const std::string& url) {
    auto transfer = std::make_shared<Transfer>();
    CURL* easy = transfer->easy;
    curl_easy_setopt(easy, CURLOPT_URL, url.c_str());
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &Append);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, &transfer->response);
    return transfer;
  }

  Loop& loop_;
  const LoadPlan& plan_;
  CurlDriver driver_;
  std::mt19937_64 random_;
  uint32_t first_ip_ = 0;
  std::vector<LoadRow> rows_;
  std::vector<double> due_requests_;
  size_t max_body_bytes_ = 0;
  std::string body_;
  std::map<std::pair<std::string, size_t>, CachedLookup> cache_;
  Time start_;
  Time last_send_time_;
  uint64_t next_id_ = 0;
  uint64_t open_ = 0;
};

}  // namespace

Duration Percentile(const LoadRow& row, double fraction) {
  if (row.latencies.empty())
    return Duration(0);
  std::vector<Duration> sorted = row.latencies;
  const auto n = static_cast<size_t>(
      std::floor(fraction * static_cast<double>(sorted.size() - 1)));
  std::nth_element(sorted.begin(),
                   sorted.begin() + static_cast<std::ptrdiff_t>(n),
                   sorted.end());
  return sorted[n];
}

std::vector<LoadRow> RunLoad(
    Loop& loop,
    const LoadPlan& plan,
    const std::function<void(const std::vector<LoadRow>&)>& on_second) {
  return LoadGenerator(loop, plan).Run(on_second);
}

std::string LoadTable(const std::vector<LoadRow>& rows) {
  std::string out;
  char buf[160];
  std::snprintf(buf, sizeof(buf), "%-10s %8s %8s %9s %8s %8s %7s %9s %9s\n",
                "kind", "sent", "held", "answered", "refused", "unknown",
                "broken", "p50 ms", "p99 ms");
  out += buf;
  for (const LoadRow& it : rows) {
    constexpr double kMsPerSecond = 1e3;
    std::snprintf(buf, sizeof(buf),
                  "%-10s %8lu %8lu %9lu %8lu %8lu %7lu %9.1f %9.1f\n",
                  it.name.c_str(), it.sent, it.held_back, it.answered,
                  it.refused_not_run, it.refused_unknown, it.broken,
                  Seconds(Percentile(it, 0.5)) * kMsPerSecond,
                  Seconds(Percentile(it, 0.99)) * kMsPerSecond);
    out += buf;
  }
  return out;
}

}  // namespace sassafras
