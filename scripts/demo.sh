#!/usr/bin/env bash
# Starts a whole fleet on loopback, runs a bounded mix of both users' traffic
# and prints what became of it. Ends by itself; 0 if everything held.
set -euo pipefail
cd "$(dirname "$0")/.."
bash scripts/install.sh
npm run --silent build
exec node scripts/fleet/demo.mjs "$@"
