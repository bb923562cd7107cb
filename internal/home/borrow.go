package home

import (
	"context"
	"sort"
	"time"

	"github.com/oleanderwall/oleanderwall/internal/ids"
	"github.com/oleanderwall/oleanderwall/pkg/slotshare"
)

// stream is the state of this entry's message exchange with one home.
type stream struct {
	borrower  *slotshare.Borrower
	createdAt time.Duration
	sentAt    time.Duration
	inFlight  bool
	// askAfter is the earliest time at which this home is asked for more slots.
	askAfter time.Duration
}

const (
	// renewInterval is the interval between renewals of loans. Terms.Use covers
	// four renewals.
	renewInterval = 500 * time.Millisecond
	// minInterval limits the messages to one home to five per second.
	minInterval = 200 * time.Millisecond
	// deniedBackoff is the backoff before a home that failed or granted nothing
	// is asked again.
	deniedBackoff = 500 * time.Millisecond
	// maxHomesAsked limits the homes asked in one round for one service. Two homes
	// asked at once for the same slots would together grant twice the need.
	maxHomesAsked = 1
	// reserveDivisor sets the reserve of free slots to 1/reserveDivisor of the slots
	// in use, so that a rising load rarely waits for a message.
	reserveDivisor = 8
	// needDecay sets the decay of the remembered peak of slots in use: each round
	// lowers it by the fraction lendingTick/(2*needDecay).
	needDecay = 500 * time.Millisecond
	// peerTimeout is the timeout of a message. A reply that arrives after the end
	// of its loan is useless.
	peerTimeout = time.Second
)

// need is the demand of this entry for slots of one service.
type need struct {
	peak    float64
	waiting int
}

func (co *Controller) needOf(service ids.ServiceName) int {
	ne := co.needs[service]
	if ne == nil || co.leaving {
		return 0
	}
	inUse := int(ne.peak + 0.5)
	return inUse + ne.waiting + max(1, inUse/reserveDivisor)
}

// measureNeeds updates the need of each service from its gates and queue.
func (co *Controller) measureNeeds() {
	used := map[ids.ServiceName]int{}
	for _, st := range co.targets {
		if st.slots > 0 {
			_, n := st.gate.Allowance()
			used[st.vm.Service] += n
		}
	}
	waiting := map[ids.ServiceName]int{}
	for _, sl := range co.dispatcher.Load() {
		waiting[sl.Service] = sl.Waiting
	}
	for service, n := range used {
		ne := co.needs[service]
		if ne == nil {
			ne = &need{}
			co.needs[service] = ne
		}
		ne.peak = max(float64(n), ne.peak*(1-float64(lendingTick)/float64(2*needDecay)))
		ne.waiting = waiting[service]
	}
}

func (co *Controller) stream(inc ids.Incarnation) *stream {
	str := co.streams[inc]
	if str == nil {
		now := co.opt.Clock()
		str = &stream{borrower: slotshare.NewBorrower(co.opt.Terms, co.opt.Clock), createdAt: now, sentAt: now - renewInterval}
		co.streams[inc] = str
	}
	return str
}

// exchangePlan is the content of one message to a home.
type exchangePlan struct {
	keep         map[ids.TargetID]int
	more         map[ids.ServiceName]int
	returnsSlots bool
}

// borrow decides which loans to keep and how many slots to request, and sends
// the messages that are due.
func (co *Controller) borrow() {
	others := co.others()
	plans := map[ids.Incarnation]*exchangePlan{}
	planFor := func(inc ids.Incarnation) *exchangePlan {
		if plans[inc] == nil {
			plans[inc] = &exchangePlan{keep: map[ids.TargetID]int{}, more: map[ids.ServiceName]int{}}
		}
		return plans[inc]
	}
	missing := co.allocateLoans(planFor)
	if !co.leaving {
		co.requestMore(missing, others, planFor)
	}
	now := co.opt.Clock()
	for inc, ep := range plans {
		str := co.stream(inc)
		renew := len(ep.keep) > 0 && now-str.sentAt >= renewInterval
		if str.inFlight || now-str.sentAt < minInterval || !renew && !ep.returnsSlots && len(ep.more) == 0 {
			continue
		}
		if addr := co.addressOf(others, inc); addr != "" {
			co.send(inc, str, ep, addr)
		} else {
			co.clearLenders(inc)
		}
	}
	co.pruneStreams()
}

// allocateLoans allocates loans to the need that the own slots do not cover, and
// returns the uncovered need by service.
func (co *Controller) allocateLoans(planFor func(ids.Incarnation) *exchangePlan) map[ids.ServiceName]int {
	missing := map[ids.ServiceName]int{}
	for service := range co.needs {
		missing[service] = co.needOf(service)
	}
	for _, st := range co.targets {
		if st.home != nil {
			slots, _ := st.gate.Allowance()
			missing[st.vm.Service] -= slots
		}
	}
	for _, id := range co.ids {
		st := co.targets[id]
		if st.home != nil || st.lender == "" {
			continue
		}
		slots, used := st.gate.Allowance()
		kept := min(slots, max(0, missing[st.vm.Service]))
		missing[st.vm.Service] -= kept
		ep := planFor(st.lender)
		ep.keep[id] = kept
		// A slot to return justifies a message of its own. A slot in use cannot be
		// returned yet.
		ep.returnsSlots = ep.returnsSlots || max(kept, used) < slots || slots == 0 && used == 0
	}
	return missing
}

// requestMore adds requests for missing slots to the plans for the homes of the
// targets in this zone. If the zone has no live target of a service, the homes
// of targets in all other zones may be asked.
func (co *Controller) requestMore(missing map[ids.ServiceName]int, others []entryView, planFor func(ids.Incarnation) *exchangePlan) {
	now := co.opt.Clock()
	for service, n := range missing {
		if n <= 0 {
			continue
		}
		near, far := map[ids.Incarnation]bool{}, map[ids.Incarnation]bool{}
		for _, st := range co.targets {
			if st.vm.Service != service || st.vm.State != ids.StateLive || st.slots == 0 {
				continue
			}
			if st.vm.AvailabilityZone == co.opt.Self.Zone {
				near[st.owner] = true
			} else {
				far[st.owner] = true
			}
		}
		homes := near
		if len(near) == 0 {
			homes = far
		}
		for _, inc := range co.homesToAsk(homes, others, now) {
			planFor(inc).more[service] = n
		}
	}
}

// homesToAsk returns at most maxHomesAsked homes, least recently contacted first.
func (co *Controller) homesToAsk(homes map[ids.Incarnation]bool, others []entryView, now time.Duration) []ids.Incarnation {
	var out []ids.Incarnation
	for inc := range homes {
		if inc == "" || inc == co.opt.Self.Incarnation || co.addressOf(others, inc) == "" {
			continue
		}
		if str := co.stream(inc); now >= str.askAfter && !str.inFlight && now-str.sentAt >= minInterval {
			out = append(out, inc)
		}
	}
	sort.Slice(out, func(i, j int) bool {
		if si, sj := co.streams[out[i]].sentAt, co.streams[out[j]].sentAt; si != sj {
			return si < sj
		}
		return out[i] < out[j]
	})
	return out[:min(maxHomesAsked, len(out))]
}

// send starts one message. It records the send time first, then lowers the
// gates, and only then states in the message which slots are kept.
func (co *Controller) send(inc ids.Incarnation, str *stream, ep *exchangePlan, addr string) {
	args := &ExchangeArgs{From: co.opt.Self.Incarnation, To: inc, Size: co.opt.Self.Size, Number: str.borrower.Begin()}
	for id, want := range ep.keep {
		if kept := slotshare.Keep(co.targets[id].gate, want); kept > 0 {
			args.Keep = append(args.Keep, TargetSlots{Target: id, Slots: kept})
		} else {
			co.targets[id].lender = ""
		}
	}
	for service, n := range ep.more {
		args.More = append(args.More, ServiceSlots{Service: service, Slots: n})
	}
	str.sentAt, str.inFlight = co.opt.Clock(), true
	co.opt.Counters.Add(familySlots, "loan-message", 1)
	co.grp.Go(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, peerTimeout)
		defer cancel()
		rep := &ExchangeReply{}
		err := co.opt.Peers.Call(ctx, addr, exchangeMethod, args, rep)
		co.mu.Lock()
		defer co.mu.Unlock()
		str.inFlight = false
		if err != nil {
			co.opt.Counters.Add(familySlots, "loan-message-lost", 1)
			str.askAfter = co.opt.Clock() + deniedBackoff
			return
		}
		co.handleReply(inc, str, args, rep)
	})
}

// handleReply applies the reply of a home to the gates.
func (co *Controller) handleReply(inc ids.Incarnation, str *stream, args *ExchangeArgs, rep *ExchangeReply) {
	deadline, ok := str.borrower.Accept(args.Number)
	if !ok || !rep.Known {
		str.askAfter = co.opt.Clock() + deniedBackoff
		co.wakeClaims()
		return
	}
	granted := map[ids.TargetID]int{}
	for _, ts := range rep.Loans {
		granted[ts.Target] = ts.Slots
	}
	gained := 0
	for _, ts := range args.Keep {
		gained -= ts.Slots
		st := co.targets[ts.Target]
		if _, ok := granted[ts.Target]; !ok && st != nil && st.lender == inc {
			granted[ts.Target] = 0
		}
	}
	for id, slots := range granted {
		st := co.targets[id]
		if st == nil || st.home != nil {
			continue
		}
		gained += slots
		st.gate.SetLoan(slots, deadline)
		st.lender = inc
	}
	if len(args.More) > 0 && gained <= 0 {
		str.askAfter = co.opt.Clock() + deniedBackoff
		co.opt.Counters.Add(familySlots, "loan-denied", 1)
	}
	if gained > 0 {
		co.opt.Counters.Add(familySlots, "loan-gained", int64(gained))
		co.dispatcher.SlotsChanged()
	}
}

// wakeClaims starts a claim round that reads the rows immediately.
func (co *Controller) wakeClaims() {
	co.stale.Store(true)
	select {
	case co.wake <- struct{}{}:
	default:
	}
}

// clearLenders clears the lender of each loan from an unreachable home once the
// loan has ended and no request uses it.
func (co *Controller) clearLenders(inc ids.Incarnation) {
	for _, st := range co.targets {
		if slots, used := st.gate.Allowance(); st.home == nil && st.lender == inc && slots == 0 && used == 0 {
			st.lender = ""
		}
	}
}

// pruneStreams drops streams to incarnations that have ended. The message
// numbers of a stream must not restart while its home may have a record of them.
func (co *Controller) pruneStreams() {
	gone := co.gone()
	for inc, str := range co.streams {
		if !str.inFlight && gone(inc) {
			delete(co.streams, inc)
		}
	}
}

// sendHints notifies other entries that rows of homes have changed.
func (co *Controller) sendHints(addrs []string) {
	co.mu.Lock()
	args := &HintArgs{From: co.opt.Self.Incarnation, Leaving: co.leaving}
	co.mu.Unlock()
	for _, addr := range addrs {
		call := func(ctx context.Context) {
			ctx, cancel := context.WithTimeout(ctx, peerTimeout)
			defer cancel()
			_ = co.opt.Peers.Call(ctx, addr, hintMethod, args, &HintReply{}) // the rows are read within refreshInterval anyway
		}
		if !co.grp.Go(call) {
			call(context.Background())
		}
	}
}
