#!/usr/bin/env bash
# Builds the stand-in that the scripts of this folder start, into
# build/review/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build/review
g++ -std=c++20 -O1 -Wall -Wextra -o build/review/world review/standin/*.cc
