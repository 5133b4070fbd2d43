#!/bin/bash
# Builds the stand-ins of all cases: searchers, discovery's agents, clients and the platform, in one program.
set -euo pipefail
cd "$(dirname "$0")/standin"
mkdir -p ../bin
GOTOOLCHAIN=local GOPROXY=off go build -o ../bin/standin .
