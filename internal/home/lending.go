package home

import (
	"sort"
	"time"

	"github.com/oleanderwall/oleanderwall/internal/ids"
	"github.com/oleanderwall/oleanderwall/pkg/slotshare"
)

// ServiceName is the name under which a Receiver is registered.
const ServiceName = "slots"

const (
	exchangeMethod = ServiceName + ".Exchange"
	hintMethod     = ServiceName + ".Hint"
)

// TargetSlots are slots of one target.
type TargetSlots struct {
	Target ids.TargetID
	Slots  int
}

// ServiceSlots are slots of any targets of one service.
type ServiceSlots struct {
	Service ids.ServiceName
	Slots   int
}

// ExchangeArgs is the message of a borrower to a home: which loans it keeps, and
// how many more slots it could use. A loan that is not listed has been returned.
type ExchangeArgs struct {
	From, To ids.Incarnation
	Number   uint64
	Size     int
	Keep     []TargetSlots
	More     []ServiceSlots
}

// ExchangeReply is the answer of a home. Loans that are not listed have ended.
type ExchangeReply struct {
	// Known is false when the message was for another incarnation or is older
	// than one already handled. The reply then contains no information on loans.
	Known bool
	Loans []TargetSlots
}

// HintArgs announces that rows of homes have changed.
type HintArgs struct {
	From ids.Incarnation
	// Leaving means that the sender will not claim any more homes.
	Leaving bool
}

// HintReply is empty.
type HintReply struct{}

// Receiver handles the messages of other entries.
type Receiver struct {
	co *Controller
}

// Receiver returns the receiver to register under ServiceName.
func (co *Controller) Receiver() *Receiver { return &Receiver{co: co} }

// Hint makes the controller read the rows of homes soon.
func (rc *Receiver) Hint(args HintArgs, _ *HintReply) error {
	co := rc.co
	if args.Leaving {
		co.mu.Lock()
		co.departed[args.From.Entry()] = args.From
		co.mu.Unlock()
	}
	co.wakeClaims()
	return nil
}

// Exchange lends slots, renews loans and takes back returned slots.
func (rc *Receiver) Exchange(args ExchangeArgs, rep *ExchangeReply) error {
	co := rc.co
	co.mu.Lock()
	defer co.mu.Unlock()
	if args.To != co.opt.Self.Incarnation {
		return nil
	}
	bo := co.borrowers[args.From]
	if bo == nil {
		bo = &borrower{}
		co.borrowers[args.From] = bo
	}
	if args.Number <= bo.number {
		return nil
	}
	bo.number, bo.size, bo.lastMessageAt = args.Number, args.Size, co.opt.Clock()
	rep.Known = true
	keep := map[ids.TargetID]int{}
	for _, ts := range args.Keep {
		keep[ts.Target] = ts.Slots
	}
	more := map[ids.ServiceName]int{}
	for _, ss := range args.More {
		more[ss.Service] = ss.Slots
	}
	bo.demand = map[ids.ServiceName]int{}
	for service, pool := range co.pools() {
		pool.lend(co, args, bo, keep, more[service], rep)
	}
	return nil
}

// pool is the set of targets of one service whose home is this entry.
type pool struct {
	service ids.ServiceName
	ids     []ids.TargetID
}

func (co *Controller) pools() map[ids.ServiceName]*pool {
	out := map[ids.ServiceName]*pool{}
	for id, st := range co.targets {
		if st.home == nil {
			continue
		}
		po := out[st.vm.Service]
		if po == nil {
			po = &pool{service: st.vm.Service}
			out[st.vm.Service] = po
		}
		po.ids = append(po.ids, id)
	}
	for _, po := range out {
		sort.Slice(po.ids, func(i, j int) bool { return po.ids[i] < po.ids[j] })
	}
	return out
}

// lend adjusts the loans of one borrower in one service to its share of the
// pool, which depends on size and demand.
func (po *pool) lend(co *Controller, args ExchangeArgs, bo *borrower, keep map[ids.TargetID]int, more int, rep *ExchangeReply) {
	held := 0
	for _, id := range po.ids {
		held += min(keep[id], co.targets[id].home.LentTo(args.From))
	}
	bo.demand[po.service] = held + more
	share, spare := po.share(co, args.From)
	want := make(map[ids.TargetID]int, len(po.ids))
	for _, id := range po.ids {
		want[id] = min(keep[id], co.targets[id].home.LentTo(args.From))
	}
	if share < held {
		po.recall(want, held-share)
	} else {
		po.distribute(co, want, min(share-held, more, spare))
	}
	for _, id := range po.ids {
		ho := co.targets[id].home
		if keep[id] == 0 && want[id] == 0 && ho.LentTo(args.From) == 0 {
			continue
		}
		granted, ok := ho.Exchange(args.From, args.Number, keep[id], want[id], 0)
		if ok && granted > 0 {
			rep.Loans = append(rep.Loans, TargetSlots{Target: id, Slots: granted})
		}
	}
}

// share returns the borrower's share of the pool, and how many more slots can be
// lent without taking from this entry's own share.
func (po *pool) share(co *Controller, from ids.Incarnation) (share, spare int) {
	total, lent := 0, 0
	for _, id := range po.ids {
		ho := co.targets[id].home
		if !ho.Draining() {
			total += ho.Slots()
		}
		lent += ho.Lent()
	}
	claims := []slotshare.Claim{{Size: co.opt.Self.Size, Demand: co.needOf(po.service)}}
	at := 0
	now := co.opt.Clock()
	incs := make([]ids.Incarnation, 0, len(co.borrowers))
	for inc := range co.borrowers {
		incs = append(incs, inc)
	}
	sort.Slice(incs, func(i, j int) bool { return incs[i] < incs[j] })
	for _, inc := range incs {
		bo := co.borrowers[inc]
		if now-bo.lastMessageAt > demandRetention {
			continue
		}
		if inc == from {
			at = len(claims)
		}
		claims = append(claims, slotshare.Claim{Size: bo.size, Demand: bo.demand[po.service]})
	}
	shares := slotshare.Apportion(total, claims)
	return shares[at], max(0, total-lent-shares[0])
}

// demandRetention is how long the demand of a borrower counts after its message.
// It covers several renewals.
const demandRetention = 1500 * time.Millisecond

// recall lowers the wanted loans by n slots in total, the largest loan first.
func (po *pool) recall(want map[ids.TargetID]int, n int) {
	for ; n > 0; n-- {
		best := po.ids[0]
		for _, id := range po.ids {
			if want[id] > want[best] {
				best = id
			}
		}
		want[best]--
	}
}

// distribute raises the wanted loans by n slots in total: on targets with free
// slots first, and evenly, so that the borrower has a choice of targets.
func (po *pool) distribute(co *Controller, want map[ids.TargetID]int, n int) {
	free := make(map[ids.TargetID]int, len(po.ids))
	unlent := make(map[ids.TargetID]int, len(po.ids))
	for _, id := range po.ids {
		ho := co.targets[id].home
		if ho.Draining() {
			continue
		}
		_, used := co.targets[id].gate.Allowance()
		unlent[id] = max(0, ho.Slots()-ho.Lent())
		free[id] = max(0, unlent[id]-used)
	}
	for ; n > 0; n-- {
		best := ids.TargetID("")
		for _, id := range po.ids {
			if unlent[id] > 0 && (best == "" || free[id] > free[best]) {
				best = id
			}
		}
		if best == "" {
			return
		}
		want[best]++
		unlent[best]--
		free[best] = max(0, free[best]-1)
	}
}
