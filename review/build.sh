#!/usr/bin/env bash
# Builds the programs of the cases, with the project's stand-ins in them, into target/review.
# The daemon itself is built by the build command of deploy/service.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for folder in review/[0-9]; do
  go build -o "target/review/case${folder##*/}" "./$folder"
done
