#!/bin/bash
# Builds the stand-ins that the scripts of the cases start: the project's own upstream, which plays an instance.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S . -B build-review -G Ninja -DCMAKE_BUILD_TYPE=Release
cmake --build build-review --target stand_in_upstream
