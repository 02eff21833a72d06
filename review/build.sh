#!/usr/bin/env bash
# Checks the stand-ins of the scripts. They are plain modules of Node.js, so
# that there is nothing to compile.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib/*.mjs */case.mjs; do
  node --check "$file"
done
