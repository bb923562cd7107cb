package dispatch

import (
	"slices"
	"strconv"
	"time"

	"github.com/oleanderwall/oleanderwall/internal/ids"
)

// occurrence is one execution of the steps of a job. A job that is not timed has
// exactly one.
type occurrence struct {
	num    int
	groups []*group // by step
	// inherited reports that the previous owner may have started tasks. They have
	// stopped by inheritedUntil of the job.
	inherited bool
	inTime    time.Time
	late      time.Time
}

// group is one step of an occurrence. Its tasks have the same requirements on a
// worker.
type group struct {
	id         GroupID
	job        *job
	occ        *occurrence
	step       int
	tasks      []*task
	shape      Shape     // without the times, which are filled in on sending
	queuedAt   time.Time // when the tasks were queued by this owner
	wantedFrom map[ids.EntryID]bool
	// fewSince is when the group began to ask only few holders, zero if it asks all,
	// and widened is set once it has asked all after that, see askedHolders.
	fewSince time.Time
	widened  bool
	gang     gangState
	advice   adviceState
	// failedAt is when a run last failed. avoidHolders holds the holders of the
	// workers on which runs have failed; it is cleared when no run has failed for
	// carefulTime.
	failedAt     time.Time
	avoidHolders map[ids.EntryID]bool
}

// prepare builds the tasks of a job and computes when it should end.
func (en *Entry) prepare(jb *job) {
	if jb.Job.Repeat.Count > 0 {
		jb.inTime, jb.late = jb.Arrived, jb.Arrived
		en.openDue(jb)
		return
	}
	jb.nextDue = 1
	jb.age = en.requestAge(jb.Submission)
	oc := en.openOccurrence(jb, 0, jb.Arrived.Add(-jb.age))
	jb.inTime, jb.late = oc.inTime, oc.late
	if sub := jb.Submission; !sub.Deadline.IsZero() && sub.Deadline.Before(jb.late) {
		jb.late, oc.late = sub.Deadline, sub.Deadline
	}
}

// openOccurrence builds the tasks of the occurrence with the given number and
// due time.
func (en *Entry) openOccurrence(jb *job, num int, due time.Time) *occurrence {
	oc := &occurrence{num: num}
	en.buildGroups(jb, oc)
	jb.estimate = oc.setChains(jb.Job.Steps)
	objective := time.Duration(float64(jb.estimate)*jb.Queue.Stretch) + jb.Queue.Slack
	oc.inTime = due.Add(objective)
	oc.late = due.Add(lateFactor * objective)
	jb.occs = append(jb.occs, oc)
	jb.groups = append(jb.groups, oc.groups...)
	if !jb.inheritedUntil.IsZero() {
		en.restoreTasks(jb, oc)
	}
	return oc
}

// openDue opens the occurrences of a timed job that are due.
func (en *Entry) openDue(jb *job) {
	rp := jb.Job.Repeat
	wall := en.eff.Wall().UnixMilli()
	for jb.nextDue < rp.Count {
		ago := time.Duration(wall-rp.First)*time.Millisecond - time.Duration(jb.nextDue)*rp.Interval
		if ago < 0 {
			return
		}
		if !jb.occurrenceDone(jb.nextDue) {
			oc := en.openOccurrence(jb, jb.nextDue, en.now().Add(-ago))
			en.eff.Log("occurrence-due", "job", string(jb.Job.ID), "occurrence", oc.num, "late-ms", ago.Milliseconds())
		}
		jb.nextDue++
	}
}

// closeOccurrences removes the occurrences of a timed job that are done.
func (en *Entry) closeOccurrences(jb *job) {
	if jb.Job.Repeat.Count == 0 {
		return
	}
	var occs []*occurrence
	var groups []*group
	for _, oc := range jb.occs {
		if !oc.done() {
			occs, groups = append(occs, oc), append(groups, oc.groups...)
			continue
		}
		for _, gr := range oc.groups {
			en.withdrawWants(gr)
			delete(en.groups, gr.id)
		}
	}
	jb.occs, jb.groups = occs, groups
}

func (oc *occurrence) done() bool {
	for _, gr := range oc.groups {
		if !gr.done() {
			return false
		}
	}
	return true
}

// lasting reports whether some tasks of the job run until it is cancelled.
func (jb Job) lasting() bool {
	return slices.ContainsFunc(jb.Steps, func(st Step) bool { return st.Lasting })
}

// lastingSteps lists the steps whose tasks run until the job is cancelled.
func (jb Job) lastingSteps() []int {
	var list []int
	for num, st := range jb.Steps {
		if st.Lasting {
			list = append(list, num)
		}
	}
	return list
}

// stepTasks lists the numbers of tasks of the steps.
func (jb Job) stepTasks() []int {
	list := make([]int, 0, len(jb.Steps))
	for _, st := range jb.Steps {
		list = append(list, st.Count)
	}
	return list
}

func (en *Entry) buildGroups(jb *job, oc *occurrence) {
	for num, st := range jb.Job.Steps {
		en.lastGroup++
		gr := &group{id: en.lastGroup, job: jb, occ: oc, step: num, wantedFrom: map[ids.EntryID]bool{}}
		gr.shape = Shape{
			Service:        jb.Queue.Service,
			Need:           st.Need,
			Requirement:    st.Requirement,
			Affinity:       st.Affinity,
			AntiAffinity:   st.AntiAffinity,
			Estimate:       en.estimators[jb.Queue.Name].estimate(st.Estimate),
			Priority:       jb.Queue.Priority,
			Stored:         jb.stored != nil,
			Lasting:        st.Lasting,
			Gang:           st.Gang,
			Advised:        jb.Queue.Advised,
			Checkpointing:  st.Checkpointing,
			MaxUnavailable: st.MaxUnavailable,
		}
		prefix := string(jb.Job.ID) + "." + strconv.Itoa(oc.num) + "." + strconv.Itoa(num) + "."
		for idx := range st.Count {
			gr.tasks = append(gr.tasks, &task{id: TaskID(prefix + strconv.Itoa(idx)), state: taskBlocked})
		}
		oc.groups = append(oc.groups, gr)
		en.groups[gr.id] = gr
	}
}

// setChains sets, for each step, the estimated run time of the longest chain of
// steps that begins with it, and returns the longest of all.
func (oc *occurrence) setChains(steps []Step) time.Duration {
	longest := time.Duration(0)
	for num := len(oc.groups) - 1; num >= 0; num-- {
		sh := &oc.groups[num].shape
		sh.Chain += sh.Estimate
		longest = max(longest, sh.Chain)
		for _, dep := range steps[num].After {
			before := &oc.groups[dep].shape
			before.Chain = max(before.Chain, sh.Chain)
		}
	}
	return longest
}

// advance unblocks the steps whose earlier steps are done, and ends the job when
// all steps are done.
func (en *Entry) advance(jb *job) {
	for _, gr := range jb.groups {
		if gr.blocked() && gr.ready() {
			en.unblock(gr)
		}
	}
	en.closeOccurrences(jb)
	if jb.nextDue < max(1, jb.Job.Repeat.Count) || slices.ContainsFunc(jb.groups, func(gr *group) bool { return !gr.done() }) {
		return
	}
	if jb.stored != nil {
		en.writeFinalState(jb, JobCompleted)
		return
	}
	en.finish(jb, Outcome{Kind: Completed})
}

// unblock queues the tasks of a step, or marks them as lost if the previous
// owner may have started them.
func (en *Entry) unblock(gr *group) {
	for _, ta := range gr.tasks {
		switch {
		case ta.state != taskBlocked:
		case gr.occ.inherited:
			ta.state, ta.waitUntil = taskLost, gr.job.inheritedUntil
		default:
			ta.state = taskQueued
		}
	}
	if !gr.occ.inherited {
		gr.queuedAt = en.now()
	}
	en.chooseRack(gr)
	en.place(gr)
}

// ready reports whether all steps that the step waits for are done.
func (gr *group) ready() bool {
	for _, dep := range gr.job.Job.Steps[gr.step].After {
		if !gr.occ.groups[dep].done() {
			return false
		}
	}
	return true
}

func (gr *group) blocked() bool {
	for _, ta := range gr.tasks {
		if ta.state == taskBlocked {
			return true
		}
	}
	return false
}

func (gr *group) done() bool {
	for _, ta := range gr.tasks {
		if ta.state != taskDone {
			return false
		}
	}
	return true
}

func (gr *group) queued() []*task {
	var list []*task
	for _, ta := range gr.tasks {
		if ta.state == taskQueued {
			list = append(list, ta)
		}
	}
	return list
}
