package entry

import (
	"net/http"

	"github.com/oleanderwall/oleanderwall/internal/job"
	"github.com/oleanderwall/oleanderwall/internal/objects"
	"github.com/oleanderwall/oleanderwall/internal/table"
	"github.com/oleanderwall/oleanderwall/internal/worker"
)

// buildJobs builds the job manager and registers it for other entries.
func (en *Entry) buildJobs(rows *table.Client, platform *http.Client) error {
	en.placement = worker.New(worker.Options{
		Board:       en.board,
		Counters:    en.cnt,
		Incarnation: en.inc,
		Zone:        en.set.AvailabilityZone,
		Log:         en.log,
	})
	en.jobs = job.New(job.Options{
		Board:       en.board,
		Rows:        rows,
		Objects:     objects.New(en.set.Platform.Objects, platform),
		Members:     &en.board.Members,
		Peers:       en.pool,
		Scheduler:   en.placement,
		Traffic:     en.placement,
		Counters:    en.cnt,
		Incarnation: en.inc,
		Log:         en.log,
	})
	en.placement.SetEvents(en.jobs)
	en.AddLeaveStep("finish-jobs", en.jobs.Leave)
	return en.peers.Register(job.PeerName, en.jobs.PeerService())
}
