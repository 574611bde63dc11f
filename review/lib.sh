# Shared by the cases' run.sh, which sources it from the case's folder. It sets:
#   root    the repository      tool    the stand-ins      record  the case's record.txt      work  a temporary folder
# All processes that start() started, and all clients in the background, are killed by their ids when the script ends.
set -u
case_folder=$(cd "$(dirname "${BASH_SOURCE[1]}")" && pwd)
root=$(cd "$case_folder/../.." && pwd)
tool=$root/review/bin/tool
record=$case_folder/record.txt
work=$(mktemp -d)
trouble=${TROUBLE:-1}
started=()

cleanup() {
	for pid in "${started[@]:-}" $(jobs -p); do
		[ -n "$pid" ] && kill -KILL "$pid" 2>/dev/null
	done
	rm -rf "$work"
}
trap cleanup EXIT

# A case that cannot run exits with 2.
cannot_run() {
	echo "cannot run: $*"
	echo "$(date +%s%3N) script cannot run: $*" >>"$record"
	tail -n 20 "$work"/*.log >>"$record" 2>/dev/null
	exit 2
}

say() { echo "$(date +%s%3N) script $*" >>"$record"; }

# start NAME COMMAND... starts a process from the root, and sets pid to its id. Its output goes to NAME.log.
start() {
	local name=$1
	shift
	(cd "$root" && exec "$@") >>"$work/$name.log" 2>&1 &
	pid=$!
	started+=("$pid")
	disown "$pid"
}

ports() { mapfile -t port < <("$tool" ports "$1"); }

[ -x "$tool" ] || { echo "cannot run: review/build.sh has not been run"; exit 2; }
[ -x "$root/bin/dunlinsaild" ] || { echo "cannot run: the build of deploy/balancer.toml has not been run"; exit 2; }
: >"$record"
say "begins with TROUBLE=$trouble"
