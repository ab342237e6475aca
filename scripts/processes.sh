# Starting and stopping processes; to be sourced after lib.sh, with `root`
# set.  Their output and process ids go to $work.

work=$root/.demo
rm -rf "$work"
mkdir -p "$work"
pids=""

stop_all() {
    trap - EXIT HUP INT TERM
    # shellcheck disable=SC2086
    [ -z "$pids" ] || kill $pids 2>/dev/null || true
    # Everything goes at once and nobody calls any more: the second signal
    # ends the graceful shutdown.
    sleep 0.5
    # shellcheck disable=SC2086
    [ -z "$pids" ] || kill $pids 2>/dev/null || true
    wait
}
trap stop_all EXIT
trap 'stop_all; exit 130' HUP INT TERM

# start NAME ARGUMENTS...: run one process, its output in files.
start() {
    process=$1
    shift
    briarseam "$@" >"$work/$process.out" 2>"$work/$process.err" &
    pids="$pids $!"
    echo "$process $!" >>"$work/pids"
}

# await NAME...: wait until processes have printed that they are ready.
await() {
    for awaited in "$@"; do
        tries=0
        until [ -s "$work/$awaited.out" ]; do
            tries=$((tries + 1))
            if [ "$tries" -gt 300 ]; then
                echo "$awaited did not start:" >&2
                cat "$work/$awaited.err" >&2
                exit 1
            fi
            sleep 0.1
        done
    done
}
