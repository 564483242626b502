#!/usr/bin/env bash
# The stand-ins of this review are plain scripts: nothing has to be compiled. Checks that
# each can be read, and that the build of the deploy file is there.
set -euo pipefail
cd "$(dirname "$0")/.."
for file in review/lib-2/*.mjs review/[4-8]/*.mjs; do
  node --check "$file"
done
test -s target/fulmarhollowd.cjs
test -s target/node.cjs
