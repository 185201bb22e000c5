#!/usr/bin/env bash
# Builds what the scripts of the cases start beside the program of the deploy file. Their stand-ins are plain JavaScript
# modules of review/lib that use Node.js alone, so there is nothing to compile: this checks that all of them parse.
set -euo pipefail
cd "$(dirname "$0")"
for module in lib/*.mjs [1-5]/*.mjs; do
  node --check "$module"
done
