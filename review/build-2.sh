#!/usr/bin/env bash
# The stand-ins of these cases are plain modules for Node.js 20 that use nothing but its own modules. There is nothing to
# compile; this checks that they can be loaded.
set -e
cd "$(dirname "$0")/.."
for file in review/rig-2.mjs review/{6,7,8,9,10}/*.mjs; do
    if [ -f "$file" ]; then node --check "$file"; fi
done
