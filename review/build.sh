#!/usr/bin/env bash
# Builds the programs of the cases into target/review/; the deploy file's build
# comes first.
set -euo pipefail
here=$(cd "$(dirname "$0")" && pwd)
out=$here/../target/review
mkdir -p "$out"
for source in "$here"/[0-9]/case.cpp; do
    number=$(basename "$(dirname "$source")")
    g++ -std=c++20 -O1 -Wall -Wextra -pthread \
        -o "$out/case-$number" "$source" "$here/support/world.cpp" -lfmt
done
