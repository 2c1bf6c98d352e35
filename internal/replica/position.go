package replica

import (
	"fmt"
	"strconv"

	"go.uber.org/zap"
)

// revisionBits is the number of bits of a Position that hold the revision.
const revisionBits = 48

// Position is a place in the history of the store. Positions are ordered by the era, which
// rises each time the store returns from an older copy, and then by the revision, which the
// store gives out again in each era. Of era 0, a position is the revision. The zero value is
// before all others.
type Position uint64

// PositionError reports an era or a revision that a Position can't hold.
type PositionError struct{ Era, Revision uint64 }

func (e *PositionError) Error() string {
	return fmt.Sprintf("revision %d of era %d is out of range", e.Revision, e.Era)
}

// NewPosition returns the position of a revision of an era. The error is *PositionError.
func NewPosition(era, revision uint64) (Position, error) {
	if revision >= 1<<revisionBits || era >= 1<<(64-revisionBits) {
		return 0, &PositionError{Era: era, Revision: revision}
	}
	return Position(era<<revisionBits | revision), nil
}

// Era returns how often the store had returned from an older copy.
func (p Position) Era() uint64 { return uint64(p) >> revisionBits }

// Revision returns the store's revision, which identifies a position only with the era.
func (p Position) Revision() uint64 { return uint64(p) & (1<<revisionBits - 1) }

// String returns the revision, after the era if that isn't 0.
func (p Position) String() string {
	revision := strconv.FormatUint(p.Revision(), 10)
	if p.Era() == 0 {
		return revision
	}
	return strconv.FormatUint(p.Era(), 10) + ":" + revision
}

// Field returns a log field with the revision as a number, or with the String of a position
// of a later era.
func (p Position) Field(name string) zap.Field {
	if p.Era() == 0 {
		return zap.Uint64(name, p.Revision())
	}
	return zap.Stringer(name, p)
}
