#!/usr/bin/env bash
# Builds the deployment under target/: one bundled file, the script that starts
# it, and V8's code cache from a short run.
set -euo pipefail
cd "$(dirname "$0")/.."
bash scripts/install.sh
npx tsc -b platform
mkdir -p target
npx esbuild platform/dist/main.js --bundle --platform=node --format=cjs \
  --target=node20 --outfile=target/wl-gateway.cjs --log-level=warning \
  --external:ts-results --alias:undici=./deploy/undici_parts.mjs
cp deploy/run_bundle.mjs deploy/listen_early.mjs target/
rm -f target/wl-gateway.cache
# V8 accepts the cache only with the flags under which it was written.
flags=$(sed -n 's/^run = "node \(.*\) target.*/\1/p' deploy/system.toml)
# shellcheck disable=SC2086
node scripts/fleet/write_code_cache.mjs $flags || {
  echo 'build: run on loopback failed, the cache covers only the start' >&2
  rm -f target/wl-gateway.cache
  # shellcheck disable=SC2086
  node $flags target/run_bundle.mjs --version --write-code-cache
}
