#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases 6 to 10 start. Needs only rustc and std.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/standin-2/*.rs; do
    name=$(basename "$source" .rs)
    [ "$name" = kit ] && continue
    rustc --edition 2024 -O -o "target/review-2/$name" "$source"
done
