# Sourced by bin/demo and bin/bench: starts the processes of a deployment, obeys the driver's
# orders to stop and start one, and ends them all. Expects $root, $deployment and $plan_options.

"$root/bin/build-if-needed" standin daemon cli
run=$(mktemp -d "${TMPDIR:-/tmp}/ragworthook.XXXXXX")
mkdir "$run/logs"
declare -A pids=()

# Ends the processes that this script started, and no others.
cleanup() {
	trap - EXIT INT TERM
	for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
	for _ in $(seq 50); do
		alive=0
		for pid in "${pids[@]}"; do kill -0 "$pid" 2>/dev/null && alive=1; done
		[ "$alive" = 0 ] && break
		sleep 0.1
	done
	for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
	wait 2>/dev/null || true
	if [ -n "${RAGWORTHOOK_KEEP_LOGS:-}" ]; then echo "logs are in $run/logs"; else rm -rf "$run"; fi
}
trap cleanup EXIT
trap 'exit 130' INT TERM

# A process that is started anew waits until its predecessor has ended and freed its ports.
start() {
	if [ -n "${pids[$1]:-}" ]; then wait "${pids[$1]}" 2>/dev/null || true; fi
	"$root/bin/ragworthookd" --settings "$run/settings/$1.json" >>"$run/logs/$1.log" 2>&1 &
	pids[$1]=$!
}


# Starts the stand-ins and every daemon of the plan.
bring_up() {
	plan=(--deployment "$deployment" --examples "$root/examples" "${plan_options[@]}")
	"$root/bin/ragworthook-standin" demo-plan "${plan[@]}" --folder "$run"
	plan+=(--base-port "$(cat "$run/base-port")")
	echo "starting stand-ins, entries and sidecars of '$deployment'; logs are in $run/logs"
	"$root/bin/ragworthook-standin" demo-stand-ins "${plan[@]}" >"$run/logs/stand-ins.log" 2>&1 &
	pids[stand-ins]=$!
	while read -r name; do start "$name"; done <"$run/processes"
}

# Runs the driver and obeys its orders; sets $code and $hold.
drive() {
	local orders=$run/orders
	mkfifo "$orders"
	"$root/bin/ragworthook-standin" "$1" "${plan[@]}" "${@:2}" >"$orders" 2>"$run/logs/driver.log" &
	pids[driver]=$!
	hold=0
	while IFS= read -r line; do
		case "$line" in
			"@kill "*)
				kill -KILL "${pids[${line#@kill }]}" 2>/dev/null || true
				wait "${pids[${line#@kill }]}" 2>/dev/null || true
				;;
			"@term "*) kill -TERM "${pids[${line#@term }]}" 2>/dev/null || true ;;
			"@start "*) start "${line#@start }" ;;
			@hold) hold=1 ;;
			*) printf '%s\n' "$line" | tee -a "$run/result" ;;
		esac
	done <"$orders"
	code=0
	wait "${pids[driver]}" || code=$?
	unset 'pids[driver]'
	if [ "$code" != 0 ] && [ -s "$run/logs/driver.log" ]; then tail -n 5 "$run/logs/driver.log" >&2; fi
}
