package main

import (
	"context"
	"flag"
	"fmt"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"
)

func completionCommand(root *ffcli.Command) *ffcli.Command {
	return &ffcli.Command{
		Name:       "completion",
		ShortUsage: "redwingpoint completion bash",
		ShortHelp:  "print a completion script for a shell",
		LongHelp:   "Examples:\n\n  source <(redwingpoint completion bash)",
		FlagSet:    newFlags("redwingpoint completion"),
		Exec: func(_ context.Context, args []string) error {
			if len(args) != 1 || args[0] != "bash" {
				return &usageError{Message: "missing or unknown shell", Allowed: []string{"bash"}}
			}
			fmt.Print(bashCompletion(root))
			return nil
		},
	}
}

// bashCompletion returns a bash script that completes the subcommands and flags of
// the command typed so far.
func bashCompletion(root *ffcli.Command) string {
	var cases strings.Builder
	writeCompletionCases(&cases, root, root.Name)
	return `_redwingpoint() {
  local word path=redwingpoint
  for word in "${COMP_WORDS[@]:1:COMP_CWORD-1}"; do
    [[ $word == -* ]] || path="$path $word"
  done
  local words
  case "$path" in
` + cases.String() + `  esac
  COMPREPLY=($(compgen -W "$words" -- "${COMP_WORDS[COMP_CWORD]}"))
}
complete -o default -F _redwingpoint redwingpoint
`
}

// writeCompletionCases writes one case of the script's case statement for a command
// at path and one for each command below it.
func writeCompletionCases(cases *strings.Builder, command *ffcli.Command, path string) {
	var candidates []string
	for _, sub := range command.Subcommands {
		candidates = append(candidates, sub.Name)
	}
	command.FlagSet.VisitAll(func(f *flag.Flag) { candidates = append(candidates, "--"+f.Name) })
	fmt.Fprintf(cases, "    %q) words=%q ;;\n", path, strings.Join(candidates, " "))
	for _, sub := range command.Subcommands {
		writeCompletionCases(cases, sub, path+" "+sub.Name)
	}
}
