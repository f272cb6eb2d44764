#!/bin/sh
# The stand-ins and scripts are JavaScript without dependencies: there is nothing to compile, so this only checks that they parse.
cd "$(dirname "$0")/.." || exit 2
for file in review/lib/*.js review/*/run.js; do
	node --check "$file" || exit 1
done
