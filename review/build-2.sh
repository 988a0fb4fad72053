#!/usr/bin/env bash
# Builds what the scripts of the second review start beside the entry hosts.
# All of it is Python and runs on what the build of the deploy file installs.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
for folder in review/common2 review/[6-9] review/10; do
  [ ! -d "$folder" ] || python3 -m compileall -q "$folder"
done
PYTHONPATH="target/deps:." python3 -c "import review.common2.harness"
