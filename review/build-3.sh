#!/bin/sh
# Builds the stand-ins of the third review's scripts, into target/review-3. Run after the build of deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
g++ -std=c++20 -O1 -g -Wall -Wextra -o target/review-3/cases review/standins-3/cases.cpp -pthread
