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
				return &usageError{Problem: "want the name of a shell", Known: []string{"bash"}}
			}
			fmt.Print(bashCompletion(root))
			return nil
		},
	}
}

// bashCompletion offers the subcommands and flags of the words typed so far.
func bashCompletion(root *ffcli.Command) string {
	var cases strings.Builder
	addCases(&cases, root, root.Name)
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

func addCases(b *strings.Builder, c *ffcli.Command, path string) {
	var words []string
	for _, sub := range c.Subcommands {
		words = append(words, sub.Name)
	}
	c.FlagSet.VisitAll(func(f *flag.Flag) { words = append(words, "--"+f.Name) })
	fmt.Fprintf(b, "    %q) words=%q ;;\n", path, strings.Join(words, " "))
	for _, sub := range c.Subcommands {
		addCases(b, sub, path+" "+sub.Name)
	}
}
