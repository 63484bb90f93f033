#!/usr/bin/env bash
# The stand-ins of the cases 6 to 10 are plain JavaScript on Node.js alone: nothing is compiled, only checked.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib-2/*.mjs [6-9]/*.mjs; do node --check "$file"; done
