#!/usr/bin/env bash
# Builds what the users' machines run: one bundled file under target/.
set -euo pipefail
cd "$(dirname "$0")/.."
bash scripts/install.sh
npx tsc -b platform
mkdir -p target
npx esbuild platform/dist/main.js --bundle --platform=node --format=esm \
  --target=node20 --outfile=target/wl-gateway.js --log-level=warning --external:ts-results \
  --banner:js="import {createRequire} from 'node:module'; const require = createRequire(import.meta.url);"
