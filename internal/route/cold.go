package route

import (
	"fmt"
	"time"
)

const (
	// maxColdPerSecond is the largest limit of cold targets, in requests a second, that is
	// kept; a target takes fewer when it is warm.
	maxColdPerSecond = 1e6
	// maxColdStart bounds the time for which a target is cold after its start.
	maxColdStart = 10 * time.Minute
)

// boundCold bounds the figures for cold targets and returns what was wrong with them, or "". A
// negative limit counts as none, a negative time as unknown.
func (s *Service) boundCold() (problem string) {
	perSecond, start := s.ColdPerSecond, s.ColdStart
	s.ColdPerSecond = min(max(perSecond, 0), maxColdPerSecond)
	s.ColdStart = min(max(start, 0), maxColdStart)
	if s.ColdPerSecond == perSecond && s.ColdStart == start {
		return ""
	}
	return fmt.Sprintf("service %s: cold targets take %v requests a second for %v; counted as %v for %v",
		s.Name, perSecond, start, s.ColdPerSecond, s.ColdStart)
}
