package dispatch

import (
	"maps"
	"slices"
	"time"
)

// A caller announces how long it still waits. One that sends a request again has less
// time left than callers of the queue have on their first attempt. The difference is
// the least age of the request: its objective counts from the first attempt, so that
// work that is already late does not delay new requests.
//
// The age changes the order of work and whether a job is refused as not run. It does
// not change who may start a task.

// announcedWaits learns how long the callers of one queue announce to wait on their
// first attempt.
type announcedWaits struct {
	values  []time.Duration // the latest samples, at most maxWaitSamples
	next    int             // index of the oldest sample once there are maxWaitSamples
	takenAt time.Time       // when the last sample was taken
	low     time.Duration   // quantile of the samples, 0 until there are minWaitSamples
	// forgotten is set after the callers have changed. The configured timeout then
	// says nothing about them.
	forgotten bool
	// The samples since windowAt and those of them that were not learned from, and the
	// sum of the shares of the latter in consecutive windows.
	windowAt    time.Time
	seen, below int
	evidence    float64
}

// The limits on learning how long callers wait.
const (
	// minWaitSamples is the number of samples from which their quantile is used. The
	// next ones are taken at waitSampleInterval, so that maxWaitSamples cover some
	// eight minutes and a pause of some callers does not change the quantile.
	minWaitSamples     = 50
	maxWaitSamples     = 128
	waitSampleInterval = 4 * time.Second
	// waitQuantile is the share of the samples that are below the learned wait.
	waitQuantile = 0.05
	// repeatedShare times the learned wait is the wait below which a request counts as
	// sent before, and is not learned from.
	repeatedShare = 0.8
	// A wave of repeated requests lasts some seconds. If requests below that limit are
	// more than waitQuantile of all in consecutive windows, until their shares add up to
	// changedEvidence, they are first attempts of callers that wait less than before.
	waitWindow      = 10 * time.Second
	changedEvidence = 2.5
)

// age returns the least age of a request. The timeout is that of the queue.
func (aw *announcedWaits) age(wait, timeout time.Duration) time.Duration {
	if !aw.repeated(wait, timeout) {
		return 0
	}
	return aw.firstWait(timeout) - wait
}

// repeated reports whether a request counts as sent before. Some first attempts are
// below the learned wait, so only one that is far below counts.
func (aw *announcedWaits) repeated(wait, timeout time.Duration) bool {
	limit := aw.firstWait(timeout)
	if aw.low > 0 {
		limit = time.Duration(repeatedShare * float64(limit))
	}
	return wait < limit
}

// firstWait returns how long nearly all callers announce to wait on their first
// attempt, 0 if it is not known.
func (aw *announcedWaits) firstWait(timeout time.Duration) time.Duration {
	switch {
	case aw.low > 0:
		return aw.low
	case aw.forgotten:
		return 0
	}
	return timeout
}

// learn takes the announced wait of a request into account.
func (aw *announcedWaits) learn(wait, timeout time.Duration, now time.Time) {
	if now.Sub(aw.windowAt) >= waitWindow {
		aw.endWindow(now)
	}
	aw.seen++
	if aw.repeated(wait, timeout) {
		aw.below++
		return
	}
	if aw.low > 0 && now.Sub(aw.takenAt) < waitSampleInterval {
		return
	}
	aw.takenAt = now
	if len(aw.values) < maxWaitSamples {
		aw.values = append(aw.values, wait)
	} else {
		aw.values[aw.next] = wait
		aw.next = (aw.next + 1) % maxWaitSamples
	}
	if len(aw.values) >= minWaitSamples {
		sorted := slices.Sorted(slices.Values(aw.values))
		aw.low = sorted[int(waitQuantile*float64(len(sorted)))]
	}
}

// endWindow forgets the learned wait if the callers have changed.
func (aw *announcedWaits) endWindow(now time.Time) {
	share := float64(aw.below) / float64(max(aw.seen, 1))
	aw.windowAt, aw.seen, aw.below = now, 0, 0
	if share <= waitQuantile {
		aw.evidence = 0
		return
	}
	if aw.evidence += share; aw.evidence >= changedEvidence {
		*aw = announcedWaits{windowAt: now, forgotten: true}
	}
}

// requestAge returns the least age of a request, and learns from it. Callers that ask
// for a stored job again are recognized by its id.
func (en *Entry) requestAge(sub Submission) time.Duration {
	wait := sub.Deadline.Sub(sub.Arrived)
	if sub.Job.Stored || sub.Deadline.IsZero() || wait <= 0 {
		return 0
	}
	aw := en.announced[sub.Queue.Name]
	if aw == nil {
		en.forgetQueues()
		aw = &announcedWaits{}
		en.announced[sub.Queue.Name] = aw
	}
	age := aw.age(wait, sub.Queue.Timeout)
	aw.learn(wait, sub.Queue.Timeout, en.now())
	if age > 0 {
		en.eff.Count("admission", "aged", 1)
	}
	return age
}

// forgetQueues forgets queues that no longer exist once there are more than queues.
func (en *Entry) forgetQueues() {
	if en.desired == nil || len(en.announced) <= len(en.desired.Queues) {
		return
	}
	present := map[string]bool{}
	for _, qu := range en.desired.Queues {
		present[qu.Name] = true
	}
	maps.DeleteFunc(en.announced, func(name string, _ *announcedWaits) bool { return !present[name] })
}

// refuseAged refuses a job that can't be answered in time to be of use, because its
// caller has sent it before. It reports whether it has.
func (en *Entry) refuseAged(jb *job) bool {
	if jb.age <= 0 || !en.tooLate(jb, en.now()) {
		return false
	}
	en.finish(jb, Outcome{Kind: Refused, Reason: "age", RetryAfter: retryAfterOverload(en.queueTime(jb.Queue.Service), jb.Job.ID)})
	return true
}
