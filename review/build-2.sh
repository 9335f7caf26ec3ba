#!/bin/sh
# The stand-ins of review/6 to review/10 are plain JavaScript in review/lib-2 and need no build
# and no package; this checks that Node.js reads them and that the program of the deploy file
# is there.
cd "$(dirname "$0")/.." || exit 1
for file in review/lib-2/*.js review/6/case.js review/7/case.js review/8/case.js \
  review/9/case.js review/10/case.js; do
  if [ -e "$file" ]; then node --check "$file" || exit 1; fi
done
if [ ! -e target/bitternfall.mjs ]; then
  echo "target/bitternfall.mjs is missing: run the build line of deploy/system.toml" >&2
  exit 1
fi
