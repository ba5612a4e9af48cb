#!/usr/bin/env bash
# The stand-ins are plain modules for Node.js without dependencies, so building them only checks their syntax.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib/*.mjs [0-9]*/*.mjs; do node --check "$file"; done
