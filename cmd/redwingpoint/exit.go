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

// Exit codes of the command. Scripts depend on the values.
const (
	exitOK      = 0
	exitFailure = 1
	exitUsage   = 2
	// exitInvalid means that a configuration document or a settings file is invalid.
	exitInvalid = 3
	// exitConflict means that an edit conflicts with another change, states no base
	// revision, or has one that is no longer stored.
	exitConflict = 4
	// exitNotInForce means that a revision was accepted but some regions don't have it yet.
	exitNotInForce = 5
)

// usageError reports invalid command-line arguments or flags.
type usageError struct {
	Message string
	// Allowed lists the accepted values; empty if they can't be enumerated.
	Allowed []string
}

func (e *usageError) Error() string {
	if len(e.Allowed) == 0 {
		return e.Message
	}
	return e.Message + "; must be one of " + strings.Join(e.Allowed, ", ")
}

// notInForceError reports a revision that was accepted but is not yet in force in
// some regions.
type notInForceError struct{ Regions []string }

func (e *notInForceError) Error() string {
	return "accepted, but not in force in " + strings.Join(e.Regions, ", ") +
		"; it takes effect there once they are reachable: see redwingpoint config status"
}

// partialResultError reports output that lacks the events of some instances because
// requests to them failed.
type partialResultError struct{ Failed []string }

func (e *partialResultError) Error() string {
	return "no answer from " + strings.Join(e.Failed, ", ") + "; the output above lacks their events"
}

// exitCode returns the exit code for the result of a command.
func exitCode(err error) int {
	var usage *usageError
	var notInForce *notInForceError
	var problem *api.Problem
	var invalidDocument *config.InvalidError
	var invalidSettings *settings.InvalidError
	switch {
	case err == nil:
		return exitOK
	case errors.Is(err, flag.ErrHelp), errors.As(err, &usage):
		return exitUsage
	case errors.As(err, &invalidDocument), errors.As(err, &invalidSettings):
		return exitInvalid
	case errors.As(err, &notInForce):
		return exitNotInForce
	case errors.As(err, &problem):
		return problemExitCode(problem.Code)
	case strings.HasPrefix(err.Error(), flagParseError):
		return exitUsage
	default:
		return exitFailure
	}
}

// flagParseError is the prefix of the errors that ff returns for flags it can't
// parse; they have no type to match.
const flagParseError = "error parsing commandline arguments"

// problemExitCode returns the exit code for a problem that an instance reported.
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

// formatError returns the text of an error and, if known, advice on how to resolve it.
func formatError(err error) string {
	var problem *api.Problem
	var unreachable *client.UnreachableError
	switch {
	case errors.As(err, &problem):
		return problem.Detail + advice(problem)
	case errors.As(err, &unreachable):
		return err.Error() + "\n  try another instance with --operator"
	default:
		return err.Error()
	}
}

// advice returns how an operator can resolve a problem, as an indented line of its
// own; empty if there is nothing to advise.
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
