package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"sort"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["soak"] = soak }

type sent struct {
	id        string
	job       job
	posts     []answer
	acked     time.Time
	deleted   time.Time // first DELETE sent
	cancelled time.Time // first DELETE answered with 2xx
	gone      []answer
}

func soak(ctx context.Context, bd *bed) error {
	num := func(name string, def int) int {
		if v, err := strconv.Atoi(os.Getenv(name)); err == nil {
			return v
		}
		return def
	}
	nent, nrun, secs, rate := num("ENTRIES", 6), num("RUNNERS", 24), num("SECS", 60), num("RATE", 40)
	if err := bd.build(ctx, nent, nrun); err != nil {
		return err
	}
	kinds := strings.Split(os.Getenv("KINDS"), ",")
	has := func(k string) bool {
		for _, x := range kinds {
			if x == k {
				return true
			}
		}
		return false
	}
	var mu sync.Mutex
	var all []*sent
	sctx, stop := context.WithTimeout(ctx, time.Duration(secs)*time.Second)
	defer stop()
	pick := func() *entry { return bd.entries[rand.IntN(len(bd.entries))] }
	work := func(context.Context) {
		se := &sent{id: newID()}
		ms := 20 + rand.IntN(200)
		if rand.IntN(5) == 0 {
			ms = 500 + rand.IntN(3000)
		}
		how := "done"
		steps := 1 + rand.IntN(3)
		if has("flat") {
			steps = 1
		}
		se.job = job{Spec: fmt.Sprintf("ms=%d how=%s", ms, how)}
		for s := range steps {
			st := step{Count: 1 + rand.IntN(6), CPU: 2000, MemMB: 64, EstimatedMs: int64(ms)}
			if s > 0 {
				st.After = []int{s - 1}
			}
			se.job.Steps = append(se.job.Steps, st)
		}
		if has("sched") && rand.IntN(4) == 0 {
			se.job.RepeatCount, se.job.StartAtMs, se.job.IntervalMs = 1+rand.IntN(5), time.Now().UnixMilli()+int64(rand.IntN(8000)), int64(200+rand.IntN(2000))
		}
		if has("lasting") && rand.IntN(10) == 0 {
			se.job.Steps = []step{{Count: 1 + rand.IntN(4), CPU: 2000, MemMB: 64, LongRunning: true}}
			se.job.Spec = "ms=600000"
		}
		isLasting := se.job.Steps[0].LongRunning
		if has("anti") && rand.IntN(4) == 0 {
			for i := range se.job.Steps {
				se.job.Steps[i].AntiAff = 1
			}
		}
		if has("saves") && !isLasting && rand.IntN(3) == 0 {
			se.job.Spec = fmt.Sprintf("ms=%d saves=1", 1500+rand.IntN(3000))
			for i := range se.job.Steps {
				se.job.Steps[i].Checkpointing, se.job.Steps[i].EstimatedMs = true, 2000
			}
		}
		if has("gang") && !isLasting && rand.IntN(3) == 0 {
			n := 2 + rand.IntN(5)
			se.job.Steps = []step{{Count: n, CPU: 2000, MemMB: 64, EstimatedMs: 1000, Gang: true}, {Count: n, CPU: 2000, MemMB: 64, EstimatedMs: 1000, Gang: true, After: []int{0}}}
			se.job.Spec = fmt.Sprintf("ms=%d gang=%d", 200+rand.IntN(2500), n)
			if has("saves") && rand.IntN(2) == 0 {
				se.job.Spec += " saves=1"
				se.job.Steps[0].Checkpointing, se.job.Steps[1].Checkpointing = true, true
			}
		}
		if has("flaky") && !isLasting && rand.IntN(2) == 0 && !strings.Contains(se.job.Spec, "gang") {
			se.job.Spec += fmt.Sprintf(" flaky=%d", 10+rand.IntN(60))
		}
		mu.Lock()
		all = append(all, se)
		mu.Unlock()
		for try := 0; try < 6; try++ {
			an := pick().call(ctx, http.MethodPost, se.id, se.job, 4*time.Second)
			mu.Lock()
			se.posts = append(se.posts, an)
			if an.status == 200 && se.acked.IsZero() {
				se.acked = an.ended
			}
			mu.Unlock()
			if an.status == 200 || an.status == 503 || an.status == 429 || an.status == 404 {
				break
			}
			sleep(ctx, 300*time.Millisecond)
		}
		if se.acked.IsZero() {
			return
		}
		if has("resend") && rand.IntN(5) == 0 {
			sleep(ctx, time.Duration(rand.IntN(3000))*time.Millisecond)
			pick().call(ctx, http.MethodPost, se.id, se.job, 4*time.Second)
		}
		lasting := se.job.Steps[0].LongRunning
		if (has("cancel") && rand.IntN(5) == 0) || lasting {
			w := rand.IntN(2000)
			if lasting {
				w = 3000 + rand.IntN(20000)
			}
			sleep(ctx, time.Duration(w)*time.Millisecond)
			mu.Lock()
			se.deleted = time.Now()
			mu.Unlock()
			for range 30 {
				an := pick().call(ctx, http.MethodDelete, se.id, nil, 4*time.Second)
				if an.status == 200 || an.status == 410 {
					mu.Lock()
					se.cancelled = an.ended
					mu.Unlock()
					return
				}
				sleep(ctx, 300*time.Millisecond)
			}
			return
		}
		if has("get") {
			for sctx.Err() == nil {
				sleep(ctx, 3500*time.Millisecond)
				an := pick().call(ctx, http.MethodGet, se.id, nil, 3*time.Second)
				if an.status == 410 || an.state == "failed" || an.state == "cancelled" {
					mu.Lock()
					se.gone = append(se.gone, an)
					mu.Unlock()
				}
				if an.state == "completed" {
					return
				}
			}
		}
	}
	bd.grp.Go(func(c context.Context) {
		for sctx.Err() == nil {
			bd.grp.Go(work)
			sleep(sctx, time.Second/time.Duration(rate))
		}
	})
	every := func(kind string, pause time.Duration, fn func()) {
		if !has(kind) {
			return
		}
		bd.grp.Go(func(c context.Context) {
			sleep(sctx, 3*time.Second)
			for sctx.Err() == nil {
				fn()
				sleep(sctx, pause)
			}
		})
	}
	restart := func(en *entry, down time.Duration) {
		sleep(ctx, down)
		if err := en.start(false); err != nil {
			bd.rec.add("restart: %v", err)
		}
	}
	every("kill", 5*time.Second, func() { en := pick(); en.kill(); restart(en, time.Duration(rand.IntN(3500))*time.Millisecond) })
	every("killall", 12*time.Second, func() {
		for _, en := range bd.entries {
			en.kill()
		}
		for _, en := range bd.entries {
			restart(en, 20*time.Millisecond)
		}
	})
	turn := 0
	every("term", 1300*time.Millisecond, func() {
		en := bd.entries[turn%nent]
		turn++
		en.signal(syscall.SIGTERM)
		if !en.exited(graceTime) {
			en.kill()
		}
		restart(en, 300*time.Millisecond)
	})
	every("freeze", 5*time.Second, func() {
		en := pick()
		en.signal(syscall.SIGSTOP)
		sleep(ctx, time.Duration(500+rand.IntN(3500))*time.Millisecond)
		en.signal(syscall.SIGCONT)
	})
	every("crash", 4*time.Second, func() {
		ru := bd.runners[rand.IntN(nrun)]
		ru.crash()
		sleep(ctx, time.Duration(rand.IntN(5000))*time.Millisecond)
		if err := ru.start(); err != nil {
			bd.rec.add("runner restart %v", err)
		}
	})
	every("drain", 6*time.Second, func() {
		ru := bd.runners[rand.IntN(nrun)]
		ru.mu.Lock()
		if !ru.up {
			ru.mu.Unlock()
			return
		}
		ru.state = "draining"
		ru.mu.Unlock()
		sleep(ctx, 4500*time.Millisecond)
		ru.crash()
		bd.store.remove("servers", ru.id)
		sleep(ctx, 2*time.Second)
		if err := ru.start(); err != nil {
			bd.rec.add("runner restart %v", err)
		}
	})
	every("slow", 10*time.Second, func() {
		bd.rec.add("store slow")
		bd.store.setGate(func(int, bool) (int, time.Duration) { return 0, 250 * time.Millisecond })
		sleep(ctx, 4500*time.Millisecond)
		bd.store.setGate(nil)
		bd.rec.add("store normal")
	})
	every("busy", 10*time.Second, func() {
		bd.rec.add("store busy for some")
		skip := rand.IntN(nent)
		bd.store.setGate(func(node int, _ bool) (int, time.Duration) {
			if (node+skip)%3 == 0 {
				return 503, 0
			}
			return 0, 0
		})
		sleep(ctx, 9*time.Second)
		bd.store.setGate(nil)
		bd.rec.add("store normal")
	})
	every("down", 12*time.Second, func() {
		bd.rec.add("store silent")
		bd.store.setGate(func(int, bool) (int, time.Duration) { return 503, 3 * time.Second })
		sleep(ctx, 4500*time.Millisecond)
		bd.store.setGate(nil)
		bd.rec.add("store normal")
	})
	every("lost", 9*time.Second, func() {
		bd.rec.add("store loses answers")
		bd.store.setLost(0.35, has("lostlate"))
		sleep(ctx, 4500*time.Millisecond)
		bd.store.setLost(0, false)
		bd.rec.add("store normal")
	})
	every("late", 9*time.Second, func() {
		bd.rec.add("orders late")
		bd.late.Store(55)
		sleep(ctx, 5500*time.Millisecond)
		bd.late.Store(0)
		bd.rec.add("orders normal")
	})
	<-sctx.Done()
	sleep(ctx, time.Duration(num("SETTLE", 25))*time.Second)
	mu.Lock()
	defer mu.Unlock()
	return bd.check(ctx, all)
}

// check checks the rules after a soak.
func (bd *bed) check(ctx context.Context, all []*sent) error {
	var bad []string
	say := func(format string, args ...any) {
		text := fmt.Sprintf(format, args...)
		bad = append(bad, text)
		bd.rec.add("BROKEN %s", text)
	}
	rel := func(t time.Time) string { return fmt.Sprintf("%.3f", t.Sub(bd.rec.began).Seconds()) }
	events := bd.hist.all()
	sort.SliceStable(events, func(a, b int) bool { return events[a].at.Before(events[b].at) })
	byTask := map[string][]event{}
	lapses := map[string][]time.Time{}
	for _, ev := range events {
		if ev.task == "" {
			lapses[ev.runner] = append(lapses[ev.runner], ev.at)
			continue
		}
		byTask[ev.task] = append(byTask[ev.task], ev)
	}
	jobs := map[string]*sent{}
	accepted := 0
	for _, se := range all {
		jobs[se.id] = se
		if !se.acked.IsZero() {
			accepted++
		}
	}
	bd.hist.mu.Lock()
	ackedAt := bd.hist.acked
	bd.hist.mu.Unlock()
	firstDone := map[string]time.Time{}
	// antiAffinity: tasks of one step on one runner at a time
	onRunner := map[string]map[string]bool{}
	for _, ev := range events {
		parts := strings.Split(ev.task, ".")
		if ev.task == "" || jobs[parts[0]] == nil {
			continue
		}
		stepNum, _ := strconv.Atoi(parts[2])
		limit := jobs[parts[0]].job.Steps[stepNum].AntiAff
		if limit == 0 {
			continue
		}
		key := fmt.Sprint(parts[0], ".", parts[1], ".", parts[2], "/", ev.runner, "/", ev.born)
		if onRunner[key] == nil {
			onRunner[key] = map[string]bool{}
		}
		if ev.what != "start" {
			delete(onRunner[key], fmt.Sprint(ev.task, "/", ev.run))
			continue
		}
		onRunner[key][fmt.Sprint(ev.task, "/", ev.run)] = true
		if len(onRunner[key]) > limit {
			say("ROUTE antiAffinity %s run %d on %s at %s: %v", ev.task, ev.run, ev.runner, rel(ev.at), onRunner[key])
		}
	}
	for task, list := range byTask {
		type live struct{ ev event }
		open := map[string]event{}
		for _, ev := range list {
			key := fmt.Sprint(ev.runner, "/", ev.born, "/", ev.run)
			if ev.what == "alone" {
				say("GANG %s run %d on %s ends alone at %s", task, ev.run, ev.runner, rel(ev.at))
			}
			if ev.what == "start" {
				for _, other := range open {
					say("TWICE %s run %d on %s starts at %s while run %d runs on %s since %s", task, ev.run, ev.runner, rel(ev.at), other.run, other.runner, rel(other.at))
				}
				open[key] = ev
				continue
			}
			delete(open, key)
			if se := jobs[strings.Split(task, ".")[0]]; ev.what == "done" && (se == nil || !se.job.Steps[0].LongRunning) {
				if firstDone[task].IsZero() {
					firstDone[task] = ev.at
				}
				at := ackedAt[endKey(ev.runner, ev.born, ev.number)]
				if at.IsZero() {
					continue
				}
				lapsed := false
				for _, lt := range lapses[ev.runner] {
					lapsed = lapsed || (lt.After(ev.at) && lt.Before(at))
				}
				if lapsed {
					continue
				}
				for _, later := range list {
					if later.what == "start" && later.at.After(ev.at) {
						say("TWICE %s run %d starts at %s on %s after run %d ended done on %s at %s (noted %s)", task, later.run, rel(later.at), later.runner, ev.run, ev.runner, rel(ev.at), rel(at))
					}
				}
			}
		}
	}
	failedJobs := map[string]bool{}
	for task, list := range byTask {
		parts := strings.Split(task, ".")
		se := jobs[parts[0]]
		if se == nil {
			say("UNASKED %s", task)
			continue
		}
		stepNum, _ := strconv.Atoi(parts[2])
		for _, ev := range list {
			if ev.what != "start" {
				continue
			}
			if !se.cancelled.IsZero() && ev.at.Sub(se.cancelled) > 3*time.Second {
				say("UNASKED %s run %d starts at %s, cancelled at %s", task, ev.run, rel(ev.at), rel(se.cancelled))
			}
			for _, dep := range se.job.Steps[stepNum].After {
				for idx := range se.job.Steps[dep].Count {
					name := fmt.Sprintf("%s.%s.%d.%d", parts[0], parts[1], dep, idx)
					if fd := firstDone[name]; fd.IsZero() || fd.After(ev.at) {
						say("ORDER %s run %d starts at %s before %s is done", task, ev.run, rel(ev.at), name)
					}
				}
			}
		}
		fails := 0
		for _, ev := range list {
			if ev.what == "start" && fails >= maxTries {
				say("BUDGET %s run %d starts at %s after %d failed", task, ev.run, rel(ev.at), fails)
			}
			if ev.what == "failed" && !ackedAt[endKey(ev.runner, ev.born, ev.number)].IsZero() {
				fails++
			}
		}
		if fails >= maxTries {
			failedJobs[parts[0]] = true
		}
		refused := true
		for _, an := range se.posts {
			refused = refused && (an.status == 503 || an.status == 429 || an.status == 404)
		}
		if refused && len(se.posts) > 0 {
			say("REFUSED %s", task)
		}
	}
	// gaps: times without a run of a task that has begun and not ended done
	for task, list := range byTask {
		se := jobs[strings.Split(task, ".")[0]]
		if se == nil {
			continue
		}
		runs := 0
		var idle time.Time
		limit := time.Now()
		if !se.deleted.IsZero() {
			limit = se.deleted
		}
		for _, ev := range list {
			if ev.what == "start" {
				if runs == 0 && !idle.IsZero() && idle.Before(limit) && ev.at.Sub(idle) > 9*time.Second {
					bd.rec.add("GAP %s idle from %s for %.1f s, lasting %v", task, rel(idle), ev.at.Sub(idle).Seconds(), se.job.Steps[0].LongRunning)
				}
				runs++
				continue
			}
			runs--
			idle = ev.at
			if ev.what == "done" && !se.job.Steps[0].LongRunning {
				idle = time.Time{}
			}
		}
		if runs == 0 && !idle.IsZero() && limit.Sub(idle) > 9*time.Second {
			bd.rec.add("GAP %s idle from %s for %.1f s to the end, lasting %v", task, rel(idle), limit.Sub(idle).Seconds(), se.job.Steps[0].LongRunning)
		}
	}
	states := map[string]int{}
	for _, se := range all {
		for _, an := range se.gone {
			if an.state == "failed" && failedJobs[se.id] {
				continue
			}
			say("LOST %s acked %s, at %s answered %d %s", se.id, rel(se.acked), rel(an.ended), an.status, an.state)
		}
		if se.acked.IsZero() {
			continue
		}
		an := bd.entries[0].call(ctx, http.MethodGet, se.id, nil, 3*time.Second)
		states[fmt.Sprint(an.status, an.state)]++
		tasks := 0
		for _, st := range se.job.Steps {
			tasks += st.Count
		}
		tasks *= max(1, se.job.RepeatCount)
		done := 0
		for name := range firstDone {
			if strings.HasPrefix(name, se.id) {
				done++
			}
		}
		if an.state == "completed" && done < tasks {
			say("MIXED %s completed with %d of %d", se.id, done, tasks)
		}
		if an.state == "failed" && failedJobs[se.id] {
			continue
		}
		if se.deleted.IsZero() && an.state != "completed" {
			say("LOST %s acked %s is %d %q %v, %d of %d done", se.id, rel(se.acked), an.status, an.state, an.err, done, tasks)
		}
	}
	starts := 0
	hows := map[string]int{}
	for _, ev := range events {
		hows[ev.what]++
	}
	_ = starts
	bd.rec.add("%d jobs sent, %d accepted; states %v; events %v", len(all), accepted, states, hows)
	fmt.Println(len(all), "jobs", accepted, "accepted", states, hows)
	for num, text := range bad {
		if num < 30 {
			fmt.Println(text)
		}
	}
	dumped := map[string]bool{}
	for _, text := range bad {
		for _, word := range strings.Fields(text) {
			id := strings.Split(word, ".")[0]
			if len(id) != 16 || jobs[id] == nil || dumped[id] {
				continue
			}
			dumped[id] = true
			bd.rec.add("job %s: %+v", id, jobs[id].job)
			for _, ev := range events {
				if strings.HasPrefix(ev.task, id) {
					bd.rec.add("  at %s %s run %d on %s: %s (%d)", rel(ev.at), ev.task, ev.run, ev.runner, ev.what, ev.number)
				}
			}
		}
	}
	if len(bad) > 0 {
		return fmt.Errorf("%w: %d findings", errBroken, len(bad))
	}
	return nil
}
