#!/usr/bin/env bash
# Installs dependencies, then runs formatter, linter, build and all tests.
set -euo pipefail
cd "$(dirname "$0")/.."
bash scripts/install.sh
npm run --silent format
npm run --silent lint
npm run --silent build
node scripts/run_tests.mjs
