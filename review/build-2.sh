#!/usr/bin/env bash
# Builds the programs of the second review's cases, with their stand-ins in them, into
# target/review. The daemon itself is built by the build command of deploy/service.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for folder in review/[4-8]; do
  go build -o "target/review/case${folder##*/}" "./$folder"
done
