#!/bin/sh
# Builds the stand-ins that the scripts of the second review start.
#
# They are Python and use the libraries that the build of the deploy file has
# put into target/deps, so that checking and compiling them is the whole build.

set -eu
cd "$(dirname "$0")/.."
if [ ! -d target/deps/briarseam ]; then
    echo "run sh deploy/build first" >&2
    exit 2
fi
python3 -m py_compile review/harness_2.py
for folder in 4 5 6 7 8; do
    for file in review/"$folder"/*.py; do
        [ -e "$file" ] || continue
        python3 -m py_compile "$file"
    done
done
PYTHONPATH=target/deps:. python3 -c "import tests.platform.metadata_store"
PYTHONPATH=review python3 -c "import harness_2"
