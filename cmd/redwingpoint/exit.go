package main

import (
	"errors"
	"flag"
	"strings"

	"redwingpoint.org/redwingpoint/internal/config"
	"redwingpoint.org/redwingpoint/internal/operator/api"
	"redwingpoint.org/redwingpoint/internal/operator/client"
	"redwingpoint.org/redwingpoint/internal/settings"
)

// Exit codes for scripts.
const (
	exitDone       = 0
	exitFailure    = 1
	exitUsage      = 2
	exitInvalid    = 3
	exitConflict   = 4
	exitNotInForce = 5
)

// usageError reports a command line that can't be run.
type usageError struct {
	Problem string
	// Known are the accepted values, if they can be listed.
	Known []string
}

func (e *usageError) Error() string {
	if len(e.Known) == 0 {
		return e.Problem
	}
	return e.Problem + "; known are " + strings.Join(e.Known, ", ")
}

// notInForceError reports an accepted revision that some regions don't have yet.
type notInForceError struct{ Regions []string }

func (e *notInForceError) Error() string {
	return "accepted, but not in force in " + strings.Join(e.Regions, ", ") +
		"; it will be once they are reached: see redwingpoint config status"
}

// partialError reports instances that did not answer.
type partialError struct{ Silent []string }

func (e *partialError) Error() string {
	return "no answer from " + strings.Join(e.Silent, ", ") + "; what they know is missing above"
}

func exitCode(err error) int {
	var usage *usageError
	var waiting *notInForceError
	var problem *api.Problem
	var document *config.InvalidError
	var own *settings.InvalidError
	switch {
	case err == nil:
		return exitDone
	case errors.Is(err, flag.ErrHelp), errors.As(err, &usage):
		return exitUsage
	case errors.As(err, &document), errors.As(err, &own):
		return exitInvalid
	case errors.As(err, &waiting):
		return exitNotInForce
	case errors.As(err, &problem):
		return problemExitCode(problem.Code)
	case strings.HasPrefix(err.Error(), flagParseError):
		return exitUsage
	default:
		return exitFailure
	}
}

// flagParseError begins the errors of ff for flags that it can't read.
const flagParseError = "error parsing commandline arguments"

func problemExitCode(code api.Code) int {
	switch code {
	case api.CodeInvalid:
		return exitInvalid
	case api.CodeConflict, api.CodeBaseMissing, api.CodeBaseGone:
		return exitConflict
	default:
		return exitFailure
	}
}

// describe adds to an error what to do about it.
func describe(err error) string {
	var problem *api.Problem
	var silent *client.UnreachableError
	switch {
	case errors.As(err, &problem):
		return problem.Detail + advice(problem)
	case errors.As(err, &silent):
		return err.Error() + "\n  try another instance with --operator"
	default:
		return err.Error()
	}
}

func advice(p *api.Problem) string {
	switch p.Code {
	case api.CodeUnauthorized:
		return "\n  set --token or REDWINGPOINT_TOKEN"
	case api.CodeConflict, api.CodeBaseGone, api.CodeBaseMissing:
		return "\n  nothing was changed; run redwingpoint config get, repeat the edit there and apply it again"
	case api.CodeInvalid:
		return "\n  nothing was changed; correct the file and apply it again"
	case api.CodeNotApplied, api.CodeStaleRead, api.CodeStoreDown:
		return "\n  requests go on with the configuration in force; try again once the store answers"
	case api.CodeOutcomeUnknown:
		return "\n  settle it by running the same command again with --change " + p.ChangeID
	default:
		return ""
	}
}
