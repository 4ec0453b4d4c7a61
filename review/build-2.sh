#!/bin/bash
# Builds what the scripts of review/6 to review/10 start beside the program of the deploy file: the project's stand-in of
# an instance, and a program that holds processes to a share of a core. Everything goes to build-review-2.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S . -B build-review-2 -G Ninja -DCMAKE_BUILD_TYPE=Release > /dev/null
cmake --build build-review-2 --target stand_in_upstream > /dev/null
g++ -std=c++20 -O2 -pthread -Iinclude -Itests review/quota_main.cpp tests/platform_fleet/processor_quota.cpp \
  -o build-review-2/quota
