package dispatch

import "github.com/oleanderwall/oleanderwall/internal/ids"

// SavedRun is the progress that a run had saved when it ended.
type SavedRun struct {
	Ref        TaskRef
	Checkpoint string
}

// keepProgress keeps the progress of a stored job's task that has ended here,
// for an owner that takes over the job. The latest run has come furthest.
func (en *Entry) keepProgress(ref TaskRef, checkpoint string) {
	if checkpoint == "" || !en.storedHere(ref) {
		return
	}
	at, _ := splitTask(ref.Task)
	kept := en.progress[at.job]
	if kept == nil {
		kept = map[TaskID]SavedRun{}
		en.progress[at.job] = kept
	}
	if ref.Run >= kept[ref.Task].Ref.Run {
		kept[ref.Task] = SavedRun{Ref: ref, Checkpoint: checkpoint}
	}
}

// progressOf lists the progress that is kept of a job's tasks.
func (en *Entry) progressOf(id ids.JobID) []SavedRun {
	var list []SavedRun
	for _, task := range sortedKeys(en.progress[id]) {
		list = append(list, en.progress[id][task])
	}
	return list
}

// takeProgress lets a task go on from the progress of an earlier run.
func (en *Entry) takeProgress(sv SavedRun) {
	gr, ta := en.task(sv.Ref.Task)
	if ta == nil || sv.Ref.Run < ta.savedRun || !gr.job.Job.Steps[gr.step].Checkpointing {
		return
	}
	ta.savedRun = sv.Ref.Run
	gr.saved(ta, sv.Checkpoint)
}
