#!/bin/bash
# Builds the stand-ins of the scripts in review/6 and later, into target/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
g++ -std=c++20 -O2 -Wall -Wextra -pthread -o target/review-2/stand-ins \
  review/stand-ins-2/main.cpp
