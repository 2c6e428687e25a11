#!/usr/bin/env bash
# The stand-ins of the cases are plain JavaScript modules and need no build; this checks that Node.js can read them.
set -eu
cd "$(dirname "$0")"
for file in *.mjs */case.mjs; do
    node --check "$file"
done
