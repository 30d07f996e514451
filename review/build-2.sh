#!/bin/sh
# Bundles the stand-ins and the scripts of the cases under review/ into target/review-2/; run after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
bundle() {
	npx esbuild "$1" --bundle --platform=node --format=esm --target=node20 --outfile="target/review-2/$2.mjs" --log-level=warning --banner:js='import {createRequire as createBundleRequire} from "node:module"; const require = createBundleRequire(import.meta.url);'
}
for folder in review/*/; do
	number=$(basename "$folder")
	[ -f "review/$number/test/case.ts" ] && [ -f "review/kit-2/test/kit.ts" ] && grep -q kit-2 "review/$number/test/case.ts" || continue
	bundle "review/$number/test/case.ts" "$number"
	if [ -f "review/$number/test/faulty-server.ts" ]; then bundle "review/$number/test/faulty-server.ts" "$number-faulty"; fi
done
