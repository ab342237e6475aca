# The stand-ins and two instances of dk-east; to be sourced after
# processes.sh.  `engine_switches` may hold further options of the engines.

example=examples/dk-east

start_stand_ins() {
    start log stand-in log --listen 127.0.0.1:7101 \
        --set retention_ms=86400000 --set appends_per_s=500
    start instances stand-in instances --listen 127.0.0.1:7102 \
        --set lag_ms=500 \
        --instance cph-hall-a-1=agent,127.0.0.1:7141,cph-hall-a \
        --instance cph-hall-a-1-entry=entry,127.0.0.1:7151,cph-hall-a \
        --instance roskilde-hall-1=agent,127.0.0.1:7142,roskilde-hall \
        --instance roskilde-hall-1-entry=entry,127.0.0.1:7152,roskilde-hall
    start weights stand-in weights --listen 127.0.0.1:7103
    for n in 1 2 3 4 5 6; do
        # shellcheck disable=SC2086
        start "engine-$n" stand-in engine --listen "127.0.0.1:711$n" \
            --model certificate-draft=2026.11 --seed "$n" \
            --set cache_tokens="${cache_tokens:-12000}" --set prefill_s_per_piece=0.15 \
            --set load_lag_ms=200 --set event_lag_ms=300 \
            --set event_loss=0.05 ${engine_switches:-}
    done
    for n in 1 2 3; do
        start "service-$n" stand-in service --listen "127.0.0.1:712$n"
    done
    for n in 1 2; do
        start "store-$n" stand-in store --listen "127.0.0.1:713$n" \
            --set link_bytes_per_s=50000000
    done
}

start_deployment() {
    start_stand_ins
    for instance in cph-hall-a-1 roskilde-hall-1; do
        ini=$example/instances/$instance.ini
        start "agent-$instance" agent --settings "$ini"
        start "entry-$instance" entry --settings "$ini"
    done
    await log instances weights engine-1 engine-2 engine-3 engine-4 \
        engine-5 engine-6 service-1 service-2 service-3 store-1 store-2
    for instance in cph-hall-a-1 roskilde-hall-1; do
        await "agent-$instance" "entry-$instance"
    done
}
