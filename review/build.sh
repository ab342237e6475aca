#!/bin/sh
# Prepare what the scripts of the review start, after the build of the deploy
# file.  The stand-ins are Python modules of this tree, which need nothing but
# the libraries in target/deps; they are loaded once here.
set -eu
export PYTHONDONTWRITEBYTECODE=1
root=$(CDPATH='' cd -- "$(dirname -- "$0")/.." && pwd)
cd "$root"
PYTHONPATH="$root/target/deps:$root" python3 - <<'END'
import tests.platform.metadata_store
import tests.platform.versioned_engines
import tests.platform.worker

import review.harness
END
