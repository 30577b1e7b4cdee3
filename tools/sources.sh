#!/bin/sh
# Lists the source files for the format and lint checks.
cd "$(dirname "$0")/.."
find src lab tests examples benchmarks -name generated -prune -o \
  \( -name '*.cpp' -o -name '*.hpp' \) -print | sort
