package integration

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/oleanderwall/oleanderwall/internal/faultproxy"
	"github.com/oleanderwall/oleanderwall/internal/standin"
	"github.com/oleanderwall/oleanderwall/pkg/group"
)

// patchReply is the answer to a patch.
type patchReply struct {
	status  int
	Number  int64    `json:"number"`
	Current int64    `json:"present-number"`
	Changed []string `json:"changed-keys"`
	Faults  []struct {
		Key string `json:"key"`
	} `json:"faults"`
}

var errNoAnswer = errors.New("no answer")

// patch sends a patch that adds a team.
func (en *entryProcess) patch(lastSeen int64, id, team string) (patchReply, error) {
	return en.patchDocument(lastSeen, id, fmt.Sprintf(`{"teams":{%q:{"weight":1}}}`, team))
}

func (en *entryProcess) patchDocument(lastSeen int64, id, doc string) (patchReply, error) {
	raw := fmt.Sprintf(`{"last-seen":%d,"patch-id":%q,"author":"spec","patch":%s}`, lastSeen, id, doc)
	req, err := http.NewRequest(http.MethodPatch, "http://"+en.operators+"/v1/configuration", bytes.NewReader([]byte(raw)))
	if err != nil {
		return patchReply{}, err
	}
	rep, err := callerClient.Do(req)
	if err != nil {
		return patchReply{}, err
	}
	defer rep.Body.Close()
	out := patchReply{status: rep.StatusCode}
	if rep.StatusCode >= http.StatusInternalServerError {
		return out, errNoAnswer
	}
	return out, json.NewDecoder(rep.Body).Decode(&out)
}

// entryStatus is the part of /v1/status that the specs read.
type entryStatus struct {
	Ready   bool   `json:"ready"`
	Reason  string `json:"not-ready-reason"`
	Number  int64  `json:"configuration-number"`
	Source  string `json:"configuration-source"`
	Table   bool   `json:"table-reachable"`
	Members []struct {
		ID     string `json:"entry-id"`
		State  string `json:"state"`
		Reason string `json:"gone-reason"`
		Number int64  `json:"configuration-number"`
	} `json:"members"`
}

func (en *entryProcess) status() entryStatus {
	var out entryStatus
	_ = json.Unmarshal([]byte(en.get("/v1/status")), &out)
	return out
}

func (en *entryProcess) configurationNumber() int64 { return en.status().Number }

// awaitFirstNumber returns the first configuration number that is in force after
// a start.
func (en *entryProcess) awaitFirstNumber() int64 {
	var out struct {
		Number *int64 `json:"number"`
	}
	Eventually(func() *int64 {
		_ = json.Unmarshal([]byte(en.get("/v1/configuration")), &out)
		return out.Number
	}, "5s", "5ms").ShouldNot(BeNil())
	return *out.Number
}

func (cl *cluster) awaitNumber(number int64, entries ...*entryProcess) {
	for _, en := range entries {
		Eventually(en.configurationNumber, "4s", "20ms").Should(Equal(number), en.id)
	}
}

var _ = Describe("the configuration", func() {
	// Guards against a patch that is applied twice or lost when operators race
	// and replies are lost after the write has taken effect.
	It("accepts each patch of ten racing operators exactly once", func() {
		cl := startCluster(clusterOptions{fleet: defaultFleet(), zones: threeZones()})
		cl.fleet.Table.SetFaults(standin.TableFaults{DropReplies: 0.4})
		const operators, patches = 10, 3
		var failed atomic.Int64
		ops := group.New(context.Background())
		for i := range operators {
			ops.Go(func(context.Context) {
				seen := int64(1)
				for k := range patches {
					name := fmt.Sprintf("team-%d-%d", i, k)
					var ok bool
					if seen, ok = patchUntilAccepted(cl, i, seen, name); !ok {
						failed.Add(1)
					}
				}
			})
		}
		Eventually(func() bool { return int64(len(readHistory(cl.entries[0]))) == 1+operators*patches }, "20s", "50ms").Should(BeTrue())
		ops.Close()
		Expect(failed.Load()).To(BeZero())
		cl.fleet.Table.SetFaults(standin.TableFaults{})
		records := readHistory(cl.entries[0])
		Expect(records).To(HaveLen(1 + operators*patches))
		unique := map[string]bool{}
		for i, rec := range records {
			Expect(rec.Number).To(Equal(int64(i + 1)))
			unique[rec.ID] = true
		}
		Expect(unique).To(HaveLen(len(records)))
		cl.awaitNumber(int64(len(records)), cl.entries...)
		for i := range operators {
			Expect(cl.entries[2].get("/v1/configuration")).To(ContainSubstring(fmt.Sprintf("team-%d-%d", i, patches-1)))
		}
	})

	// Guards against effects of stale reads: a resent patch that counts as lost,
	// a wrong current number, and a restart at a lower number.
	It("stays correct while the table serves stale reads", func() {
		cl := startCluster(clusterOptions{fleet: defaultFleet(), zones: threeZones()})
		cl.awaitNumber(1, cl.entries...)
		cl.fleet.Table.SetFaults(standin.TableFaults{StaleReads: true})
		for range 2 {
			rep, err := cl.entries[0].patch(1, "stale-1", "one")
			Expect(err).NotTo(HaveOccurred())
			Expect(rep.status).To(Equal(http.StatusOK), "%+v", rep)
			Expect(rep.Number).To(Equal(int64(2)))
		}
		rep, err := cl.entries[1].patch(2, "stale-2", "two")
		Expect(err).NotTo(HaveOccurred())
		Expect(rep.status).To(Equal(http.StatusOK), "%+v", rep)
		cl.awaitNumber(3, cl.entries...)
		rep, err = cl.entries[2].patch(1, "stale-3", "three")
		Expect(err).NotTo(HaveOccurred())
		Expect(rep.status).To(Equal(http.StatusConflict))
		Expect(rep.Current).To(Equal(int64(3)))
		Expect(rep.Changed).To(ConsistOf("teams"))
		cl.entries[2].kill()
		cl.entries[2].start()
		Expect(cl.entries[2].awaitFirstNumber()).To(Equal(int64(3)))
	})

	// Guards against a new entry that does not become ready, or becomes ready
	// with an old configuration, while the table is down.
	It("adopts the configuration of its peers when it restarts during an outage of the table", func() {
		cl := startCluster(clusterOptions{fleet: defaultFleet(), zones: threeZones()})
		_, err := cl.entries[0].patch(1, "outage", "one")
		Expect(err).NotTo(HaveOccurred())
		cl.awaitNumber(2, cl.entries...)
		cl.fleet.Table.SetFaults(standin.TableFaults{Outage: true})
		cl.entries[1].kill()
		cl.entries[1].start()
		cl.entries[1].awaitReady()
		st := cl.entries[1].status()
		Expect(st.Number).To(Equal(int64(2)))
		Expect(st.Source).To(Equal("peer"))
		Expect(st.Table).To(BeFalse())
		// Without the table and without a peer, the entry has no configuration.
		cl.entries[0].kill()
		cl.entries[2].kill()
		cl.entries[1].kill()
		cl.entries[1].start()
		Eventually(func() string { return cl.entries[1].status().Reason }, "2s", "20ms").Should(ContainSubstring("no configuration"))
		Consistently(func() string { return cl.entries[1].status().Reason }, "1500ms", "100ms").Should(ContainSubstring("no configuration"))
		cl.fleet.Table.SetFaults(standin.TableFaults{})
		Expect(cl.entries[1].awaitFirstNumber()).To(Equal(int64(2)))
	})

	// Guards against an entry that keeps an old configuration when it can reach
	// only the table or only its peers.
	It("takes effect within 4 s through the table alone and through peers alone", func() {
		cl := startCluster(clusterOptions{fleet: defaultFleet(), zones: threeZones()})
		cl.awaitNumber(1, cl.entries...)
		cl.entries[1].table.SetFaults(faultproxy.Faults{Freeze: true})
		_, err := cl.entries[0].patch(1, "peers-alone", "one")
		Expect(err).NotTo(HaveOccurred())
		cl.awaitNumber(2, cl.entries...)
		cl.entries[1].table.SetFaults(faultproxy.Faults{})
		for _, en := range cl.entries {
			en.peer.SetFaults(faultproxy.Faults{Cut: true})
		}
		_, err = cl.entries[0].patch(2, "table-alone", "two")
		Expect(err).NotTo(HaveOccurred())
		cl.awaitNumber(3, cl.entries...)
	})

	// Guards against a refusal that names only the first fault, and against a
	// change that the history or the diff omits.
	It("lists every fault, the history and the difference of two versions", func() {
		cl := startCluster(clusterOptions{fleet: defaultFleet(), zones: threeZones()[:1]})
		rep, err := cl.entries[0].patchDocument(1, "bad",
			`{"services":{"fitdesk":{"slots":0,"colour":1}},"teams":{"a":{"weight":"x"}},"other":true}`)
		Expect(err).NotTo(HaveOccurred())
		Expect(rep.status).To(Equal(http.StatusUnprocessableEntity))
		var keys []string
		for _, ft := range rep.Faults {
			keys = append(keys, ft.Key)
		}
		Expect(keys).To(ConsistOf("other", "services.fitdesk.colour", "services.fitdesk.slots", "teams.a.weight"))
		_, err = cl.entries[0].patchDocument(1, "good", `{"services":{"fitdesk":{"slots":4}}}`)
		Expect(err).NotTo(HaveOccurred())
		out, err := command("config", "diff", "-entry", "http://"+cl.entries[0].operators, "-from", "1", "-to", "2")
		Expect(err).NotTo(HaveOccurred())
		Expect(out).To(ContainSubstring("services.fitdesk.slots: 8 -> 4"))
	})
})

type historyRecord struct {
	Number int64  `json:"number"`
	ID     string `json:"patch-id"`
}

func readHistory(en *entryProcess) []historyRecord {
	var out []historyRecord
	_ = json.Unmarshal([]byte(en.get("/v1/configuration/history")), &out)
	return out
}

// patchUntilAccepted sends a patch until it is accepted. After a lost reply it
// resends the same id; after a conflict it resends with the current number.
func patchUntilAccepted(cl *cluster, i int, seen int64, name string) (int64, bool) {
	for try := 0; try < 300; try++ {
		rep, err := cl.entries[(i+try)%len(cl.entries)].patch(seen, "id-"+name, name)
		switch {
		case err != nil:
			time.Sleep(10 * time.Millisecond)
		case rep.status == http.StatusOK:
			return rep.Number, true
		case rep.status == http.StatusConflict:
			seen = rep.Current
		default:
			return seen, false
		}
	}
	return seen, false
}
