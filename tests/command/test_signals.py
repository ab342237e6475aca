from __future__ import annotations

import signal
import subprocess

import pytest

PROGRAM = """
import os, signal, sys, threading
from briarseam.command import signals

stop = signals.watch()
# Handlers may run while the main thread is still inside print, which must
# not be entered twice.
signals.on_reload(lambda: os.write(1, b"reloaded\\n"))

def strike():
    sys.stdin.readline()
    signal.pthread_kill(threading.get_ident(), signal.Signals({number}))

threading.Thread(target=strike, daemon=True).start()
print("waiting", flush=True)
stop.wait()
print("stopped", flush=True)
"""


def program(start_python, number):
    process = start_python(
        "-c", PROGRAM.format(number=int(number)), stdin=subprocess.PIPE
    )
    assert process.stdout.readline() == b"waiting\n"
    process.stdin.write(b"now\n")
    process.stdin.flush()
    return process


@pytest.mark.timeout(30)
def test_signal_that_another_thread_gets_stops_the_process(start_python):
    """SIGTERM follows SIGHUP at once, and the kernel hands it to another
    thread.  The main thread goes on waiting, and the process is killed at
    the end of its time with all that it serves.
    """
    process = program(start_python, signal.SIGTERM)
    assert process.stdout.read() == b"stopped\n"
    assert process.wait() == 0


@pytest.mark.timeout(30)
def test_signal_to_reload_that_another_thread_gets_is_noticed(start_python):
    process = program(start_python, signal.SIGHUP)
    assert process.stdout.readline() == b"reloaded\n"
    process.terminate()
    assert process.wait() == 0


BUSY_PROGRAM = """
import os, signal, sys, threading
from briarseam.command import signals

# Nearly always on its way in or out of the wait, where a signal did harm.
signals.CHECK_S = 0.0
stop = signals.watch()

def strike():
    sys.stdin.readline()
    os.kill(os.getpid(), signal.SIGTERM)

threading.Thread(target=strike, daemon=True).start()
print("waiting", flush=True)
stop.wait()
print("stopped", flush=True)
"""
PROCESSES = 8
END_S = 20.0


@pytest.mark.timeout(60)
def test_signal_in_the_middle_of_the_wait_stops_the_process(start_python):
    """SIGTERM comes just as the main thread looks whether it has come.

    Its handler took a lock that the main thread held for the look, and so
    the process waited for itself: it served on until it was killed, and all
    requests that it had taken since were given up.
    """
    processes = [
        start_python("-c", BUSY_PROGRAM, stdin=subprocess.PIPE)
        for _ in range(PROCESSES)
    ]
    for process in processes:
        assert process.stdout.readline() == b"waiting\n"
        process.stdin.write(b"now\n")
        process.stdin.flush()
    assert [process.wait(END_S) for process in processes] == [0] * PROCESSES


REPEATED_PROGRAM = """
import os, signal
from briarseam.command import signals

stop = signals.watch()
os.kill(os.getpid(), signal.SIGTERM)
stop.wait()
for number in (signal.SIGTERM, signal.SIGINT):
    os.kill(os.getpid(), number)
    print(stop.hurried, flush=True)
"""


@pytest.mark.timeout(30)
def test_only_an_operator_hurries_a_stop(start_python):
    """Two series of stops overlap, and an instance gets SIGTERM twice.

    The second one cut off what it was to finish.  An operator who has no
    time presses Ctrl-C.
    """
    process = start_python("-c", REPEATED_PROGRAM)
    assert process.stdout.read() == b"False\nTrue\n"
