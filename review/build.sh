#!/usr/bin/env bash
# The stand-ins of the scripts are plain modules that Node.js runs as they are; this checks that each can be parsed.
set -euo pipefail
cd "$(dirname "$0")"
for file in stand-ins/*.mjs */case.mjs; do
	node --check "$file"
done
