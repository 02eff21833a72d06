#!/usr/bin/env bash
# Prepares the scripts of the second review. Their stand-ins are plain modules
# in review/lib-2 and in the folders of the cases and need nothing compiled, so
# this only checks that each of them can be parsed.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib-2/*.mjs 6/*.mjs 7/*.mjs 8/*.mjs 9/*.mjs 10/*.mjs; do
  [ ! -e "$file" ] || node --check "$file"
done
