# dk-east with two of its instances; to be sourced after processes.sh.

example=examples/dk-east
host=127.0.0.1
model=certificate-draft=2026.11
engines="1 2 3 4 5 6"
services="1 2 3"
stores="1 2"
instances="cph-hall-a-1:cph-hall-a:1 roskilde-hall-1:roskilde-hall:2"
. "$root/scripts/deployment.sh"
