#!/bin/bash
# build-2.sh: builds the stand-ins that the scripts of cases 4 to 8 start, into build/.
set -e
cd "$(dirname "$0")/.."
make -j"$(nproc)" build/pwscenario build/fake-target
gcc -std=gnu11 -O2 -Wall -Wextra -Ipackages/core -Ipackages/net -o build/clients-2 review/clients-2.c \
  build/libpeatwell.a $(pkg-config --cflags --libs gnutls) -lev
