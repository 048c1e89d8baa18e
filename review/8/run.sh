#!/bin/sh
# Plays the case and writes record.txt. TROUBLE=0 leaves the disruption out.
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.." || exit 2
exec target/harness2 poison-answer "$here/record.txt"
