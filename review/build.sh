#!/bin/sh
# Bundles the scripts of the cases with their stand-ins into target/review. Runs after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
for source in review/test/*.ts; do
	case "$source" in */deployment.ts | */batches.ts | */kept-connections.ts) continue ;; esac
	node_modules/.bin/esbuild "$source" --bundle --platform=node --format=esm --target=node20 --outfile="target/review/$(basename "$source" .ts).mjs" --log-level=warning \
		--banner:js='import {createRequire} from "node:module"; const require = createRequire(import.meta.url);'
done
