#!/usr/bin/env bash
# The stand-ins are plain JavaScript; this only checks that they and the cases can be parsed.
set -euo pipefail
cd "$(dirname "$0")"
for file in stand-ins-2/*.mjs 6/*.mjs 7/*.mjs 8/*.mjs 9/*.mjs 10/*.mjs; do
	[ ! -e "$file" ] || node --check "$file"
done
