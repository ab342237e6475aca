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
stop.on_reload(lambda: os.write(1, b"reloaded\\n"))

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


EACH_LINE_PROGRAM = """
import os, signal, sys, threading
from briarseam.command import signals
from briarseam.compose import reloading

LINES = 40
PAUSE_S = 0.1

def send(number):
    os.kill(os.getpid(), number)

def strike(number, line):
    # SIGHUP, then the signal at a line that is run after it, then SIGTERM
    # if it has not come yet.
    stop = signals.watch()
    stop.on_reload(reloading.SettingsReloader(None, None).request)
    run = 0

    def trace(frame, event, argument):
        nonlocal run
        run += event == "line"
        if run == line:
            run += 1
            send(number)
        return trace

    timers = [
        threading.Timer(PAUSE_S / 2, send, (signal.SIGHUP,)),
        threading.Timer(PAUSE_S, send, (signal.SIGTERM,)),
    ]
    for timer in timers:
        timer.start()
    sys.settrace(trace)
    stop.wait()
    sys.settrace(None)
    for timer in timers:
        timer.join()

for line in range(1, LINES):
    strike(signal.Signals({number}), line)
print("stopped", flush=True)
"""
END_S = 40.0


@pytest.mark.timeout(60)
@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGHUP])
def test_signal_at_any_line_of_the_wait_leaves_it_alive(start_python, number):
    """A signal comes just as the main thread looks whether it has come, or
    while it takes in another one.

    Handlers took locks that the main thread held at that moment, and so the
    process waited for itself: it served on after SIGTERM until it was
    killed, and all requests that it had taken since were given up.
    """
    process = start_python(
        "-c", EACH_LINE_PROGRAM.replace("{number}", str(int(number)))
    )
    assert process.stdout.read() == b"stopped\n"
    assert process.wait(END_S) == 0


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
