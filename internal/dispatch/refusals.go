package dispatch

import (
	"time"

	"github.com/oleanderwall/oleanderwall/internal/ids"
	"github.com/oleanderwall/oleanderwall/pkg/rendezvous"
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

// The times after which callers may retry.
const (
	// retryAfterStore applies when a job can't be stored. Outages of the store last
	// some seconds.
	retryAfterStore = 2 * time.Second
	// minRetryAfter and maxRetryAfter bound the time when a job was refused because
	// of overload. Retry-After is in whole seconds.
	minRetryAfter = time.Second
	maxRetryAfter = 20 * time.Second
)

// queueTime estimates how long the workers of a service need for the tasks that
// wait for room at all entries.
func (en *Entry) queueTime(svc ids.ServiceName) time.Duration {
	var capacity Millicores
	for _, kw := range en.known {
		if kw.info.Service == svc && kw.info.State == WorkerReady && !en.evac.evacuated(kw.info.Zone) {
			capacity += kw.info.Room.CPU
		}
	}
	if capacity <= 0 {
		return retryAfterNoWorker
	}
	waiting := 0.0
	for _, gr := range en.groups {
		if gr.shape.Service == svc && !gr.shape.Lasting {
			waiting += float64(len(gr.queued())) * float64(gr.shape.Need.CPU) * float64(gr.shape.Estimate)
		}
	}
	others, known := en.othersBacklog(svc)
	if !known {
		// They are assumed to have as many tasks as this one.
		return time.Duration(waiting * float64(en.topology.size) / float64(capacity))
	}
	const coreSecond = 1000 * float64(time.Second)
	return time.Duration((waiting + others*coreSecond) / float64(capacity))
}

// retryAfterOverload returns the time after which the caller of a refused job may
// retry: once the queue is expected to be empty, spread over as much time again,
// so that not all refused callers return at once.
func retryAfterOverload(queueTime time.Duration, id ids.JobID) time.Duration {
	spread := 1 + rendezvous.Uniform(string(id), "retry")
	return min(max(time.Duration(spread*float64(queueTime)), minRetryAfter), maxRetryAfter)
}

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
