#!/bin/sh
# Runs clang-tidy on the translation units of the project:
# lint.sh BUILD JOBS [PATTERN].
set -eu
build="$1"
jobs="$2"
pattern="${3:-.}"
tools/sources.sh | grep '\.cpp$' | grep -E "$pattern" |
  xargs -P "$jobs" -n 1 clang-tidy --quiet -p "$build" 2>/dev/null
