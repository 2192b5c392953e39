#!/bin/sh
# Builds the stand-ins of the review's cases into build-review/.
set -e
cd "$(dirname "$0")/.."
mkdir -p build-review
gcc -std=gnu11 -O2 -g -Wall -Wextra -o build-review/stand review/stand.c -lhttp_parser -lpthread
