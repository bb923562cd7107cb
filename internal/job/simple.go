package job

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/oleanderwall/oleanderwall/internal/blackboard"
	"github.com/oleanderwall/oleanderwall/internal/outcome"
	"github.com/oleanderwall/oleanderwall/internal/platform"
	"github.com/oleanderwall/oleanderwall/internal/worker"
	"github.com/oleanderwall/oleanderwall/pkg/group"
)

// Events receives the ends of tasks.
type Events interface {
	Finished(rep worker.Report)
	Lost(task worker.TaskID, reason string)
}

// SimplePlacement is a Scheduler and Traffic that gives tasks to the workers in
// turn, without regard to their load. It stands in until the placement of
// package worker is merged.
type SimplePlacement struct {
	board  *blackboard.Board
	hc     *http.Client
	events Events
	grp    *group.Group

	mu    sync.Mutex
	next  int
	links map[platform.WorkerID]*simpleLink
}

type simpleLink struct {
	wc    *worker.Client
	tasks map[worker.TaskID]bool
	loop  bool
}

// NewSimplePlacement returns a placement; SetEvents must be called before use.
func NewSimplePlacement(board *blackboard.Board, hc *http.Client) *SimplePlacement {
	return &SimplePlacement{board: board, hc: hc, grp: group.New(context.Background()), links: map[platform.WorkerID]*simpleLink{}}
}

// SetEvents sets the receiver of the ends of tasks.
func (sp *SimplePlacement) SetEvents(ev Events) { sp.events = ev }

// Close ends all traffic and waits.
func (sp *SimplePlacement) Close() { sp.grp.Close() }

func (sp *SimplePlacement) workers() []platform.VM {
	if vms := sp.board.VMs.Load(); vms != nil {
		return vms.Workers
	}
	return nil
}

// Admissible implements Scheduler.
func (sp *SimplePlacement) Admissible(dm worker.Demand) error {
	vms := sp.workers()
	for _, vm := range vms {
		if dm.Processors <= vm.Processors && dm.Memory <= vm.Memory && dm.Accelerators <= vm.Accelerators {
			return nil
		}
	}
	if len(vms) == 0 {
		return outcome.Refuse(http.StatusServiceUnavailable, "no-workers", "no worker is known", "try again later", time.Second)
	}
	return outcome.Refuse(http.StatusUnprocessableEntity, "task-fits-no-worker",
		fmt.Sprintf("task %s asks for %v processors, %d MB and %d accelerators; no worker has that", dm.Task, dm.Processors, dm.Memory, dm.Accelerators),
		"ask for less", 0)
}

// Enqueue implements Scheduler.
func (sp *SimplePlacement) Enqueue(dms []worker.Demand, assigned func(task worker.TaskID, pl worker.Placement)) {
	sp.grp.Go(func(ctx context.Context) {
		for _, dm := range dms {
			pl, ok := sp.pick()
			for !ok && ctx.Err() == nil {
				waitFor(ctx, nil, time.Second)
				pl, ok = sp.pick()
			}
			if ctx.Err() == nil {
				assigned(dm.Task, pl)
			}
		}
	})
}

func (sp *SimplePlacement) pick() (worker.Placement, bool) {
	vms := sp.workers()
	if len(vms) == 0 {
		return worker.Placement{}, false
	}
	sp.mu.Lock()
	defer sp.mu.Unlock()
	sp.next++
	vm := vms[sp.next%len(vms)]
	return worker.Placement{Worker: platform.WorkerID(vm.ID), Address: vm.Address}, true
}

// Withdraw implements Scheduler. Nothing is reserved.
func (sp *SimplePlacement) Withdraw([]worker.TaskID) {}

// Start implements Traffic.
func (sp *SimplePlacement) Start(ctx context.Context, pl worker.Placement, task worker.Task) error {
	li := sp.follow(pl, []worker.TaskID{task.ID})
	err := li.wc.Start(ctx, task)
	if errors.Is(err, worker.ErrRefused) {
		sp.forget(li, task.ID)
	} else if err != nil {
		sp.grp.Go(func(ctx context.Context) { sp.confirm(ctx, li, task.ID) })
	}
	return err
}

// confirm loses a task that its worker does not know after a failed start.
func (sp *SimplePlacement) confirm(ctx context.Context, li *simpleLink, id worker.TaskID) {
	const pause = time.Second
	waitFor(ctx, nil, pause)
	ctx, cancel := context.WithTimeout(ctx, pause)
	defer cancel()
	if _, found, err := li.wc.Get(ctx, id); err != nil || !found {
		if sp.forget(li, id) {
			sp.events.Lost(id, "the worker does not know the task after a failed start")
		}
	}
}

// Query implements Traffic.
func (sp *SimplePlacement) Query(ctx context.Context, wk platform.WorkerID, task worker.TaskID) (worker.Report, bool, error) {
	for _, vm := range sp.workers() {
		if vm.ID == string(wk) {
			return worker.NewClient("http://"+vm.Address, sp.hc).Get(ctx, task)
		}
	}
	return worker.Report{}, false, fmt.Errorf("worker %s is not listed", wk)
}

// Adopt implements Traffic.
func (sp *SimplePlacement) Adopt(pl worker.Placement, tasks []worker.TaskID) {
	sp.follow(pl, tasks)
}

// Stop implements Traffic.
func (sp *SimplePlacement) Stop(tasks []worker.TaskID) {
	sp.mu.Lock()
	defer sp.mu.Unlock()
	for _, li := range sp.links {
		for _, id := range tasks {
			if li.tasks[id] {
				sp.grp.Go(func(ctx context.Context) { _ = li.wc.Stop(ctx, id) })
			}
		}
	}
}

func (sp *SimplePlacement) follow(pl worker.Placement, tasks []worker.TaskID) *simpleLink {
	sp.mu.Lock()
	defer sp.mu.Unlock()
	li := sp.links[pl.Worker]
	if li == nil {
		li = &simpleLink{wc: worker.NewClient("http://"+pl.Address, sp.hc), tasks: map[worker.TaskID]bool{}}
		sp.links[pl.Worker] = li
	}
	for _, id := range tasks {
		li.tasks[id] = true
	}
	if !li.loop {
		li.loop = sp.grp.Go(func(ctx context.Context) { sp.poll(ctx, li) })
	}
	return li
}

func (sp *SimplePlacement) forget(li *simpleLink, id worker.TaskID) bool {
	sp.mu.Lock()
	defer sp.mu.Unlock()
	known := li.tasks[id]
	delete(li.tasks, id)
	return known
}

func (sp *SimplePlacement) followed(li *simpleLink) []worker.TaskID {
	sp.mu.Lock()
	defer sp.mu.Unlock()
	out := make([]worker.TaskID, 0, len(li.tasks))
	for id := range li.tasks {
		out = append(out, id)
	}
	return out
}

func (sp *SimplePlacement) loseAll(li *simpleLink, tasks []worker.TaskID) {
	for _, id := range tasks {
		if sp.forget(li, id) {
			sp.events.Lost(id, "the worker does not answer")
		}
	}
}

// poll collects the finished tasks of a worker and renews the leases.
func (sp *SimplePlacement) poll(ctx context.Context, li *simpleLink) {
	const (
		hold      = 500 * time.Millisecond
		pause     = 100 * time.Millisecond
		lostAfter = 3 * time.Second
	)
	var cursor worker.Cursor
	lastAnswer, lastRenewal := time.Now(), time.Now()
	for ctx.Err() == nil {
		tasks := sp.followed(li)
		if len(tasks) == 0 {
			lastAnswer = time.Now()
			waitFor(ctx, nil, pause/10)
			continue
		}
		call, cancel := context.WithTimeout(ctx, hold+time.Second)
		page, err := li.wc.Finished(call, cursor, hold)
		if time.Since(lastRenewal) > lease/4 {
			_ = li.wc.Renew(call, worker.Renewal{TaskIDs: tasks, LeaseMillis: lease.Milliseconds()})
			lastRenewal = time.Now()
		}
		cancel()
		if err != nil {
			if time.Since(lastAnswer) > lostAfter {
				sp.loseAll(li, tasks)
			}
			waitFor(ctx, nil, pause)
			continue
		}
		lastAnswer = time.Now()
		cursor = page.Next
		for _, rep := range page.Tasks {
			if sp.forget(li, rep.ID) {
				sp.events.Finished(rep)
			}
		}
	}
}
