// Strong types for identifiers and counters.
//
// An identifier of one kind does not convert to another kind, so that a host
// name cannot be passed where a zone name is expected.
#ifndef BASE_IDS_H_
#define BASE_IDS_H_

#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace sassafras {

// An identifier of kind `Tag`, stored as text.
template <typename Tag>
class Id {
 public:
  Id() = default;
  explicit Id(std::string value) : value_(std::move(value)) {}

  const std::string& value() const { return value_; }
  bool empty() const { return value_.empty(); }
  explicit operator std::string() const { return value_; }

  friend bool operator==(const Id& a, const Id& b) {
    return a.value_ == b.value_;
  }
  friend bool operator!=(const Id& a, const Id& b) { return !(a == b); }
  friend bool operator<(const Id& a, const Id& b) {
    return a.value_ < b.value_;
  }
  friend std::ostream& operator<<(std::ostream& os, const Id& id) {
    return os << id.value_;
  }

  template <typename Json>
  friend void to_json(Json& j, const Id& id) {
    j = id.value_;
  }
  template <typename Json>
  friend void from_json(const Json& j, Id& id) {
    id.value_ = j.template get<std::string>();
  }

 private:
  std::string value_;
};

// A counter of kind `Tag`.
template <typename Tag>
class Counter {
 public:
  constexpr Counter() = default;
  constexpr explicit Counter(uint64_t value) : value_(value) {}

  constexpr uint64_t value() const { return value_; }
  constexpr Counter Next() const { return Counter(value_ + 1); }

  friend constexpr bool operator==(Counter a, Counter b) {
    return a.value_ == b.value_;
  }
  friend constexpr bool operator!=(Counter a, Counter b) { return !(a == b); }
  friend constexpr bool operator<(Counter a, Counter b) {
    return a.value_ < b.value_;
  }
  friend constexpr bool operator<=(Counter a, Counter b) { return !(b < a); }
  friend constexpr bool operator>(Counter a, Counter b) { return b < a; }
  friend constexpr bool operator>=(Counter a, Counter b) { return !(a < b); }
  friend std::ostream& operator<<(std::ostream& os, Counter c) {
    return os << c.value_;
  }

  template <typename Json>
  friend void to_json(Json& j, const Counter& c) {
    j = c.value_;
  }
  template <typename Json>
  friend void from_json(const Json& j, Counter& c) {
    c.value_ = j.template get<uint64_t>();
  }

 private:
  uint64_t value_ = 0;
};

using HostId = Id<struct HostTag>;
using ZoneId = Id<struct ZoneTag>;
using RegionId = Id<struct RegionTag>;
using ServiceId = Id<struct ServiceTag>;
using EndpointId = Id<struct EndpointTag>;
using CallerId = Id<struct CallerTag>;
// One crash of an endpoint. Connections that break before the endpoint has
// answered again belong to the same crash.
using DeathId = Id<struct DeathTag>;
// An idempotency key as the caller sent it.
using RequestKey = Id<struct RequestKeyTag>;

// Revision number of a document; counts its accepted changes.
using Version = Counter<struct VersionTag>;
// View number of a key shard; increases with every change of the hosts that
// hold the shard.
using ViewNumber = Counter<struct ViewNumberTag>;
// Increases each time the records of a key shard are lost.
using Generation = Counter<struct GenerationTag>;
// Number that the receiving host gives to a request; unique from one start of
// the host to the next.
using ExchangeId = Counter<struct ExchangeTag>;
// Hash of a request's route, caller and body.
using Fingerprint = Counter<struct FingerprintTag>;

}  // namespace sassafras

namespace std {
template <typename Tag>
struct hash<sassafras::Id<Tag>> {
  size_t operator()(const sassafras::Id<Tag>& id) const {
    return hash<string>()(id.value());
  }
};
template <typename Tag>
struct hash<sassafras::Counter<Tag>> {
  size_t operator()(sassafras::Counter<Tag> c) const {
    return hash<uint64_t>()(c.value());
  }
};
}  // namespace std

#endif  // BASE_IDS_H_
