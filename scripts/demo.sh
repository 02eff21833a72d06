#!/usr/bin/env bash
# Starts a complete fleet on loopback, runs a bounded mix of both users' traffic
# and prints the results. Exits with 0 if every check passed.
# "demo.sh platform" runs gateways in front of a simulated platform with faults.
set -euo pipefail
cd "$(dirname "$0")/.."
bash scripts/install.sh
npm run --silent build
if [ "${1:-}" = platform ]; then
  shift
  exec node scripts/fleet/platform_demo.mjs "$@"
fi
exec node scripts/fleet/demo.mjs "$@"
