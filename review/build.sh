#!/bin/bash
# The stand-ins of the scripts are plain JavaScript without dependencies (lib/, N/case.js), so
# there is nothing to compile; this checks that each of them parses.
cd "$(dirname "$0")" || exit 1
for file in lib/*.js [1-5]/case.js; do
  node --check "$file" || exit 1
done
