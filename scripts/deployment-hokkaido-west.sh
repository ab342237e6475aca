# hokkaido-west with two of its instances; to be sourced after processes.sh.

example=examples/hokkaido-west
host=127.0.0.2
model=sea-briefing=2026.10
engines="1 2 3 4 5"
services="1 2 3"
stores="1 2"
instances="rumoi-1:rumoi:1 wakkanai-1:wakkanai:2"
. "$root/scripts/deployment.sh"
