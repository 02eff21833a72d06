#!/usr/bin/env bash
# Installs the locked dependencies unless they are already in place.
set -euo pipefail
cd "$(dirname "$0")/.."
stamp=node_modules/.wl-lock
if ! cmp -s package-lock.json "$stamp" 2>/dev/null; then
  npm ci --no-audit --no-fund --ignore-scripts
  cp package-lock.json "$stamp"
fi
