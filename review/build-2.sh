#!/bin/sh
# Builds the stand-ins of cases 6 to 10 into review/bin/2.
set -eu
cd "$(dirname "$0")"
mkdir -p bin/2
for name in standins-2/case*.cc; do
  out=bin/2/$(basename "$name" .cc)
  g++ -std=c++17 -O1 -Wall -Wextra -pthread -o "$out" "$name" standins-2/world.cc
done
