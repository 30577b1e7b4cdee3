#!/bin/sh
# Lists the source files that format and lint checks apply to.
cd "$(dirname "$0")/.."
find src lab tests examples benchmarks -name generated -prune -o \
  \( -name '*.cpp' -o -name '*.hpp' \) -print | sort
