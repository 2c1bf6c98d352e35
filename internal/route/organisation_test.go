package route

import (
	"math"
	"testing"

	"redwingpoint.org/redwingpoint/internal/model"
)

func organisation(name string, keys ...string) Organisation {
	o := Organisation{Name: model.OrganisationName(name)}
	for _, key := range keys {
		o.Keys = append(o.Keys, DigestKey(key))
	}
	return o
}

// TestKeysOfBadEntriesOpenNothing checks what holds for entries that the operator should not
// have written: each key has one organisation or none.
func TestKeysOfBadEntriesOpenNothing(t *testing.T) {
	negative, notANumber, infinite := organisation("negative", "k-negative"), organisation("nan", "k-nan"), organisation("inf", "k-inf")
	negative.RatePerSecond, notANumber.Burst, infinite.RatePerSecond = -1, math.NaN(), math.Inf(1)
	unreadable := organisation("unreadable", "k-unreadable")
	unreadable.Problem = "the entry can't be read"
	config := Config{Revision: 1, KeysRequired: true, Organisations: []Organisation{
		organisation("one", "k-1", "k-1", "k-shared", ""),
		organisation("two", "k-2", "k-shared"),
		organisation("one", "k-3"),
		organisation("", "k-unnamed"),
		organisation("a\r\nb", "k-split"),
		negative, notANumber, infinite, unreadable,
	}}
	table, err := NewTable(config)
	if err != nil {
		t.Fatal(err)
	}
	again, err := NewTable(table.Config())
	if err != nil {
		t.Fatal(err)
	}
	for _, table := range []*Table{table, again} {
		for key, want := range map[string]model.OrganisationName{
			"k-1": "one", "k-2": "two", "k-shared": "", "": "", "k-3": "", "k-unnamed": "", "k-split": "",
			"k-negative": "", "k-nan": "", "k-inf": "", "k-unreadable": "", "unknown": "",
		} {
			var got model.OrganisationName
			if o := table.OrganisationOf(DigestKey(key)); o != nil {
				got = o.Name
			}
			if got != want {
				t.Errorf("key %q identifies %q, want %q", key, got, want)
			}
		}
	}
}
