package vmlist_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/oleanderwall/oleanderwall/internal/blackboard"
	"github.com/oleanderwall/oleanderwall/internal/ids"
	"github.com/oleanderwall/oleanderwall/internal/standin"
	"github.com/oleanderwall/oleanderwall/internal/vmlist"
)

func oneTarget(state ids.VMState) []ids.VM {
	return []ids.VM{{ID: "target-1", Kind: ids.KindTarget, State: state, Service: "fitdesk"}}
}

func start(t *testing.T) (*standin.VMList, *blackboard.Board) {
	t.Helper()
	vl := standin.NewVMList(0)
	vl.Set(oneTarget(ids.StateLive))
	srv, err := standin.Serve("127.0.0.1:0", vl)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(srv.Close)
	board := &blackboard.Board{}
	po := vmlist.NewPoller(vmlist.New(srv.URL(), &http.Client{}), nil, board, 10*time.Millisecond, zerolog.Nop())
	po.Start()
	t.Cleanup(po.Close)
	return vl, board
}

func state(board *blackboard.Board) func() ids.VMState {
	return func() ids.VMState {
		vms := board.VMs.Load()
		if vms == nil || len(vms.Targets["fitdesk"]) == 0 {
			return ""
		}
		return vms.Targets["fitdesk"][0].State
	}
}

// TestLeavingStays guards against a leaving target that counts as live again
// because the list lags. A leaving target must get no new work.
func TestLeavingStays(t *testing.T) {
	gm := NewWithT(t)
	vl, board := start(t)
	gm.Eventually(state(board)).Should(Equal(ids.StateLive))
	vl.Set(oneTarget(ids.StateLeaving))
	gm.Eventually(state(board)).Should(Equal(ids.StateLeaving))
	vl.Set(oneTarget(ids.StateLive))
	gm.Consistently(state(board), "100ms").Should(Equal(ids.StateLeaving))
}

// TestOutageKeepsList guards against an outage of the service that empties the
// published list.
func TestOutageKeepsList(t *testing.T) {
	gm := NewWithT(t)
	vl, board := start(t)
	gm.Eventually(state(board)).Should(Equal(ids.StateLive))
	vl.SetFaults(standin.VMListFaults{Outage: true})
	gm.Consistently(state(board), "100ms").Should(Equal(ids.StateLive))
}

// TestUnchangedListUpdatesTime guards against a list whose time is not updated
// because the list has not changed. The proof that a VM is gone needs this time.
func TestUnchangedListUpdatesTime(t *testing.T) {
	gm := NewWithT(t)
	_, board := start(t)
	gm.Eventually(state(board)).Should(Equal(ids.StateLive))
	first := board.VMs.Load().Fetched
	gm.Eventually(func() bool { return board.VMs.Load().Fetched.After(first) }).Should(BeTrue())
}

// TestUnchangedListIsNotSent guards against a poll that transfers the whole
// list each time.
func TestUnchangedListIsNotSent(t *testing.T) {
	gm := NewWithT(t)
	vl := standin.NewVMList(0)
	vl.Set(oneTarget(ids.StateLive))
	srv, err := standin.Serve("127.0.0.1:0", vl)
	gm.Expect(err).NotTo(HaveOccurred())
	defer srv.Close()
	cl := vmlist.New(srv.URL(), &http.Client{})
	_, changed, err := cl.Fetch(context.Background())
	gm.Expect(err).NotTo(HaveOccurred())
	gm.Expect(changed).To(BeTrue())
	_, changed, err = cl.Fetch(context.Background())
	gm.Expect(err).NotTo(HaveOccurred())
	gm.Expect(changed).To(BeFalse())
	vl.Set(oneTarget(ids.StateLeaving))
	vms, changed, err := cl.Fetch(context.Background())
	gm.Expect(err).NotTo(HaveOccurred())
	gm.Expect(changed).To(BeTrue())
	gm.Expect(vms[0].State).To(Equal(ids.StateLeaving))
}
