// Positions in the history of the store.
//
// A store that comes back from an older copy gives out again revisions that it
// had given out before. It begins a new era then. A position of a later era is
// newer than any of an earlier one, whatever their revisions.
#ifndef DECISIONS_STORE_POSITION_H_
#define DECISIONS_STORE_POSITION_H_

#include <cstdint>
#include <ostream>
#include <tuple>

namespace sassafras {

class StorePosition {
 public:
  // Unknown: older than any other position.
  StorePosition() = default;
  // A store without eras is in era zero.
  StorePosition(uint64_t era, uint64_t revision)
      : era_(era), revision_(revision) {}

  uint64_t era() const { return era_; }
  // Zero: unknown within the era.
  uint64_t revision() const { return revision_; }
  bool is_known() const { return revision_ > 0; }

  friend bool operator==(const StorePosition& a, const StorePosition& b) {
    return a.Order() == b.Order();
  }
  friend bool operator!=(const StorePosition& a, const StorePosition& b) {
    return a.Order() != b.Order();
  }
  friend bool operator<(const StorePosition& a, const StorePosition& b) {
    return a.Order() < b.Order();
  }
  friend bool operator>(const StorePosition& a, const StorePosition& b) {
    return b < a;
  }
  friend bool operator<=(const StorePosition& a, const StorePosition& b) {
    return !(b < a);
  }
  friend bool operator>=(const StorePosition& a, const StorePosition& b) {
    return !(a < b);
  }
  friend std::ostream& operator<<(std::ostream& os, const StorePosition& it) {
    return os << it.era_ << ':' << it.revision_;
  }

 private:
  std::tuple<uint64_t, uint64_t> Order() const { return {era_, revision_}; }

  uint64_t era_ = 0;
  uint64_t revision_ = 0;
};

}  // namespace sassafras

#endif  // DECISIONS_STORE_POSITION_H_
