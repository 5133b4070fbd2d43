#!/bin/bash
# Builds the stand-ins that the cases 6 to 10 start. The project's own programs are built by the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/bin
(cd review/standin2 && go build -o ../bin/standin2 .)
