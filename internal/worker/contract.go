package worker

import "github.com/oleanderwall/oleanderwall/internal/platform"

// Demand is what one task asks for.
type Demand struct {
	Task         TaskID
	Team         platform.TeamID
	Job          platform.JobID
	Kind         platform.RequestKind
	Processors   platform.Cores
	Memory       platform.Megabytes
	Accelerators int
	RunMillis    int64
}

// Placement is the worker that a task was assigned to.
type Placement struct {
	Worker  platform.WorkerID
	Address string
}
