#!/usr/bin/env bash
# The stand-ins of these cases are plain JavaScript that uses nothing but Node.js: checks that all of it can be loaded.
set -e
cd "$(dirname "$0")"
for file in lib-3/*.mjs 1[1-5]/case.mjs; do node --check "$file"; done
