#!/bin/sh
# Builds the programs that the scripts of the third review start, beside the daemon that the deploy file builds. Needs no network.
set -e
cd "$(dirname "$0")/.."
npx --no-install esbuild review/kit-3/test/*-case.ts --bundle --platform=node --format=esm --target=node20 --outdir=target/review-3 --out-extension:.js=.mjs --log-level=warning
