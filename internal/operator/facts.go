package operator

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"redwingpoint.org/redwingpoint/internal/fleet"
	"redwingpoint.org/redwingpoint/internal/model"
	"redwingpoint.org/redwingpoint/internal/operator/api"
)

// quarantineFact is the value of a fleet.FactQuarantine.
type quarantineFact struct {
	Service model.ServiceName `cbor:"1,keyasint"`
	Request model.RequestID   `cbor:"2,keyasint"`
	First   model.TargetID    `cbor:"3,keyasint"`
	Second  model.TargetID    `cbor:"4,keyasint"`
	Lifted  bool              `cbor:"5,keyasint,omitempty"`
}

// liftMemory is how long the end of a quarantine is remembered; it outlasts
// every quarantine.
const liftMemory = 10 * time.Minute

func quarantined(board fleet.Board) []api.Quarantined {
	out := []api.Quarantined{}
	board.Each(fleet.FactQuarantine, func(f fleet.Fact) {
		var v quarantineFact
		if cbor.Unmarshal(f.Value, &v) != nil || v.Lifted {
			return
		}
		out = append(out, api.Quarantined{
			Fingerprint: f.Key,
			Service:     v.Service,
			Request:     v.Request,
			Targets:     []model.TargetID{v.First, v.Second},
			Until:       time.UnixMilli(f.Expires).UTC(),
		})
	})
	return out
}

func lift(board fleet.Board, fingerprint string) error {
	raw, err := cbor.Marshal(quarantineFact{Lifted: true})
	if err != nil {
		return err
	}
	board.Publish(fleet.FactQuarantine, fingerprint, raw, liftMemory)
	return nil
}
