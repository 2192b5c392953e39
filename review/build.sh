#!/bin/sh
# Builds the stand-ins of the review's cases, and the project's scenario runner, into build-review/.
set -e
cd "$(dirname "$0")/.."
make -j8 BUILD=build-review build-review/pwscenario
gcc -std=gnu11 -O2 -g -Wall -Wextra -o build-review/stand review/stand.c -lhttp_parser -lpthread
