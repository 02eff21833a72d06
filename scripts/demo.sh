#!/usr/bin/env bash
# Starts a whole fleet on loopback, runs a bounded mix of both users' traffic
# and prints what became of it. Ends by itself; 0 if everything held.
# "demo.sh platform" runs gateways before stand-ins of the users' platform,
# with faults.
set -euo pipefail
cd "$(dirname "$0")/.."
bash scripts/install.sh
npm run --silent build
if [ "${1:-}" = platform ]; then
  shift
  exec node scripts/fleet/platform_demo.mjs "$@"
fi
exec node scripts/fleet/demo.mjs "$@"
