#!/bin/sh
# Plays the case; review/build.sh and the build of the deploy file come first. With TROUBLE=0 the
# disruption is left out. Exit code 1: the rule was broken, 0: it held, 2: the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/standin ] && [ -x target/rattanwall ] || exit 2
exec target/review/standin late-submission review/3/record.txt
