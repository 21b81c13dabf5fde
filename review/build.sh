#!/bin/sh
# Builds the stand-ins of the review's scripts into review/bin/.
set -eu
cd "$(dirname "$0")"
mkdir -p bin
for name in reset_answer early_answer late_read silent_crash broken_read; do
  ${CXX:-c++} -std=c++17 -O1 -Wall -Wextra -pthread \
    -o "bin/$name" "standins/$name.cc" standins/standins.cc
done
