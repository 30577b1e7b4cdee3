#!/bin/bash
# Builds the stand-ins of the cases 11 to 15. Needs only a C++20 compiler.
set -e
cd "$(dirname "$0")/stand-ins-3"
mkdir -p target
g++ -std=c++20 -O1 -Wall -Wextra -o target/standin standin.cpp -lpthread
