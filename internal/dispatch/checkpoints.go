package dispatch

import "github.com/oleanderwall/oleanderwall/internal/ids"

// SavedRun is the checkpoint that a run had saved when it ended.
type SavedRun struct {
	Ref        TaskRef
	Checkpoint string
}

// keepCheckpoint keeps the checkpoint of a stored job's task whose run has ended
// at this holder, for an entry that takes over the job. Only the checkpoint of
// the latest run is kept, because that run has progressed furthest.
func (en *Entry) keepCheckpoint(ref TaskRef, checkpoint string) {
	if checkpoint == "" || !en.inOpenJob(ref) {
		return
	}
	at, _ := parseTaskID(ref.Task)
	kept := en.savedCheckpoints[at.job]
	if kept == nil {
		kept = map[TaskID]SavedRun{}
		en.savedCheckpoints[at.job] = kept
	}
	if ref.Run >= kept[ref.Task].Ref.Run {
		kept[ref.Task] = SavedRun{Ref: ref, Checkpoint: checkpoint}
	}
}

// checkpointsOf lists the checkpoints that this holder keeps of a job's tasks.
func (en *Entry) checkpointsOf(id ids.JobID) []SavedRun {
	var list []SavedRun
	for _, task := range sortedKeys(en.savedCheckpoints[id]) {
		list = append(list, en.savedCheckpoints[id][task])
	}
	return list
}

// resumeFrom makes a task resume from the checkpoint of an earlier run, unless
// it already has that of a later one.
func (en *Entry) resumeFrom(sv SavedRun) {
	gr, ta := en.task(sv.Ref.Task)
	if ta == nil || sv.Ref.Run < ta.checkpointRun || !gr.job.Job.Steps[gr.step].Checkpointing {
		return
	}
	ta.checkpointRun = sv.Ref.Run
	gr.setCheckpoint(ta, sv.Checkpoint)
}
