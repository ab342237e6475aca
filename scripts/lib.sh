# Set-up shared by the scripts; to be sourced by a POSIX shell.
#
# A script sets `root` to the checkout and calls `set_up`, after which the
# packages of constraints.txt are in $root/.venv and first on PATH.

find_python() {
    for candidate in python3.11 python3 python; do
        if "$candidate" -c 'import sys; sys.exit(sys.version_info[:2] != (3, 11))' \
            2>/dev/null; then
            command -v "$candidate"
            return
        fi
    done
    echo "Python 3.11 is needed and was not found on PATH" >&2
    return 1
}

# What the environment depends on: a change of any part renews it.
environment_key() {
    (
        cd "$root" || exit 1
        "$1" --version
        pwd
        cat pyproject.toml constraints.txt
    ) | sha256sum | cut -d ' ' -f 1
}

set_up() {
    python=$(find_python) || return 1
    key=$(environment_key "$python") || return 1
    # Two scripts started together would install into one another's
    # half-made environment; the lock goes when its holder ends, however.
    (
        flock 9 || exit 1
        if [ "$(cat "$root/.venv/.key" 2>/dev/null)" != "$key" ]; then
            install_packages "$python" "$key"
        fi
    ) 9>"$root/.venv.lock" || return 1
    PATH="$root/.venv/bin:$PATH"
    VIRTUAL_ENV="$root/.venv"
    export PATH VIRTUAL_ENV
    unset PYTHONHOME PYTHONPATH
}

# The key is written last, so that a set-up cut short is made anew. Without
# build isolation, what builds hdrhistogram from source is installed first.
install_packages() {
    echo "setting up $root/.venv (once for these pins)"
    rm -rf "$root/.venv" &&
        "$1" -m venv "$root/.venv" &&
        pip_install setuptools pbr &&
        pip_install --no-build-isolation --editable "$root[test,bench]" &&
        echo "$2" >"$root/.venv/.key"
}

pip_install() {
    "$root/.venv/bin/python" -m pip install -qq \
        --disable-pip-version-check \
        --constraint "$root/constraints.txt" "$@"
}
