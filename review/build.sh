#!/usr/bin/env bash
# Builds the stand-ins of the scripts. The programs themselves are built by the build line of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -ldflags=-linkmode=external -o target/review-rig ./review/rig
