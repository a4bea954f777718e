#!/usr/bin/env bash
# Builds the stand-ins and cases of the second review into build-review/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build-review
for source in review/{6,7,8,9,10}/case.cpp; do
  [ -f "$source" ] || continue
  number=$(basename "$(dirname "$source")")
  g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "build-review/case-$number" "$source"
done
