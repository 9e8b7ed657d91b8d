#!/usr/bin/env bash
# Builds the programs of the cases of the second review, after the build of the deploy
# file. The cases start no stand-in of the project.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for main in review/*/main.go; do
	number=$(basename "$(dirname "$main")")
	case $number in
	6 | 7 | 8 | 9 | 10) go build -o "target/review/case$number" "./review/$number" ;;
	esac
done
