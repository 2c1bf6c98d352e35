package replica

import (
	"strconv"
	"testing"

	"pgregory.net/rapid"
)

// partFor returns the next part of the sender's changes for the receiver.
func partFor(t rapid.TB, sender, receiver *Replica) Delta {
	d, err := sender.PartFor(receiver.Versions())
	if err != nil {
		t.Fatal(err)
	}
	return d
}

// TestInstancesConvergeOnThePeersList plays random registrations, removals, lists and
// exchanges, of which some are lost or come late. After a last exchange that compares all
// names, the receiver holds the sender's list; no entry is added that the sender lacks.
func TestInstancesConvergeOnThePeersList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sender, _ := newReplica()
		sender.Targets.partEntries = 3
		receiver, out := newReplica()
		stored := make(map[string]Object)
		revision := Position(1)
		list := func() Batch {
			batch := Batch{AsOf: revision}
			for _, o := range stored {
				batch.Objects = append(batch.Objects, o)
			}
			return batch
		}
		var late []Delta
		t.Repeat(map[string]func(*rapid.T){
			"register": func(t *rapid.T) {
				revision++
				name := strconv.Itoa(rapid.IntRange(0, 20).Draw(t, "name"))
				stored[name] = object(name, revision, "a")
				sender.Targets.Update(Batch{AsOf: revision, Objects: []Object{stored[name]}}, removeAtOnce)
			},
			"remove": func(t *rapid.T) {
				name := strconv.Itoa(rapid.IntRange(0, 20).Draw(t, "name"))
				revision++
				delete(stored, name)
				sender.Targets.Update(Batch{AsOf: revision, Objects: []Object{{Name: name, Revision: revision, Deleted: true}}}, removeAtOnce)
			},
			"sender lists":   func(*rapid.T) { sender.Targets.Replace(list(), removeAtOnce) },
			"receiver lists": func(*rapid.T) { receiver.Targets.Replace(list(), removeAtOnce) },
			"exchange":       func(*rapid.T) { receiver.Merge(sender.DeltaFor(receiver.Versions())) },
			"exchange is slow": func(*rapid.T) {
				late = append(late, sender.DeltaFor(receiver.Versions()))
			},
			"part":         func(t *rapid.T) { receiver.Merge(partFor(t, sender, receiver)) },
			"part is slow": func(t *rapid.T) { late = append(late, partFor(t, sender, receiver)) },
			"slow exchange ends": func(t *rapid.T) {
				if len(late) == 0 {
					t.Skip()
				}
				receiver.Merge(late[0])
				late = late[1:]
			},
			"": func(t *rapid.T) {
				own, peer := receiver.Versions(), sender.Versions()
				if own.AsOf == peer.AsOf && own.AsOf > 0 && own.Digest != peer.Digest {
					t.Fatalf("receiver has %+v, sender %+v", own, peer)
				}
			},
		})
		revision++
		sender.Targets.Update(Batch{AsOf: revision}, removeAtOnce)
		receiver.Merge(sender.DeltaFor(receiver.Versions()))
		if receiver.Versions() != sender.Versions() {
			t.Fatalf("receiver has %+v, sender %+v, lists %v", receiver.Versions(), sender.Versions(), out.lists)
		}
	})
}
