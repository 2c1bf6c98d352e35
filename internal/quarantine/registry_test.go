package quarantine

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"redwingpoint.org/redwingpoint/internal/model"
)

const request Fingerprint = "f"

func (r *Registry) found(f Fingerprint) bool {
	_, found := r.Find(f)
	return found
}

// TestRequestIsQuarantinedUnderTheSecondProcess also checks that two reports of one process
// count once and that the quarantine ends.
func TestRequestIsQuarantinedUnderTheSecondProcess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var r Registry
		var quarantined []Mark
		r.OnQuarantine = func(m Mark) { quarantined = append(quarantined, m) }
		r.ReportEnd(request, "a@1")
		r.ReportEnd(request, "a@1")
		if r.found(request) {
			t.Error("quarantined under one process")
		}
		r.ReportEnd(request, "a@2")
		r.ReportEnd(request, "b@1")
		if !r.found(request) || r.found("another") || len(quarantined) != 1 || r.QuarantinedCount() != 1 {
			t.Errorf("found %v, reported %v", r.found(request), quarantined)
		}
		time.Sleep(Duration)
		if r.found(request) {
			t.Error("still quarantined")
		}
		if r.ChangedSince(0); !r.Empty() {
			t.Error("the expired mark is kept")
		}
	})
}

// TestSuccessClearsBystander guards against the quarantine of frequent requests, which are
// often in flight at targets that end for another reason.
func TestSuccessClearsBystander(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var here, there Registry
		here.ReportEnd(request, "a")
		marks, _ := here.ReportedSince(0)
		there.Merge(marks)
		there.ReportSuccess(request)
		there.ReportSuccess("unknown")
		here.ReportEnd(request, "b")
		marks, _ = there.ReportedSince(0)
		here.Merge(marks)
		marks, _ = here.ChangedSince(0)
		there.Merge(marks)
		here.ReportEnd(request, "c")
		if here.found(request) || there.found(request) {
			t.Error("a request to which a target responded is quarantined")
		}
		time.Sleep(clearedTTL)
		here.ReportEnd(request, "c")
		here.ReportEnd(request, "d")
		if !here.found(request) {
			t.Error("a request that ends targets later is not quarantined")
		}
	})
}

// TestIsolatedInstanceQuarantinesUnderTheFirstProcess guards against isolated instances that
// together end many targets, since none learns of the others' reports.
func TestIsolatedInstanceQuarantinesUnderTheFirstProcess(t *testing.T) {
	isolated := true
	r := Registry{Isolated: func() bool { return isolated }}
	r.ReportEnd(request, "a")
	if !r.found(request) {
		t.Error("not quarantined while isolated")
	}
	isolated = false
	if r.found(request) {
		t.Error("still quarantined after the contact to others")
	}
}

// TestMarksAreBounded checks that reports beyond the limit replace the oldest ones.
func TestMarksAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var r Registry
		for n := range maxMarks + 10 {
			r.ReportEnd(Fingerprint(fmt.Sprint(n)), "a")
			time.Sleep(time.Millisecond)
		}
		marks, _ := r.ChangedSince(0)
		if len(marks) != maxMarks || slices.ContainsFunc(marks, func(m Mark) bool { return m.Fingerprint == "0" }) {
			t.Errorf("%d marks, limit %d", len(marks), maxMarks)
		}
	})
}

// TestMergeIsOrderIndependent checks that instances that receive the same reports in any
// order and number hold the same marks.
func TestMergeIsOrderIndependent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		reports := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Mark {
			m := Mark{Fingerprint: request, TTLMillis: 1000, Cleared: rapid.IntRange(0, 5).Draw(t, "cleared") == 0}
			if !m.Cleared {
				m.Ended = []model.ProcessID{model.ProcessID(rapid.StringMatching("[a-d]").Draw(t, "process"))}
			}
			return m
		}), 1, 8).Draw(t, "reports")
		var a, b Registry
		a.Merge(reports)
		b.Merge(rapid.Permutation(reports).Draw(t, "order"))
		b.Merge(reports)
		inA, _ := a.ChangedSince(0)
		inB, _ := b.ChangedSince(0)
		if len(inA) != 1 || len(inB) != 1 || !slices.Equal(inA[0].Ended, inB[0].Ended) || inA[0].Cleared != inB[0].Cleared {
			t.Errorf("%v and %v", inA, inB)
		}
	})
}
