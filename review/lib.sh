# lib.sh: helpers of the review's scripts, for bash: a small deployment with settings filled from the templates of
# deploy/, and the stand-ins of review/stand.c. A script sets `name` (its folder) before it reads this file.
cd "$(dirname "${BASH_SOURCE[0]}")/.." || exit 2
STAND=build-review/stand
TROUBLE=${TROUBLE:-1}
folder=review/$name
dir=$(mktemp -d) || exit 2
logs=()

end_all() {
  for p in $(jobs -p); do kill -CONT "$p" && kill -KILL "$p"; done 2>/dev/null
  wait 2>/dev/null
  rm -rf "$dir"
}
trap end_all EXIT
trap 'exit 2' INT TERM

cannot_run() {
  echo "the case could not run: $*" >&2
  exit 2
}
[ -x $STAND ] && [ -x target/peatwelld ] || cannot_run "build it first"

# Starts a program in the background; sets `pid`.
start() { # name, program and its arguments
  local log=$dir/$1.out
  shift
  "$@" >>"$log" 2>&1 &
  pid=$!
}

read -r control_port wire_port gossip_port metrics_port front_port ready_port replica_port < <($STAND ports 7)
seeds=(127.0.1.1:$control_port 127.0.1.2:$control_port 127.0.1.3:$control_port)
controls=$(IFS=,; echo "${seeds[*]}")

# Fills a template of deploy/ as DEPLOY.md describes it, for the gaps that these templates have.
fill() { # role, ip, memoryMb
  local list
  list=$(printf '"%s", ' "${seeds[@]}")
  sed -e "s|{{#seeds}}.*{{/seeds}}|${list%, }|" -e 's|{{#zones}}.*{{/zones}}|"brest-a"|' \
    -e 's|^{{#bounds.exposeShare}}.*||' -e 's|^{{/bounds.exposeShare}}||' -e 's|{{bootstrap.json}}|true|' \
    -e "s|{{nodeName}}|$1-$2|" -e 's|{{zone}}|brest-a|' -e 's|{{region}}|bzh-ouest|' \
    -e "s|{{ip}}:9464|$2:$metrics_port|" -e "s|{{ip}}|$2|g" -e "s|{{listen.control}}|$2:$control_port|" \
    -e "s|{{listen.front}}|$2:$front_port|" -e "s|{{listen.ready}}|$2:$ready_port|" \
    -e "s|{{portRange.0}}|$wire_port|g" -e "s|{{portRange.1}}|$gossip_port|g" -e 's|{{tolerate.machines}}|2|' \
    -e 's|{{heartbeatMs}}|500|' -e "s|{{dataDir}}|$dir/data-$2|" -e 's|{{limits.linkMbps}}|1000|' \
    -e "s|{{limits.memoryMb}}|$3|" -e 's|{{bounds.retryRatio}}|0.2|' -e 's|{{bounds.retrySlack}}|56|' \
    -e 's|{{bounds.retryWindowS}}|10|' -e 's|{{bounds.graceS}}|8|' -e 's|{{bounds.capX}}|2|' \
    -e 's|{{bounds.retryAfterS}}|10|' "deploy/$1.toml" >"$dir/$1-$2.toml"
  ! grep -n '{{' "$dir/$1-$2.toml" >&2 || cannot_run "a gap of deploy/$1.toml is not filled"
}

# Starts a process with the command of deploy/system.toml.
start_process() { # role, ip
  start "$1-$2" target/peatwelld --config "$dir/$1-$2.toml"
}

# Starts a replica; its log is $dir/ID.tsv.
start_replica() { # id, service, ip, work_ms, bytes of answers
  start "$1" $STAND replica "$3:$replica_port" "$1" "$2" brest-a "$controls" "$dir/$1.tsv" "$dir/$1.shed" "$4" "$5"
  logs+=("$dir/$1.tsv")
}

route() { # name, prefix, kind, service, attempts, timeout, public
  printf '{"name":"%s","host":"a.example","pathPrefix":"%s","kind":"%s","timeoutMs":%d,"goalMs":300,"priority":1,' \
    "$1" "$2" "$3" "$6"
  printf '"service":"%s","attempts":%d,"public":%s,"sticky":false,"resumable":false,"gapTargetMs":300}' "$4" "$5" "$7"
}

configuration() { # "tenants" or nothing
  local public=true service services=
  [ "${1:-}" != tenants ] || public=false
  for service in portal llm archive; do
    services+=",{\"name\":\"$service\",\"healthPath\":\"/health\",\"maxConns\":370,\"protocol\":\"h1\",\"tls\":false}"
  done
  printf '{"version":1,"routes":[%s,%s,%s,%s],"services":[%s],' "$(route once /once/ unsafe portal 1 5000 $public)" \
    "$(route safe /safe/ safe portal 2 5000 $public)" "$(route chat /chat/ stream llm 1 8000 $public)" \
    "$(route slow /slow/ unsafe archive 1 30000 $public)" "${services#,}"
  printf '"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}'
  [ $public = true ] || printf '%s' ',"tenants":[{"name":"exams","apiKeys":["key-of-unsafe-callers"],"priority":1},' \
    '{"name":"marking","apiKeys":["key-of-stream-callers"],"priority":1}]'
  printf '}'
}

# Starts three control instances and the gateways 127.0.2.1 to 127.0.2.N, and waits until all gateways are ready.
# Sets `gateway`, the address of the first for callers, and `gateway_pid`.
start_deployment() { # gateways, memoryMb, "tenants" or nothing
  local i
  for i in 1 2 3; do
    fill control 127.0.1.$i "$2"
    start_process control 127.0.1.$i
  done
  for i in $(seq "$1"); do
    fill gateway "127.0.2.$i" "$2"
    start_process gateway "127.0.2.$i"
    [ "$i" -ne 1 ] || gateway_pid=$pid
  done
  configuration "${3:-}" >"$dir/configuration"
  gateway=127.0.2.1:$front_port
  $STAND publish "$controls" "$dir/configuration" || cannot_run "the configuration is not accepted"
  for i in $(seq "$1"); do
    $STAND ready "127.0.2.$i:$ready_port" || cannot_run "gateway $i is not ready"
  done
}

# Writes record.txt: the summary on standard input, then the logs of all stand-ins in the order of time.
record() {
  {
    tee /dev/stderr
    printf '\nmonotonic ms, event and its fields, from all stand-ins:\n'
    sort -n "${logs[@]}"
  } 2>&1 >"$folder/record.txt"
}
