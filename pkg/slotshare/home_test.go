package slotshare_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/oleanderwall/oleanderwall/pkg/slotshare"
)

const (
	targetSlots = 8
	useTerm     = 2 * time.Second
	margin      = time.Second
	// driftPerMille limits how much faster or slower than real time a clock
	// runs.
	driftPerMille = 5
	longestRun    = margin - (useTerm+margin)*2*driftPerMille/1000 - time.Millisecond
)

// mutation is a fault seeded into the model. The property must find it.
type mutation string

const (
	noMutation       mutation = ""
	ignoreMargin     mutation = "the home forgets the margin"
	countFromReply   mutation = "the borrower counts from the reply"
	acceptAnyReply   mutation = "the borrower applies the reply to an old message"
	omitSlotsInUse   mutation = "the borrower states its allowance without the slots in use"
	skipTakeoverWait mutation = "a new home does not wait for loans of the old one"
	fullAllowance    mutation = "every process assumes the whole target"
	processes                 = 4
	stepsPerTrial             = 80
)

type process struct {
	id       string
	clock    slotshare.Clock
	gate     *slotshare.Gate
	borrower *slotshare.Borrower
	toHome   int
	started  []time.Duration
}

type request struct {
	from, home int
	id         string
	number     uint64
	sent       time.Duration
	keep, want int
	replied    bool
	granted    int
	borrower   *slotshare.Borrower
}

// model is one target with a home, borrowers and messages in transit.
type model struct {
	now      time.Duration
	mut      mutation
	terms    slotshare.Terms
	procs    []*process
	home     *slotshare.Home[string]
	homeProc int
	homeGen  int
	messages []*request
	created  int
}

func newModel(tt *rapid.T, mut mutation) *model {
	mo := &model{mut: mut, terms: slotshare.Terms{Use: useTerm, Margin: margin}}
	for range processes {
		mo.procs = append(mo.procs, mo.newProcess(tt))
	}
	mo.becomeHome(0, 0)
	return mo
}

func (mo *model) newProcess(tt *rapid.T) *process {
	mo.created++
	offset := time.Duration(rapid.IntRange(0, 1000).Draw(tt, "offset")) * time.Second
	drift := time.Duration(rapid.IntRange(-driftPerMille, driftPerMille).Draw(tt, "drift"))
	clock := func() time.Duration { return offset + mo.now + mo.now*drift/1000 }
	pr := &process{id: fmt.Sprint("process-", mo.created), clock: clock, toHome: -1}
	pr.gate = slotshare.NewGateWithClock(0, clock)
	if mo.mut == fullAllowance {
		pr.gate.SetAllowance(targetSlots)
	}
	return pr
}

func (mo *model) becomeHome(i int, wait time.Duration) {
	pr := mo.procs[i]
	terms := mo.terms
	if mo.mut == ignoreMargin {
		terms.Margin = 0
	}
	if mo.mut == skipTakeoverWait {
		wait = 0
	}
	mo.homeGen++
	mo.homeProc = i
	mo.home = slotshare.NewHome[string](pr.gate, targetSlots, terms, pr.clock, pr.clock()+wait)
}

func (mo *model) send(i, want int) {
	pr := mo.procs[i]
	if i == mo.homeProc || len(mo.messages) > 30 {
		return
	}
	if pr.toHome != mo.homeGen {
		pr.toHome = mo.homeGen
		pr.borrower = slotshare.NewBorrower(mo.terms, pr.clock)
	}
	msg := &request{from: i, home: mo.homeGen, id: pr.id, want: want, borrower: pr.borrower}
	msg.number, msg.sent = pr.borrower.Begin(), pr.clock()
	msg.keep = slotshare.Keep(pr.gate, want)
	if mo.mut == omitSlotsInUse {
		msg.keep, _ = pr.gate.Allowance()
	}
	mo.messages = append(mo.messages, msg)
}

// deliver delivers a request or a reply. A message that is to be repeated stays
// in transit.
func (mo *model) deliver(at int, ownFloor int, repeat bool) {
	if len(mo.messages) == 0 {
		return
	}
	at %= len(mo.messages)
	msg := mo.messages[at]
	if !repeat {
		mo.messages = append(mo.messages[:at:at], mo.messages[at+1:]...)
	}
	if !msg.replied {
		if msg.home != mo.homeGen {
			return
		}
		if granted, ok := mo.home.Exchange(msg.id, msg.number, msg.keep, msg.want, ownFloor); ok {
			rep := *msg
			rep.replied, rep.granted = true, granted
			mo.messages = append(mo.messages, &rep)
		}
		return
	}
	mo.apply(msg)
}

func (mo *model) apply(msg *request) {
	pr := mo.procs[msg.from]
	if pr.id != msg.id || pr.borrower != msg.borrower || msg.from == mo.homeProc {
		return
	}
	deadline, ok := msg.borrower.Accept(msg.number)
	if mo.mut == acceptAnyReply {
		deadline, ok = msg.sent+useTerm, true
	}
	if mo.mut == countFromReply {
		deadline = pr.clock() + useTerm
	}
	if ok {
		pr.gate.SetLoan(msg.granted, deadline)
	}
}

func (mo *model) advance(by time.Duration) {
	mo.now += by
	for _, pr := range mo.procs {
		for len(pr.started) > 0 && mo.now-pr.started[0] > longestRun {
			pr.started = pr.started[1:]
			pr.gate.Release()
		}
	}
}

func (mo *model) acquire(i, n int) {
	pr := mo.procs[i]
	for range n {
		if pr.gate.TryAcquire() {
			pr.started = append(pr.started, mo.now)
		}
	}
}

// restart replaces a process by a new one. The requests of the old process end
// with its connections.
func (mo *model) restart(tt *rapid.T, i int, forget bool) {
	old := mo.procs[i].id
	mo.procs[i] = mo.newProcess(tt)
	if i == mo.homeProc {
		mo.becomeHome(rapid.IntRange(0, processes-1).Draw(tt, "new-home"), mo.terms.Outstanding()*(1000+2*driftPerMille)/1000)
	} else if forget {
		mo.home.RemoveBorrower(old)
	}
}

func (mo *model) handOver(to int) {
	mo.home.Drain()
	if !mo.home.Idle() {
		return
	}
	mo.becomeHome(to, 0)
}

func (mo *model) step(tt *rapid.T) {
	i := rapid.IntRange(0, processes-1).Draw(tt, "process")
	n := rapid.IntRange(0, targetSlots).Draw(tt, "slots")
	switch rapid.IntRange(0, 12).Draw(tt, "action") {
	case 0, 1, 2:
		mo.send(i, n)
	case 3, 4, 5:
		mo.deliver(rapid.IntRange(0, 29).Draw(tt, "message"), rapid.IntRange(0, 3).Draw(tt, "floor"), rapid.IntRange(0, 4).Draw(tt, "repeat") == 0)
	case 6, 7:
		mo.acquire(i, n)
	case 8:
		mo.advance(time.Duration(rapid.IntRange(1, 3000).Draw(tt, "millis")) * time.Millisecond)
	case 9:
		mo.advance(time.Duration(rapid.IntRange(1, 300).Draw(tt, "millis")) * time.Millisecond)
	case 10:
		if n < 2 {
			mo.restart(tt, i, n == 0)
		}
	case 11:
		mo.home.Refresh()
	case 12:
		if n < 3 {
			mo.handOver(i)
		} else {
			mo.home.Resume()
		}
	}
}

// run returns an error that describes the first state in which the processes
// may use more slots than the target has.
func run(tt *rapid.T, mut mutation) error {
	mo := newModel(tt, mut)
	for step := range stepsPerTrial {
		mo.step(tt)
		sum, texts := 0, []string{}
		for _, pr := range mo.procs {
			slots, used := pr.gate.Allowance()
			sum += max(slots, used)
			texts = append(texts, fmt.Sprintf("%s may use %d and uses %d", pr.id, slots, used))
		}
		if sum > targetSlots {
			return fmt.Errorf("step %d: %d slots of %d: %s", step, sum, targetSlots, strings.Join(texts, "; "))
		}
	}
	return nil
}

// TestSlotsNeverExceedTarget guards against two processes that use the same
// slot when messages are lost, delayed, reordered or repeated, clocks drift, or
// processes restart.
func TestSlotsNeverExceedTarget(t *testing.T) {
	rapid.Check(t, func(tt *rapid.T) {
		if err := run(tt, noMutation); err != nil {
			tt.Fatal(err)
		}
	})
	if seed, fault := firstFault(noMutation); fault != "" {
		t.Errorf("seed %d: %s", seed, fault)
	}
}

// firstFault tries the same number of seeds for the correct implementation as
// for each mutation.
func firstFault(mut mutation) (int, string) {
	const trials = 600
	trial := rapid.Custom(func(tt *rapid.T) string {
		if err := run(tt, mut); err != nil {
			return err.Error()
		}
		return ""
	})
	for seed := range trials {
		if fault := trial.Example(seed); fault != "" {
			return seed, fault
		}
	}
	return 0, ""
}

// TestPropertyFindsSeededFaults guards against a property that also holds for a
// faulty implementation.
func TestPropertyFindsSeededFaults(t *testing.T) {
	for _, mut := range []mutation{ignoreMargin, countFromReply, acceptAnyReply, omitSlotsInUse, skipTakeoverWait, fullAllowance} {
		t.Run(string(mut), func(t *testing.T) {
			seed, fault := firstFault(mut)
			t.Logf("seed %d: %s", seed, fault)
			NewWithT(t).Expect(fault).NotTo(BeEmpty())
		})
	}
}

// TestLendingFollowsDemand guards against a home that is safe only because it
// lends nothing, and against lent slots that are never returned.
func TestLendingFollowsDemand(t *testing.T) {
	gm := NewWithT(t)
	now := time.Duration(0)
	clock := func() time.Duration { return now }
	gate := slotshare.NewGateWithClock(0, clock)
	terms := slotshare.Terms{Use: useTerm, Margin: margin}
	home := slotshare.NewHome[string](gate, targetSlots, terms, clock, 0)
	for range 4 {
		gm.Expect(gate.TryAcquire()).To(BeTrue())
	}
	exchange := func(number uint64, keep, want int) int {
		granted, ok := home.Exchange("borrower", number, keep, want, 1)
		gm.Expect(ok).To(BeTrue())
		return granted
	}
	gm.Expect(exchange(1, 0, 6)).To(Equal(4), "the home is still using four slots")
	gate.Release()
	gate.Release()
	gm.Expect(gate.TryAcquire()).To(BeFalse(), "released slots are kept free for the borrower")
	gm.Expect(exchange(2, 4, 6)).To(Equal(6))
	gm.Expect(exchange(3, 6, 3)).To(Equal(3))
	gm.Expect(home.Lent()).To(Equal(6), "a recalled slot counts as lent until the borrower confirms")
	gm.Expect(exchange(4, 3, 3)).To(Equal(3))
	slots, _ := gate.Allowance()
	gm.Expect(slots).To(Equal(5))
	now += terms.Outstanding() - 1
	home.Refresh()
	gm.Expect(home.Lent()).To(Equal(3))
	now++
	home.Refresh()
	gm.Expect(home.Lent()).To(Equal(0))
}

// TestApportion guards against parts that exceed the slots or the demand, and
// against unassigned slots while there is unmet demand.
func TestApportion(t *testing.T) {
	for _, row := range []struct {
		name   string
		slots  int
		claims []slotshare.Claim
		parts  []int
	}{
		{"enough for all", 8, []slotshare.Claim{{4, 3}, {4, 2}}, []int{3, 2}},
		{"by size", 9, []slotshare.Claim{{4, 20}, {2, 20}}, []int{6, 3}},
		{"a small demand leaves slots to others", 8, []slotshare.Claim{{4, 1}, {4, 20}}, []int{1, 7}},
		{"no claim", 8, nil, []int{}},
		{"size zero counts as one", 4, []slotshare.Claim{{0, 9}, {1, 9}}, []int{2, 2}},
	} {
		t.Run(row.name, func(t *testing.T) {
			NewWithT(t).Expect(slotshare.Apportion(row.slots, row.claims)).To(Equal(row.parts))
		})
	}
}
