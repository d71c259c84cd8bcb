# Functions for scripts that run a group of three control processes on loopback. To be sourced; wants the folder of the
# programs in $bin.
work=$(mktemp -d)
hosts=(a1 b1 c1)
declare -A pid mesh_port operator_port

finish() {
    local status=$?
    for host in "${!pid[@]}"; do
        kill -9 "${pid[$host]}" 2>/dev/null || true
    done
    if [ "$status" -ne 0 ]; then
        tail -n 20 "$work"/*.log || true
    fi
    rm -rf "$work"
}
trap finish EXIT

fail() {
    echo "FAILED: $*" >&2
    exit 1
}

# Sets the variable named first to a free port.
free_port() {
    local candidate
    while true; do
        candidate=$((20000 + RANDOM % 12000))
        if [[ " ${used_ports:-} " != *" $candidate "* ]] && ! (exec 3<>"/dev/tcp/127.0.0.1/$candidate") 2>/dev/null; then
            used_ports="${used_ports:-} $candidate"
            printf -v "$1" '%s' "$candidate"
            return
        fi
    done
}

# Tries a command until it succeeds: wait_for WHAT COMMAND...
wait_for() {
    local what=$1
    shift
    for _ in $(seq 300); do
        if "$@" >/dev/null 2>&1; then
            return
        fi
        sleep 0.1
    done
    fail "waited in vain: $what"
}

write_settings() {
    local members="" host port
    for host in "${hosts[@]}"; do
        free_port port
        mesh_port[$host]=$port
        free_port port
        operator_port[$host]=$port
        members+="\"$host=127.0.0.1:${mesh_port[$host]},127.0.0.1:${operator_port[$host]}\", "
    done
    echo "ana 0123456789abcdef" >"$work/tokens"
    echo "0123456789abcdef" >"$work/token"
    local control=""
    for host in "${hosts[@]}"; do
        printf 'host = "%s"\ndata_folder = "%s"\nmembers = [%s]\noperators.tokens_file = "%s"\nraft.compact_after_entries = 20\n' \
            "$host" "$work/data-$host" "$members" "$work/tokens" >"$work/$host.toml"
        printf 'control = ["127.0.0.1:%s"]\ntimeout_ms = 1000\n' "${operator_port[$host]}" >"$work/ctl-$host.toml"
        control+="\"127.0.0.1:${operator_port[$host]}\", "
    done
    printf 'control = [%s]\ntoken_file = "%s"\ntimeout_ms = 30000\n' "$control" "$work/token" >"$work/ctl.toml"
}

start() {
    "$bin/jackdaw-control" --settings "$work/$1.toml" >>"$work/$1.log" 2>&1 &
    pid[$1]=$!
}

kill_hard() {
    kill -9 "${pid[$1]}"
    wait "${pid[$1]}" 2>/dev/null || true
    unset "pid[$1]"
}

ctl() { "$bin/jackdawctl" --settings "$work/ctl.toml" "$@"; }
status_of() { "$bin/jackdawctl" --settings "$work/ctl-$1.toml" status; }
leader_now() { ctl members | awk '/ leader$/ { print $1 }'; }
has_leader() { [ -n "$(leader_now)" ]; }
voters() { ctl members | grep -c ' voter'; }
has_voters() { [ "$(voters)" = "$1" ]; }

# The present incarnation of a host votes; until then its lost one still counts as a voter.
is_voter() {
    local incarnation
    incarnation=$(status_of "$1" | sed -n 's/^incarnation: //p')
    ctl members | grep -q "^$1 .* $incarnation voter"
}

has_version() { status_of "$1" | grep -qx "version: $2"; }

# The host asked first may have restarted just now and know of no leader yet.
leader() {
    local found=""
    for _ in $(seq 300); do
        found=$(leader_now)
        if [ -n "$found" ]; then
            break
        fi
        sleep 0.1
    done
    echo "$found"
}

a_follower() {
    local leading host
    leading=$(leader)
    for host in "${hosts[@]}"; do
        if [ "$host" != "$leading" ]; then
            echo "$host"
            return
        fi
    done
}

# Makes change number $1 over version $2.
apply() {
    echo "retry.budget = 0.$((1000 + $1)) # asked for by Ana Kos" >"$work/rules-$1.toml"
    ctl rules apply "$work/rules-$1.toml" --expect "$2" --change "change-$1"
}

everyone_has_version() {
    local host
    for host in "${hosts[@]}"; do
        wait_for "$host has version $1" has_version "$host" "$1"
    done
}

# Starts a host that must refuse, with the words on its standard error.
expect_refusal() {
    local host=$1 words=$2 output status=0
    output=$("$bin/jackdaw-control" --settings "$work/$host.toml" 2>&1) || status=$?
    [ "$status" -eq 1 ] || fail "$host ended with $status, not 1: $output"
    grep -q "$words" <<<"$output" || fail "$host did not say '$words': $output"
}

last_segment() { find "$work/data-$1/journal" -name '*.log' | sort | tail -1; }

# Founds the group on the first host, takes the others in, and waits until all vote.
start_group() {
    local host
    "$bin/jackdaw-control" --settings "$work/${hosts[0]}.toml" --found >/dev/null
    for host in "${hosts[@]:1}"; do
        "$bin/jackdaw-control" --settings "$work/$host.toml" --join >/dev/null
    done
    for host in "${hosts[@]}"; do start "$host"; done
    wait_for "three voters" has_voters 3
}
