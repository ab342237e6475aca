# Starting a deployment's stand-ins and two of its instances; to be sourced
# by deployment-*.sh, which set:
#
#   example    folder of its settings and configuration
#   host       address of all its processes
#   model      NAME=VERSION that its engines serve
#   engines, services, stores   their numbers
#   instances  "NAME:ZONE:NUMBER ..." of the instances to start
#
# `engine_switches` may hold further options of the engines, `cache_tokens`
# the size of their memory.

listed() {
    for one in $instances; do
        name=${one%%:*}
        number=${one##*:}
        zone=${one#*:}
        zone=${zone%:*}
        printf '%s\n' \
            "--instance $name=agent,$host:714$number,$zone" \
            "--instance $name-entry=entry,$host:715$number,$zone"
    done
}

start_stand_ins() {
    start log stand-in log --listen "$host:7101" \
        --set retention_ms=86400000 --set appends_per_s=500
    # shellcheck disable=SC2046
    start instances stand-in instances --listen "$host:7102" \
        --set lag_ms=500 $(listed)
    start weights stand-in weights --listen "$host:7103"
    for n in $engines; do
        # shellcheck disable=SC2086
        start "engine-$n" stand-in engine --listen "$host:711$n" \
            --model "$model" --seed "$n" \
            --set cache_tokens="${cache_tokens:-12000}" \
            --set prefill_s_per_piece=0.15 \
            --set load_lag_ms=200 --set event_lag_ms=300 \
            --set event_loss=0.05 ${engine_switches:-}
    done
    for n in $services; do
        start "service-$n" stand-in service --listen "$host:712$n"
    done
    for n in $stores; do
        start "store-$n" stand-in store --listen "$host:713$n" \
            --set link_bytes_per_s=50000000
    done
}

start_deployment() {
    start_stand_ins
    for one in $instances; do
        ini=$example/instances/${one%%:*}.ini
        start "agent-${one%%:*}" agent --settings "$ini"
        start "entry-${one%%:*}" entry --settings "$ini"
    done
    await log instances weights
    for n in $engines; do await "engine-$n"; done
    for n in $services; do await "service-$n"; done
    for n in $stores; do await "store-$n"; done
    for one in $instances; do
        await "agent-${one%%:*}" "entry-${one%%:*}"
    done
}
