#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into target/review-2/, with the
# compiler alone. The deploy file's build comes before.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
flags=(-std=c++20 -O2 -Wall -Wextra -pthread)
for part in small_http small_world; do
    g++ "${flags[@]}" -c "review/support-2/$part.cpp" -o "$out/$part.o"
done
for source in review/{6,7,8,9,10}/*_case.cpp; do
    [ -e "$source" ] || continue
    g++ "${flags[@]}" "$source" "$out"/small_http.o "$out"/small_world.o \
        -o "$out/$(basename "$source" .cpp)"
done
