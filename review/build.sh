#!/usr/bin/env bash
# The stand-ins are Python sources that run from the tree with the libraries of the
# deploy file's build; this checks that each of them can be loaded.
set -euo pipefail
cd "$(dirname "$0")/.."
[ -d target/deps ] || { echo "the deploy file's build has to run first"; exit 1; }
PYTHONPATH=target/deps:review PYTHONDONTWRITEBYTECODE=1 python3 -c "import lab"
