#!/bin/sh
# Builds what the scripts of the second review start beside the deployed program.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
node -e "require('esbuild').buildSync({entryPoints: ['platform/__tests__/store-stand-in.ts'], bundle: true, platform: 'node', format: 'esm', logLevel: 'warning', outfile: 'target/review-2/store-stand-in.mjs'})"
