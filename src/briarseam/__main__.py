"""``python -m briarseam``."""

from __future__ import annotations

import signal
import sys

# SIGHUP tells a daemon that its settings changed, and would end one whose
# handler does not stand yet.  Settings are read later than this line.
if sys.argv[1:2] in (["serve"], ["agent"], ["entry"]):
    signal.signal(signal.SIGHUP, signal.SIG_IGN)

from briarseam import run  # noqa: E402

if __name__ == "__main__":
    sys.exit(run.run())
