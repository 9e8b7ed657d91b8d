#!/usr/bin/env bash
# Runs the case; see claim.txt. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/vpd ] || [ ! -x target/review/case10 ]; then
	echo "build first: the build of deploy/system.toml, then review/build-2.sh" >&2
	exit 2
fi
exec timeout -k 2 118 target/review/case10 review/10
