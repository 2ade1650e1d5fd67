package main

import (
	"context"
	"flag"
	"strings"

	"github.com/google/subcommands"
)

// completionScript completes the names of subcommands, their flags, and files.
// The names and flags stand in for %COMMANDS% and %FLAGS%.
const completionScript = `# Bash completion of geranium: source <(geranium completion)
_geranium() {
  local current="${COMP_WORDS[COMP_CWORD]}" command="" word
  for word in "${COMP_WORDS[@]:1:COMP_CWORD-1}"; do
    case " %COMMANDS% " in *" $word "*) command="$word"; break ;; esac
  done
  local flags="-gateways -operator -json"
  case "$command" in
%FLAGS%  esac
  if [[ "$current" == -* ]]; then
    COMPREPLY=($(compgen -W "$flags" -- "$current"))
  elif [[ -z "$command" ]]; then
    COMPREPLY=($(compgen -W "%COMMANDS%" -- "$current"))
  elif [[ "$command" == replica ]]; then
    COMPREPLY=($(compgen -W "add promote remove" -- "$current"))
  else
    COMPREPLY=($(compgen -f -- "$current"))
  fi
}
complete -o filenames -F _geranium geranium
`

// completion prints the script for the registered subcommands.
func (a *app) completion(context.Context, *flag.FlagSet) error {
	var names []string
	var cases strings.Builder
	for _, group := range a.commands() {
		for _, c := range group.commands {
			names = append(names, c.Name())
			cases.WriteString("    " + c.Name() + ") flags=\"" + strings.Join(flagsOf(c), " ") + "\" ;;\n")
		}
	}
	script := strings.ReplaceAll(completionScript, "%COMMANDS%", strings.Join(names, " "))
	return a.printf("%s", strings.ReplaceAll(script, "%FLAGS%", cases.String()))
}

func flagsOf(c subcommands.Command) []string {
	var names []string
	set := flag.NewFlagSet(c.Name(), flag.ContinueOnError)
	c.SetFlags(set)
	set.VisitAll(func(f *flag.Flag) { names = append(names, "-"+f.Name) })
	return names
}
