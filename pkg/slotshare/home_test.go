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
	// driftPerMille limits how much faster or slower than real time a clock runs.
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
	id      string
	clock   slotshare.Clock
	gate    *slotshare.Gate
	stream  *slotshare.Borrower
	toHome  int
	started []time.Duration
}

type request struct {
	from, home int
	id         string
	number     uint64
	sent       time.Duration
	keep, want int
	replied    bool
	granted    int
	stream     *slotshare.Borrower
}

// world is the model: one target with a home, borrowers and messages in transit.
type world struct {
	now      time.Duration
	mut      mutation
	terms    slotshare.Terms
	procs    []*process
	home     *slotshare.Home[string]
	homeProc int
	homeGen  int
	messages []*request
	born     int
}

func newWorld(tt *rapid.T, mut mutation) *world {
	wo := &world{mut: mut, terms: slotshare.Terms{Use: useTerm, Margin: margin}}
	for range processes {
		wo.procs = append(wo.procs, wo.newProcess(tt))
	}
	wo.takeHome(0, 0)
	return wo
}

func (wo *world) newProcess(tt *rapid.T) *process {
	wo.born++
	offset := time.Duration(rapid.IntRange(0, 1000).Draw(tt, "offset")) * time.Second
	drift := time.Duration(rapid.IntRange(-driftPerMille, driftPerMille).Draw(tt, "drift"))
	clock := func() time.Duration { return offset + wo.now + wo.now*drift/1000 }
	pr := &process{id: fmt.Sprint("process-", wo.born), clock: clock, toHome: -1}
	pr.gate = slotshare.NewGateWithClock(0, clock)
	if wo.mut == fullAllowance {
		pr.gate.SetAllowance(targetSlots)
	}
	return pr
}

func (wo *world) takeHome(i int, wait time.Duration) {
	pr := wo.procs[i]
	terms := wo.terms
	if wo.mut == ignoreMargin {
		terms.Margin = 0
	}
	if wo.mut == skipTakeoverWait {
		wait = 0
	}
	wo.homeGen++
	wo.homeProc = i
	wo.home = slotshare.NewHome[string](pr.gate, targetSlots, terms, pr.clock, pr.clock()+wait)
}

func (wo *world) send(i, want int) {
	pr := wo.procs[i]
	if i == wo.homeProc || len(wo.messages) > 30 {
		return
	}
	if pr.toHome != wo.homeGen {
		pr.toHome = wo.homeGen
		pr.stream = slotshare.NewBorrower(wo.terms, pr.clock)
	}
	msg := &request{from: i, home: wo.homeGen, id: pr.id, want: want, stream: pr.stream}
	msg.number, msg.sent = pr.stream.Begin(), pr.clock()
	msg.keep = slotshare.Keep(pr.gate, want)
	if wo.mut == omitSlotsInUse {
		msg.keep, _ = pr.gate.Allowance()
	}
	wo.messages = append(wo.messages, msg)
}

// deliver delivers a request or a reply. A message that is to be repeated stays
// in transit.
func (wo *world) deliver(at int, ownFloor int, repeat bool) {
	if len(wo.messages) == 0 {
		return
	}
	at %= len(wo.messages)
	msg := wo.messages[at]
	if !repeat {
		wo.messages = append(wo.messages[:at:at], wo.messages[at+1:]...)
	}
	if !msg.replied {
		if msg.home != wo.homeGen {
			return
		}
		if granted, ok := wo.home.Exchange(msg.id, msg.number, msg.keep, msg.want, ownFloor); ok {
			rep := *msg
			rep.replied, rep.granted = true, granted
			wo.messages = append(wo.messages, &rep)
		}
		return
	}
	wo.apply(msg)
}

func (wo *world) apply(msg *request) {
	pr := wo.procs[msg.from]
	if pr.id != msg.id || pr.stream != msg.stream || msg.from == wo.homeProc {
		return
	}
	deadline, ok := msg.stream.Accept(msg.number)
	if wo.mut == acceptAnyReply {
		deadline, ok = msg.sent+useTerm, true
	}
	if wo.mut == countFromReply {
		deadline = pr.clock() + useTerm
	}
	if ok {
		pr.gate.SetLoan(msg.granted, deadline)
	}
}

func (wo *world) advance(by time.Duration) {
	wo.now += by
	for _, pr := range wo.procs {
		for len(pr.started) > 0 && wo.now-pr.started[0] > longestRun {
			pr.started = pr.started[1:]
			pr.gate.Release()
		}
	}
}

func (wo *world) acquire(i, n int) {
	pr := wo.procs[i]
	for range n {
		if pr.gate.TryAcquire() {
			pr.started = append(pr.started, wo.now)
		}
	}
}

// restart replaces a process by a new one. The requests of the old process end
// with its connections.
func (wo *world) restart(tt *rapid.T, i int, forget bool) {
	old := wo.procs[i].id
	wo.procs[i] = wo.newProcess(tt)
	if i == wo.homeProc {
		wo.takeHome(rapid.IntRange(0, processes-1).Draw(tt, "new-home"), wo.terms.Outstanding()*(1000+2*driftPerMille)/1000)
	} else if forget {
		wo.home.RemoveBorrower(old)
	}
}

func (wo *world) handOver(to int) {
	wo.home.Drain()
	if !wo.home.Idle() {
		return
	}
	wo.takeHome(to, 0)
}

func (wo *world) step(tt *rapid.T) {
	i := rapid.IntRange(0, processes-1).Draw(tt, "process")
	n := rapid.IntRange(0, targetSlots).Draw(tt, "slots")
	switch rapid.IntRange(0, 12).Draw(tt, "action") {
	case 0, 1, 2:
		wo.send(i, n)
	case 3, 4, 5:
		wo.deliver(rapid.IntRange(0, 29).Draw(tt, "message"), rapid.IntRange(0, 3).Draw(tt, "floor"), rapid.IntRange(0, 4).Draw(tt, "repeat") == 0)
	case 6, 7:
		wo.acquire(i, n)
	case 8:
		wo.advance(time.Duration(rapid.IntRange(1, 3000).Draw(tt, "millis")) * time.Millisecond)
	case 9:
		wo.advance(time.Duration(rapid.IntRange(1, 300).Draw(tt, "millis")) * time.Millisecond)
	case 10:
		if n < 2 {
			wo.restart(tt, i, n == 0)
		}
	case 11:
		wo.home.Refresh()
	case 12:
		if n < 3 {
			wo.handOver(i)
		} else {
			wo.home.Resume()
		}
	}
}

// run returns an error that describes the first state in which the processes may
// use more slots than the target has.
func run(tt *rapid.T, mut mutation) error {
	wo := newWorld(tt, mut)
	for step := range stepsPerTrial {
		wo.step(tt)
		sum, texts := 0, []string{}
		for _, pr := range wo.procs {
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

// TestSlotsNeverExceedTarget guards against two processes that use the same slot
// when messages are lost, delayed, reordered or repeated, clocks drift, or
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

// firstFault tries the same number of seeds for the correct implementation as for
// each mutation.
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
