# bash completion for peatwell(1)
_peatwell() {
  local cur=${COMP_WORDS[COMP_CWORD]}
  local commands="apply get delete watch status drain evacuate rollout timeline trace requests report backup restore check keygen keyhash"
  local options="--server --key-file --output --wait --timeout --dry-run --follow --end --since --seconds --chat --request --target --help"
  local kinds="model adapter version workspace target service policy evacuation service-rollout"
  if [ "$COMP_CWORD" -eq 1 ]; then
    mapfile -t COMPREPLY < <(compgen -W "$commands --help --version" -- "$cur")
  elif [[ $cur == -* ]]; then
    mapfile -t COMPREPLY < <(compgen -W "$options" -- "$cur")
  elif [ "$COMP_CWORD" -eq 2 ] && [[ ${COMP_WORDS[1]} == get || ${COMP_WORDS[1]} == delete ]]; then
    mapfile -t COMPREPLY < <(compgen -W "$kinds" -- "$cur")
  else
    mapfile -t COMPREPLY < <(compgen -f -- "$cur")
  fi
}
complete -F _peatwell peatwell
