#!/usr/bin/env bash
# Installs and builds, then compares routing variants with real processes.
set -euo pipefail
cd "$(dirname "$0")/.."
bash scripts/install.sh >&2
npm run --silent build >&2
exec node scripts/fleet/bench.mjs "$@"
