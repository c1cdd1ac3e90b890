#!/usr/bin/env bash
# Case quota of the second review; see claim.txt. Run after the build of the deploy file and
# review/build-2.sh. Exit code: 0 if the rule held, 1 if it was broken, 2 if the case could not run.
set -uo pipefail
folder="$(cd "$(dirname "$0")" && pwd)"
cd "$folder/../.."
# With TROUBLE=0 the disruption is left out.
export TROUBLE="${TROUBLE:-1}"
exec target/review-2/standin quota "$folder"
