package peer

import (
	"testing"
	"time"

	"redwingpoint.org/redwingpoint/internal/keys"
	"redwingpoint.org/redwingpoint/internal/model"
)

// TestExchangesAreReported checks that both ends report a request with the same bytes and the
// location of the other.
func TestExchangesAreReported(t *testing.T) {
	ends := make(map[model.InstanceID]*Transport)
	reports := make(map[model.InstanceID]chan Exchange)
	for n, id := range []model.InstanceID{"praha-1", "brno-1"} {
		self := keys.Identity{Fleet: "gateways", Instance: id, Location: model.Location{Region: model.Region(id), FailureDomain: "a & b"}}
		c, err := keys.NewSelfSigned(self, time.Now)
		if err != nil {
			t.Fatal(err)
		}
		ends[id], _ = newTransport(t, 137+n, c)
		reported := make(chan Exchange, 1)
		ends[id].options.OnExchange = func(e Exchange) { reported <- e }
		ends[id].Start()
		reports[id] = reported
	}
	var response string
	if _, err := ends["praha-1"].CallAddr(t.Context(), ends["brno-1"].Addr(), OpReadObjects, "routes", &response); err != nil {
		t.Fatal(err)
	}
	asked, served := <-reports["praha-1"], <-reports["brno-1"]
	if asked.Op != OpReadObjects || served.Op != OpReadObjects || asked.Served || !served.Served {
		t.Errorf("reported %+v and %+v", asked, served)
	}
	if asked.Sent == 0 || asked.Received == 0 || asked.Sent != served.Received || asked.Received != served.Sent {
		t.Errorf("bytes sent and received: %d, %d and %d, %d", asked.Sent, asked.Received, served.Sent, served.Received)
	}
	if l := asked.Link.Location; l.Region != "brno-1" || l.FailureDomain != "a & b" {
		t.Errorf("the location of the asked peer is %+v", l)
	}
	if l := served.Link.Location; l.Region != "praha-1" || l.FailureDomain != "a & b" {
		t.Errorf("the location of the asking peer is %+v", l)
	}
}
