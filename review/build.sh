#!/usr/bin/env bash
# The stand-ins are plain modules of Node.js without dependencies; this checks that each of them can be loaded.
set -euo pipefail
cd "$(dirname "$0")/.."
for file in review/stand-ins/*.js review/*/run.js; do
  node --check "$file"
done
