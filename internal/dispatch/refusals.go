package dispatch

import (
	"time"

	"github.com/oleanderwall/oleanderwall/internal/ids"
)

// startupTime is the time after the start of an entry in which its list of
// workers may be incomplete. Jobs wait during that time; reading the store and
// becoming the holder of workers takes 0.5 s.
const startupTime = 1500 * time.Millisecond

// retryAfterNoWorker is the time after which the caller may retry when there is
// no worker of the service. It is about two report intervals of a worker.
const retryAfterNoWorker = 3 * time.Second

func (en *Entry) hasReadyWorker(svc ids.ServiceName) bool {
	for _, kw := range en.known {
		if kw.info.Service == svc && kw.info.State == WorkerReady {
			return true
		}
	}
	return false
}

// retryAfterOverload is the time after which the caller may retry when a job was
// refused because of overload. It is a few times the longest task that this
// system is designed for.
const retryAfterOverload = 2 * time.Second

// tooLate reports whether no task of a job has begun and the job can no longer
// end in time to be of use to its caller.
func (en *Entry) tooLate(jb *job, now time.Time) bool {
	return jb.Job.Repeat.Count == 0 && jb.notStarted() && now.Add(jb.estimate).After(jb.late)
}

// notStarted reports whether no worker can have started a task of the job.
func (jb *job) notStarted() bool {
	if jb.begun {
		return false
	}
	for _, gr := range jb.groups {
		for _, ta := range gr.tasks {
			if ta.state != taskBlocked && ta.state != taskQueued {
				return false
			}
		}
	}
	return true
}
