package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/oleanderwall/oleanderwall/pkg/group"
)

// The bounds of the rules, as the settings of a small deployment state them.
const (
	contactTime  = 3 * time.Second
	finishTime   = 14 * time.Second
	lastingGrace = 6 * time.Second // a long-running task may be away that long after its last run
	idleTime     = 3 * time.Second // and then for less than that
	calmBefore   = 4 * time.Second // calm time before the idle time
	callLimit    = 1500 * time.Millisecond
)

// submitter hands jobs in at a steady rate and keeps the answers.
type submitter struct {
	bd  *bed
	grp *group.Group

	mu       sync.Mutex
	accepted []string
	refused  int
	silent   int
}

func newSubmitter(bd *bed) *submitter {
	return &submitter{bd: bd, grp: group.New(bd.grp.Context())}
}

// send hands a job in at an entry without waiting for the answer.
func (su *submitter) send(en *entry, id string, job jobBody) {
	su.grp.Go(func(context.Context) {
		ans := su.bd.post(en, id, job)
		su.mu.Lock()
		defer su.mu.Unlock()
		switch ans.status {
		case http.StatusOK:
			su.accepted = append(su.accepted, id)
		case 0:
			su.silent++
		default:
			su.refused++
		}
	})
}

// steady hands jobs in at a rate for some time, at the entries in turn.
func (su *submitter) steady(first int, every, length time.Duration, build func(num int) jobBody) {
	ticker := time.NewTicker(every)
	defer ticker.Stop()
	end := time.Now().Add(length)
	num := first
	for time.Now().Before(end) {
		<-ticker.C
		su.send(su.bd.entries[num%len(su.bd.entries)], jobID(num), build(num))
		num++
	}
}

// bigKind is a worker of a small deployment.
var bigKind = kind{name: "a", room: room{CPU: 32000, MemMB: 65536}}

// playManySteps submits one job of many small steps beside a steady traffic of
// small jobs.
func playManySteps(bd *bed, trouble bool) error {
	const (
		largeTasks = 540
		before     = 6 * time.Second
		after      = 34 * time.Second
	)
	if err := bd.start(4, bigKind); err != nil {
		return err
	}
	quick := func(int) jobBody {
		return jobBody{Spec: "quick", BestEffort: true, Steps: []step{{Count: 4, CPU: 500, MemMB: 64, EstimatedMs: 60, runMs: 60}}}
	}
	small := func(int) jobBody {
		return jobBody{Spec: "small", Steps: []step{
			{Count: 16, CPU: 500, MemMB: 64, EstimatedMs: 900, runMs: 900},
			{Count: 16, CPU: 500, MemMB: 64, EstimatedMs: 900, After: []int{0}, runMs: 900},
			{Count: 16, CPU: 500, MemMB: 64, EstimatedMs: 900, After: []int{1}, runMs: 900},
			{Count: 16, CPU: 500, MemMB: 64, EstimatedMs: 900, After: []int{2}, runMs: 900},
		}}
	}
	large := jobBody{Spec: "large", Steps: []step{{Count: largeTasks, CPU: 500, MemMB: 64, EstimatedMs: 60, runMs: 60}}}
	if trouble {
		large.Steps = nil
		for range largeTasks {
			large.Steps = append(large.Steps, step{Count: 1, CPU: 500, MemMB: 64, EstimatedMs: 60, runMs: 60})
		}
	}
	stored, unstored := newSubmitter(bd), newSubmitter(bd)
	grp := group.New(bd.grp.Context())
	grp.Go(func(context.Context) { stored.steady(0, 350*time.Millisecond, before+after, small) })
	grp.Go(func(context.Context) { unstored.steady(1<<16, 20*time.Millisecond, before+after, quick) })
	time.Sleep(before)
	bd.rec.sayf("the large job is handed in")
	// After no response it is sent again, to the other entries.
	for _, en := range bd.entries {
		if ans := bd.post(en, jobID(1<<20), large); ans.status != 0 && ans.status != http.StatusGatewayTimeout {
			bd.rec.sayf("the large job is answered %d %s", ans.status, ans.body)
			break
		}
	}
	grp.Wait()
	stored.grp.Wait()
	unstored.grp.Wait()
	bd.rec.sayf("stored jobs: accepted=%d refused=%d silent=%d", len(stored.accepted), stored.refused, stored.silent)
	bd.rec.sayf("best-effort jobs: success=%d refused=%d silent=%d", len(unstored.accepted), unstored.refused, unstored.silent)
	time.Sleep(finishTime)
	return bd.checkFinished(stored.accepted)
}

// checkFinished asks for the state of all accepted jobs and searches for jobs of
// which nothing has run for idleTime although a task's turn has come and the
// workers have room.
func (bd *bed) checkFinished(accepted []string) error {
	from := bd.rec.now()
	usedMost := int64(0)
	for range int(idleTime / (50 * time.Millisecond)) {
		time.Sleep(50 * time.Millisecond)
		used := int64(0)
		for _, wk := range bd.workers {
			cpu, _ := wk.load()
			used += cpu
		}
		usedMost = max(usedMost, used)
	}
	states := map[string]int{}
	for _, id := range accepted {
		ans := bd.call(bd.entries[1], http.MethodGet, id, nil)
		states[fmt.Sprintf("%d %s", ans.status, ans.state)]++
	}
	unended := 0
	for _, wk := range bd.workers {
		_, ends := wk.load()
		unended += ends
		bd.rec.sayf("worker %s lists %d ends that were not taken note of", wk.id, ends)
	}
	idle := bd.idleJobs(accepted, from)
	room := bd.totalRoom()
	bd.rec.sayf("states: %v; refused transactions: %d; ends not taken note of: %d", states, bd.store.tooLarge, unended)
	bd.rec.sayf("accepted jobs with tasks that did not run for %s: %d; CPU in use at most %d of %d", idleTime, len(idle), usedMost, room)
	if len(idle) > 0 && usedMost < room/2 {
		return fmt.Errorf("%w: %d accepted jobs have nothing running while a task's turn has come, for example %s", errBroken, len(idle), idle[0])
	}
	return nil
}

func (bd *bed) totalRoom() int64 {
	total := int64(0)
	for _, wk := range bd.workers {
		wk.mu.Lock()
		if wk.srv != nil {
			total += wk.kind.room.CPU
		}
		wk.mu.Unlock()
	}
	return total
}

// idleJobs returns the jobs of which some tasks are not done and none has run
// since a time.
func (bd *bed) idleJobs(accepted []string, since time.Duration) []string {
	bd.mu.Lock()
	defer bd.mu.Unlock()
	done := map[string]map[string]bool{}
	active := map[string]bool{}
	for _, st := range bd.starts {
		if id, _ := jobOf(st.task); st.at >= since {
			active[id] = true
		}
	}
	for _, rn := range bd.runs {
		id, _ := jobOf(rn.task)
		if rn.ended >= since {
			active[id] = true
		}
		if rn.how == howDone {
			if done[id] == nil {
				done[id] = map[string]bool{}
			}
			done[id][rn.task] = true
		}
	}
	var list []string
	for _, id := range accepted {
		total := 0
		for _, st := range bd.jobs[id].Steps {
			total += st.Count
		}
		if len(done[id]) < total && !active[id] {
			list = append(list, id)
		}
	}
	return list
}

// playOtherKind restarts a worker under the same id with another kind while
// tasks wait that need the earlier kind.
func playOtherKind(bd *bed, trouble bool) error {
	const (
		workers = 8 // one of them is less than the largest share that crashes
		down    = time.Second
		rounds  = 3
	)
	if err := bd.start(workers, bigKind); err != nil {
		return err
	}
	job := func(int) jobBody {
		return jobBody{Spec: "x", BestEffort: true, Steps: []step{
			{Count: 8, CPU: 14000, MemMB: 64, EstimatedMs: 200, Requirements: "a", runMs: 200},
		}}
	}
	su := newSubmitter(bd)
	grp := group.New(bd.grp.Context())
	grp.Go(func(context.Context) { su.steady(0, 120*time.Millisecond, 24*time.Second, job) })
	time.Sleep(4 * time.Second)
	small := kind{name: "b", room: room{CPU: 16000, MemMB: 32768}}
	for num := range rounds {
		if !trouble {
			break
		}
		wk := bd.workers[num]
		wk.crash()
		time.Sleep(down)
		if err := wk.startLife(small); err != nil {
			return err
		}
		time.Sleep(5 * time.Second)
	}
	grp.Wait()
	su.grp.Wait()
	var wrong, over int
	example := ""
	for _, st := range bd.startsSince(0) {
		if st.kind != "a" {
			wrong++
			example = fmt.Sprintf("%s run %d on %s, which has the kind %s", st.task, st.run, st.worker, st.kind)
		}
		if st.cpuUsed > st.cpuRoom {
			over++
		}
	}
	bd.rec.sayf("jobs answered with success %d, refused %d, silent %d; starts %d", len(su.accepted), su.refused, su.silent, len(bd.startsSince(0)))
	bd.rec.sayf("starts on a worker without the label %d, starts beyond the room of the worker %d", wrong, over)
	if wrong > 0 {
		return fmt.Errorf("%w: %s", errBroken, example)
	}
	return nil
}

// playLastingLeft takes a worker away as planned and some seconds later one entry
// for good, while long-running tasks run.
func playLastingLeft(bd *bed, trouble bool) error {
	const (
		workers = 12
		pause   = 10 * time.Second
		watch   = 24 * time.Second
	)
	if err := bd.start(workers, bigKind); err != nil {
		return err
	}
	job := jobBody{Spec: "lasting", Steps: []step{{Count: 30, CPU: 9000, MemMB: 64, EstimatedMs: 1000, LongRunning: true}}}
	// The entry with the most workers is lost later. It also owns the job.
	victim, held := bd.busiestEntry()
	bd.rec.sayf("workers held by each entry: %v", held)
	if ans := bd.post(bd.entries[victim], jobID(1), job); ans.status != http.StatusOK {
		return fmt.Errorf("the job was not accepted: %+v", ans)
	}
	time.Sleep(4 * time.Second)
	if trouble {
		left := false
		for num, wk := range bd.workers {
			if bd.holderOf(wk.id) == victim {
				bd.rec.sayf("worker %d, held by %s, is emptied and leaves", num, bd.entries[victim].name)
				wk.leave(2 * time.Second)
				left = true
				break
			}
		}
		if !left {
			return fmt.Errorf("%s holds no worker", bd.entries[victim].name)
		}
	}
	time.Sleep(pause)
	_, held = bd.busiestEntry()
	bd.rec.sayf("workers held by each entry: %v", held)
	return bd.loseEntry(victim, watch, jobID(1))
}

// busiestEntry returns the number of the entry that holds the most workers, and
// how many each entry holds.
func (bd *bed) busiestEntry() (int, []int) {
	held := make([]int, len(bd.entries))
	for _, wk := range bd.workers {
		if num := bd.holderOf(wk.id); num >= 0 {
			held[num]++
		}
	}
	most := 0
	for num := range held {
		if held[num] > held[most] {
			most = num
		}
	}
	return most, held
}

// loseEntry removes an entry for good, adds one at another address two seconds
// later, and checks that all tasks of a long-running job are started again.
func (bd *bed) loseEntry(victim int, watch time.Duration, id string) error {
	bd.rec.sayf("%s is removed for good; running before: %d", bd.entries[victim].name, len(bd.runningTasks(id)))
	// A machine without power does not answer, and does not refuse connections.
	bd.entries[victim].signal(syscall.SIGSTOP)
	time.Sleep(2 * time.Second)
	if err := bd.addEntry(); err != nil {
		return err
	}
	bd.rec.sayf("a new entry has started at another address")
	return bd.watchLasting(id, contactTime, watch)
}

// watchLasting checks for some time that no long-running task of a job is away
// for longer than the rule allows. The calm time begins after a pause.
func (bd *bed) watchLasting(id string, pause, watch time.Duration) error {
	began := time.Now()
	total := 0
	for _, st := range bd.jobs[id].Steps {
		if st.LongRunning {
			total += st.Count
		}
	}
	away, longest := 0, time.Duration(0)
	before := -1
	for time.Since(began) < watch {
		time.Sleep(100 * time.Millisecond)
		if now := len(bd.runningTasks(id)); now != before {
			bd.rec.sayf("long-running tasks at work: %d of %d", now, total)
			before = now
		}
		missing := total - len(bd.runningTasks(id))
		if gone := bd.longestAway(id); time.Since(began) > pause+calmBefore+idleTime && missing > 0 && gone > longest {
			away, longest = missing, gone
		}
	}
	bd.rec.sayf("tasks not at work at the end of the watch: %d; away at most %.1f s after their last run (%d tasks)",
		total-len(bd.runningTasks(id)), longest.Seconds(), away)
	if longest >= lastingGrace+idleTime {
		return fmt.Errorf("%w: %d long-running tasks were not at work for %.1f s", errBroken, away, longest.Seconds())
	}
	return nil
}

// runningTasks returns the long-running tasks of a job that run on some worker.
func (bd *bed) runningTasks(id string) map[string]bool {
	tasks := map[string]bool{}
	for _, wk := range bd.workers {
		wk.mu.Lock()
		for task := range wk.running {
			job, num := jobOf(task)
			if job == id && bd.jobs[id].Steps[num].LongRunning {
				tasks[task] = true
			}
		}
		wk.mu.Unlock()
	}
	return tasks
}

// longestAway returns the longest time for which a long-running task of a job
// that is not at work has been away.
func (bd *bed) longestAway(id string) time.Duration {
	running := bd.runningTasks(id)
	last := map[string]time.Duration{}
	bd.mu.Lock()
	defer bd.mu.Unlock()
	for _, rn := range bd.runs {
		job, num := jobOf(rn.task)
		if job == id && bd.jobs[id].Steps[num].LongRunning {
			last[rn.task] = max(last[rn.task], rn.ended)
		}
	}
	longest := time.Duration(0)
	for task, at := range last {
		if !running[task] {
			longest = max(longest, bd.rec.now()-at)
		}
	}
	return longest
}

// playRefused cancels best-effort jobs shortly after they were handed in.
func playRefused(bd *bed, trouble bool) error {
	const jobs = 400
	if err := bd.start(4, bigKind); err != nil {
		return err
	}
	job := jobBody{Spec: "x", BestEffort: true, Steps: []step{{Count: 4, CPU: 500, MemMB: 64, EstimatedMs: 100, runMs: 100}}}
	answers := make([]answer, jobs)
	grp := group.New(bd.grp.Context())
	for num := range jobs {
		en := bd.entries[num%len(bd.entries)]
		grp.Go(func(context.Context) { answers[num] = bd.post(en, jobID(num), job) })
		time.Sleep(time.Duration(num%20) * 200 * time.Microsecond)
		if trouble {
			bd.call(en, http.MethodDelete, jobID(num), nil)
		}
		time.Sleep(20 * time.Millisecond)
	}
	grp.Wait()
	time.Sleep(time.Second)
	wrong := 0
	example := ""
	counts := map[string]int{}
	for num, ans := range answers {
		counts[fmt.Sprintf("%d %s", ans.status, ans.state)]++
		if ans.status == http.StatusServiceUnavailable || ans.status == http.StatusTooManyRequests {
			if starts := bd.startsOf(jobID(num)); len(starts) > 0 {
				wrong++
				example = fmt.Sprintf("job %s was answered %d %s, %d tasks were started", jobID(num), ans.status, ans.body, len(starts))
			}
		}
	}
	bd.rec.sayf("answers %v; rejected jobs of which a task was started: %d", counts, wrong)
	if wrong > 0 {
		return fmt.Errorf("%w: %s", errBroken, example)
	}
	return nil
}

// playRouteRemoved removes the route of a running job and then kills the entry
// that owns it, beside a steady traffic on another route.
func playRouteRemoved(bd *bed, trouble bool) error {
	const (
		before = 4 * time.Second
		after  = 36 * time.Second
	)
	bd.extraRoute = true
	if err := bd.start(4, bigKind); err != nil {
		return err
	}
	quick := func(int) jobBody {
		return jobBody{Spec: "quick", BestEffort: true, Steps: []step{{Count: 4, CPU: 500, MemMB: 64, EstimatedMs: 60, runMs: 60}}}
	}
	small := func(int) jobBody {
		return jobBody{Spec: "small", Steps: []step{
			{Count: 8, CPU: 500, MemMB: 64, EstimatedMs: 300, runMs: 300},
			{Count: 8, CPU: 500, MemMB: 64, EstimatedMs: 300, After: []int{0}, runMs: 300},
		}}
	}
	long := jobBody{Spec: "long"}
	for num := range 12 {
		st := step{Count: 45, CPU: 2500, MemMB: 64, EstimatedMs: 250, runMs: 250}
		if num > 0 {
			st.After = []int{num - 1}
		}
		long.Steps = append(long.Steps, st)
	}
	stored, unstored := newSubmitter(bd), newSubmitter(bd)
	grp := group.New(bd.grp.Context())
	grp.Go(func(context.Context) { stored.steady(0, 500*time.Millisecond, before+after, small) })
	grp.Go(func(context.Context) { unstored.steady(1<<16, 15*time.Millisecond, before+after, quick) })
	time.Sleep(before)
	owner := bd.entries[0]
	if ans := bd.postAt(owner, extraPrefix, jobID(1<<20), long); ans.status != http.StatusOK {
		return fmt.Errorf("the job was not accepted: %+v", ans)
	}
	time.Sleep(time.Second)
	bd.extraRoute = false
	if err := bd.configure(8); err != nil {
		return err
	}
	bd.rec.sayf("the route of the job is removed")
	if trouble {
		time.Sleep(500 * time.Millisecond)
		bd.rec.sayf("%s is killed", owner.name)
		owner.kill()
		time.Sleep(time.Second)
		if err := owner.start(false); err != nil {
			return err
		}
	}
	grp.Wait()
	stored.grp.Wait()
	unstored.grp.Wait()
	bd.rec.sayf("stored jobs: accepted=%d refused=%d silent=%d", len(stored.accepted), stored.refused, stored.silent)
	bd.rec.sayf("best-effort jobs: success=%d refused=%d silent=%d", len(unstored.accepted), unstored.refused, unstored.silent)
	time.Sleep(finishTime)
	bd.rec.sayf("tasks done of the job on the removed route: %d of 540", bd.doneTasks(jobID(1<<20)))
	if err := bd.checkFinished(stored.accepted); err != nil {
		return err
	}
	return bd.checkFinished([]string{jobID(1 << 20)})
}

// doneTasks returns how many tasks of a job have ended done.
func (bd *bed) doneTasks(id string) int {
	bd.mu.Lock()
	defer bd.mu.Unlock()
	done := map[string]bool{}
	for _, rn := range bd.runs {
		if job, _ := jobOf(rn.task); job == id && rn.how == howDone {
			done[rn.task] = true
		}
	}
	return len(done)
}

// playGang submits a gang whose tasks need accelerators and no CPU.
func playGang(bd *bed, trouble bool) error {
	if err := bd.start(4, kind{name: "a", room: room{CPU: 32000, MemMB: 65536, GPUs: 8}}); err != nil {
		return err
	}
	job := jobBody{Spec: "gang", Steps: []step{{Count: 8, MemMB: 64, GPUs: 1, EstimatedMs: 300, Gang: true, runMs: 300}}}
	if !trouble {
		job.Steps[0].CPU = 500
	}
	if ans := bd.post(bd.entries[0], jobID(1), job); ans.status != http.StatusOK {
		return fmt.Errorf("the job was not accepted: %+v", ans)
	}
	time.Sleep(finishTime)
	return bd.checkFinished([]string{jobID(1)})
}

// playCancelLost loses the answer to the insertion of a long job, and cancels
// the job at the entry that still waits for that answer.
func playCancelLost(bd *bed, trouble bool) error {
	if err := bd.start(4, bigKind); err != nil {
		return err
	}
	job := jobBody{Spec: "x", Steps: []step{{Count: 8, CPU: 500, MemMB: 64, EstimatedMs: 30000, runMs: 30000}}}
	if trouble {
		lost := false
		bd.store.setLoseTx(func(puts []storeRow) bool {
			if lost || len(puts) == 0 || puts[0].Table != "oleanderwall-jobs" {
				return false
			}
			lost = true
			return true
		})
	}
	grp := group.New(bd.grp.Context())
	grp.Go(func(context.Context) { bd.post(bd.entries[0], jobID(1), job) })
	time.Sleep(300 * time.Millisecond)
	if ans := bd.post(bd.entries[1], jobID(1), job); ans.status != http.StatusOK {
		return fmt.Errorf("the job was not accepted: %+v", ans)
	}
	time.Sleep(100 * time.Millisecond)
	sent := bd.rec.now()
	ans := bd.call(bd.entries[0], http.MethodDelete, jobID(1), nil)
	bd.rec.sayf("the cancelling was sent at %.3f, answered %d %s", sent.Seconds(), ans.status, ans.state)
	grp.Wait()
	time.Sleep(4*time.Second + 3*time.Second + 100*time.Millisecond)
	used := int64(0)
	for _, wk := range bd.workers {
		cpu, _ := wk.load()
		used += cpu
	}
	bd.rec.sayf("CPU in use by tasks of the cancelled job: %d", used)
	if used > 0 {
		return fmt.Errorf("%w: the tasks run on", errBroken)
	}
	return nil
}

// playForeignRow keeps a row of another writer in the table of the workers, and
// kills the entry that owns a running job.
func playForeignRow(bd *bed, trouble bool) error {
	const watch = 30 * time.Second
	if err := bd.start(6, bigKind); err != nil {
		return err
	}
	if trouble {
		bd.grp.Every(reportEvery, func(context.Context) {
			err := bd.store.put(tableWorkers, "i-0badc0de", workerReport{
				Service: "another-system", Address: bd.prefix + "250:9", Zone: "nalon", Version: "v1", Capacity: 8, State: "ready",
				Room: bigKind.room, Labels: []string{"a", "r1-0"}, Sequence: time.Now().UnixMilli(),
			})
			if err != nil {
				bd.rec.logf("foreign row: %v", err)
			}
		})
	}
	time.Sleep(5 * time.Second)
	owner := bd.entries[0]
	job := jobBody{Spec: "x", Steps: []step{{Count: 540, CPU: 2000, MemMB: 64, EstimatedMs: 800, runMs: 800}}}
	if ans := bd.postAt(owner, pathPrefix, jobID(1), job); ans.status != http.StatusOK {
		return fmt.Errorf("the job was not accepted: %+v", ans)
	}
	time.Sleep(1500 * time.Millisecond)
	bd.rec.sayf("%s is killed; tasks done: %d", owner.name, bd.doneTasks(jobID(1)))
	owner.kill()
	time.Sleep(time.Second)
	if err := owner.start(false); err != nil {
		return err
	}
	time.Sleep(watch)
	bd.rec.sayf("tasks done: %d", bd.doneTasks(jobID(1)))
	return bd.checkFinished([]string{jobID(1)})
}

// playTaskFails lets one run of each of four long-running jobs fail once, on
// four workers in turn, and then hands in jobs that end by themselves.
func playTaskFails(bd *bed, trouble bool) error {
	const (
		workers = 4
		jobs    = 4
	)
	if err := bd.start(workers, bigKind); err != nil {
		return err
	}
	for num := range jobs {
		job := jobBody{Spec: "lasting", Steps: []step{{Count: 4, CPU: 1000, MemMB: 64, EstimatedMs: 1000, AntiAffinity: 1, LongRunning: true}}}
		if ans := bd.post(bd.entries[num%3], jobID(num), job); ans.status != http.StatusOK {
			return fmt.Errorf("the job was not accepted: %+v", ans)
		}
	}
	time.Sleep(5 * time.Second)
	for num := range jobs {
		if trouble {
			bd.rec.sayf("%s: one run of job %s ends failed", bd.workers[num].id, jobID(num))
			bd.workers[num].fail(jobID(num))
		}
		time.Sleep(3 * time.Second)
	}
	su := newSubmitter(bd)
	small := func(int) jobBody {
		return jobBody{Spec: "small", Steps: []step{{Count: 4, CPU: 500, MemMB: 64, EstimatedMs: 100, runMs: 100}}}
	}
	su.steady(100, 500*time.Millisecond, 5*time.Second, small)
	su.grp.Wait()
	time.Sleep(finishTime)
	away := 0
	for num := range jobs {
		away += 4 - len(bd.runningTasks(jobID(num)))
	}
	bd.rec.sayf("long-running tasks not at work: %d of %d; away for %.1f s", away, 4*jobs, bd.longestAway(jobID(0)).Seconds())
	if err := bd.checkFinished(su.accepted); err != nil {
		return err
	}
	if away > 0 {
		return fmt.Errorf("%w: %d long-running tasks were not started again", errBroken, away)
	}
	return nil
}
