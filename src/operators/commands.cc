#include <curl/curl.h>

#include <iostream>

#include "base/http_status.h"
#include "operators/operators.h"

namespace sassafras {

namespace {

constexpr long kTimeoutSeconds = 10;

size_t Append(char* data, size_t size, size_t count, void* self) {
  static_cast<std::string*>(self)->append(data, size * count);
  return size * count;
}

// Prints the response body of a GET request.
int PrintUrl(const std::string& url) {
  CURL* easy = curl_easy_init();
  std::string body;
  curl_easy_setopt(easy, CURLOPT_URL, url.c_str());
  curl_easy_setopt(easy, CURLOPT_PROXY, "");
  curl_easy_setopt(easy, CURLOPT_TIMEOUT, kTimeoutSeconds);
  curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &Append);
  curl_easy_setopt(easy, CURLOPT_WRITEDATA, &body);
  const CURLcode code = curl_easy_perform(easy);
  long status = 0;
  curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
  curl_easy_cleanup(easy);
  if (code != CURLE_OK) {
    std::cerr << "GET " << url << " failed: " << curl_easy_strerror(code)
              << '\n';
    return kExitFailed;
  }
  std::cout << body << '\n';
  return status == kHttpOk ? kExitOk : kExitFailed;
}

}  // namespace

int RunSettingsCheck(const std::string& file) {
  const SettingsReadResult reading = ReadSettings(file);
  for (const SettingsError& it : reading.errors)
    std::cerr << it.ToString() << '\n';
  if (!reading.errors.empty())
    return kExitBadSettings;
  std::cout << file << ": ok\n";
  return kExitOk;
}

int RunLookup(const std::string& entry,
              const std::string& service,
              const std::string& client) {
  return PrintUrl("http://" + entry + "/v1/lookup?service=" + service +
                  "&client=" + client);
}

int RunState(const std::string& address, const std::string& part) {
  std::string url = "http://" + address + "/state";
  if (!part.empty())
    url += "?part=" + part;
  return PrintUrl(url);
}

}  // namespace sassafras
