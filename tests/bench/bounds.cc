#include "bench/bounds.h"

#include <toml++/toml.h>

#include <cstdio>
#include <cstdlib>

namespace sassafras {

struct Bounds::Impl {
  toml::table table;
};

Bounds::Bounds(const std::string& file) : impl_(new Impl) {
  try {
    impl_->table = toml::parse_file(file);
  } catch (const toml::parse_error& e) {
    std::fprintf(stderr, "%s: %s\n", file.c_str(),
                 std::string(e.description()).c_str());
    std::exit(1);
  }
}

Bounds::~Bounds() {
  delete impl_;
}

void Bounds::Check(const std::string& name, double measured) {
  const auto bound = impl_->table.at_path(name).value<double>();
  if (!bound) {
    std::printf("BREACH %s: no such bound\n", name.c_str());
    ++breaches_;
    return;
  }
  constexpr char kMax[] = "_max";
  const bool is_max =
      name.size() >= 4 && name.compare(name.size() - 4, 4, kMax) == 0;
  const bool holds = is_max ? measured <= *bound : measured >= *bound;
  std::printf("%s %s: measured %.4g, bound %.4g\n", holds ? "ok" : "BREACH",
              name.c_str(), measured, *bound);
  breaches_ += holds ? 0 : 1;
}

}  // namespace sassafras
