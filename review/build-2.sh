#!/usr/bin/env bash
# Prepares the stand-ins of the cases 6 to 10: they are plain modules of review/lib-2, which need no compiler. It only
# checks that they can be parsed.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib-2/*.mjs [0-9]*/run.mjs; do
  node --check "$file"
done
