package dispatch

import (
	"testing"
	"time"
)

// The behaviour of callers of jobs that are not stored, as the platform
// documents it: a caller that has no answer by its deadline, or whose
// connection has broken, sends the job again to any entry after a pause.
const (
	emuDeadline    = 1500 * time.Millisecond
	emuResendPause = 1300 * time.Millisecond
	emuAttempts    = 4
	// emuCallers names the callers as one side of a partition.
	emuCallers = "callers"
	// emuDeliveryRetry is the interval at which a connection retries to deliver
	// bytes during a partition.
	emuDeliveryRetry = 5 * time.Millisecond
)

// emuCall is a caller's job, which is sent until it is answered.
type emuCall struct {
	wo       *world
	job      Job
	queue    Queue
	attempts int
	conn     *emuConn
}

// emuConn is one connection of a caller to an entry. Bytes arrive in order. A
// partition delays them until it heals.
type emuConn struct {
	ca       *emuCall
	ee       *emuEntry
	gen      int
	queue    []func()
	flushing bool
	closed   bool // the end of the connection is the last element of the queue
	broken   bool // the caller no longer uses the connection
	// ended is set when the end of the connection has reached the entry's VM, and
	// settled when the entry has read the end or has answered.
	ended, settled bool
}

// sendCall makes a caller send one job to an entry, and resend it until it is
// answered.
func (wo *world) sendCall(ee *emuEntry, kd kind) *emuCall {
	job, qu := wo.randomJob(kd)
	ca := &emuCall{wo: wo, job: job, queue: qu}
	wo.calls[job.ID] = ca
	ca.send(ee)
	return ca
}

// send makes one attempt.
func (ca *emuCall) send(ee *emuEntry) {
	ca.attempts++
	co := &emuConn{ca: ca, ee: ee, gen: ee.gen}
	ca.conn = co
	if !ee.alive {
		co.resendLater()
		return
	}
	co.enqueue(func() {
		if co.ended {
			// The entry reads the request together with the end of the connection, and
			// does not submit the job.
			return
		}
		wo := ca.wo
		ee.en.Submit(Submission{
			Job: ca.job, Queue: ca.queue, Arrived: wo.at, Deadline: wo.at.Add(emuDeadline),
			Done: func(out Outcome) { co.answer(out) },
		})
	})
	ca.wo.after(emuDeadline, func() { co.close() })
}

// enqueue queues bytes for delivery to the entry.
func (co *emuConn) enqueue(fn func()) {
	co.queue = append(co.queue, fn)
	if !co.flushing {
		co.flushing = true
		co.ca.wo.after(emuNetworkDelay, co.flush)
	}
}

// flush delivers the queued bytes, or retries later during a partition.
func (co *emuConn) flush() {
	wo := co.ca.wo
	if co.ee.gen != co.gen || !co.ee.alive {
		co.queue = nil
		return
	}
	if wo.isCut(emuCallers, string(co.ee.id)) {
		wo.after(emuDeliveryRetry, co.flush)
		return
	}
	co.flushing = false
	queue := co.queue
	co.queue, co.ended = nil, co.closed
	for _, fn := range queue {
		co.ee.deliver(fn)
	}
}

// cancelJob cancels the job at the entry because the connection has ended.
func (co *emuConn) cancelJob() {
	if !co.settled {
		co.settled = true
		co.ee.en.Cancel(co.ca.job.ID, "caller-left")
	}
}

// close closes the connection at the caller after its deadline.
func (co *emuConn) close() {
	if co.broken {
		return
	}
	co.enqueue(co.cancelJob)
	co.closed = true
	co.resendLater()
}

// reset breaks the connection on the caller's side only. Queued bytes are lost,
// and the entry does not detect the end of the connection.
func (co *emuConn) reset() {
	if co.broken {
		return
	}
	co.queue = nil
	co.resendLater()
}

// resendLater makes the caller resend the job after a pause.
func (co *emuConn) resendLater() {
	if co.broken {
		return
	}
	co.broken = true
	ca := co.ca
	if ca.attempts >= emuAttempts {
		return
	}
	ca.wo.after(emuResendPause, func() {
		list := ca.wo.sortedEntries()
		ca.send(list[ca.wo.rnd.IntN(len(list))])
	})
}

// answer delivers the outcome of an attempt to the caller.
func (co *emuConn) answer(out Outcome) {
	co.settled = true
	wo := co.ca.wo
	wo.after(emuNetworkDelay, func() {
		if co.broken || wo.isCut(emuCallers, string(co.ee.id)) {
			return
		}
		if out.Kind == Abandoned {
			co.resendLater()
			return
		}
		co.broken = true
		wo.done[out.Kind]++
	})
}

// breakConnections breaks the callers' connections to an entry whose process
// has ended.
func (wo *world) breakConnections(ee *emuEntry) {
	for _, id := range sortedKeys(wo.calls) {
		if co := wo.calls[id].conn; co != nil && co.ee == ee && !wo.isCut(emuCallers, string(ee.id)) {
			co.resendLater()
		}
	}
}

// resetCallers resets the connections of all callers to an entry.
func (wo *world) resetCallers(ee *emuEntry) {
	for _, id := range sortedKeys(wo.calls) {
		if co := wo.calls[id].conn; co.ee == ee {
			co.reset()
		}
	}
}

// cutCallers partitions an entry from all callers for the given time.
func (wo *world) cutCallers(ee *emuEntry, du time.Duration) {
	wo.setCut(emuCallers, string(ee.id), true)
	wo.after(du, func() { wo.setCut(emuCallers, string(ee.id), false) })
}

// cutFromEntriesAndStore partitions an entry from the other entries and from the
// store for the given time. It still reaches the workers.
func (wo *world) cutFromEntriesAndStore(ee *emuEntry, du time.Duration) {
	wo.storeCut[ee.id] = true
	for _, other := range wo.sortedEntries() {
		wo.setCut(string(ee.id), string(other.id), true)
	}
	wo.after(du, func() {
		delete(wo.storeCut, ee.id)
		for _, other := range wo.sortedEntries() {
			wo.setCut(string(ee.id), string(other.id), false)
		}
	})
}

// TestCancelBeforeAnswer guards against a job that is reported as not run although a
// worker has started a task of it: its caller cancels it while the start order is on
// its way.
func TestCancelBeforeAnswer(t *testing.T) {
	t.Parallel()
	wo, en, _ := newHolder()
	en.HoldReplied("w", 50, HoldReply{Clock: WorkerTime(time.Minute), Born: 1})
	qu, _ := en.findQueue("fit")
	var out Outcome
	en.Submit(Submission{
		Job:   Job{ID: "0000000000000001", Steps: []Step{{Count: 1, Need: Resources{CPU: 1000}, Estimate: time.Second}}},
		Queue: qu, Arrived: wo.at, Deadline: wo.at.Add(time.Second), Done: func(oc Outcome) { out = oc },
	})
	if len(en.workers["w"].slots) != 1 {
		t.Fatal("no start order was sent")
	}
	en.Cancel("0000000000000001", "caller-left")
	if out.Kind != Abandoned {
		t.Errorf("the outcome is %+v, want abandoned", out)
	}
}

// cutWorkers partitions an entry from all workers for the given time.
func (wo *world) cutWorkers(ee *emuEntry, du time.Duration) {
	for _, wk := range wo.sortedWorkers() {
		wo.setCut(string(ee.id), string(wk.info.ID), true)
		wo.after(du, func() { wo.setCut(string(ee.id), string(wk.info.ID), false) })
	}
}

// loadCalls makes callers send jobs of the given kinds at random times to random
// entries.
func (wo *world) loadCalls(kinds []kind, factor float64, du time.Duration) {
	end := wo.at.Add(du)
	for _, kd := range kinds {
		var next func()
		next = func() {
			if wo.at.After(end) {
				return
			}
			list := wo.sortedEntries()
			wo.sendCall(list[wo.rnd.IntN(len(list))], kd)
			wo.after(time.Duration(wo.rnd.ExpFloat64()/(kd.perS*factor)*float64(time.Second)), next)
		}
		wo.after(time.Duration(wo.rnd.Float64()*float64(time.Second)/(kd.perS*factor)), next)
	}
}

// callerKinds are kinds of job that may run for as long as their callers wait.
var callerKinds = []kind{
	{queue: "fit", perS: 40, width: 2, work: 200 * time.Millisecond},
	{queue: "pair", perS: 12, width: 4, work: 900 * time.Millisecond},
}

// TestCallersResend guards against a task that runs twice because its caller
// has lost the connection to one entry and resends the job to another, while
// the first entry has not yet received the end of the connection.
func TestCallersResend(t *testing.T) {
	t.Parallel()
	rows := []struct {
		name  string
		fault func(wo *world, ee *emuEntry)
	}{
		{"no fault: callers give up at their deadline", func(*world, *emuEntry) {}},
		{"callers cut off: their ends arrive seconds later", func(wo *world, ee *emuEntry) {
			wo.cutCallers(ee, 4*time.Second)
		}},
		{"entry killed", func(wo *world, ee *emuEntry) {
			ee.kill()
			wo.after(time.Second, func() { ee.start(0.4) })
		}},
		{"all entries without power", func(wo *world, _ *emuEntry) {
			for _, ee := range wo.sortedEntries() {
				ee.kill()
				wo.after(time.Duration(float64(time.Second)*(1+wo.rnd.Float64())), func() { ee.start(0.4) })
			}
		}},
		{"a third of the entries killed", func(wo *world, _ *emuEntry) {
			for num, ee := range wo.sortedEntries() {
				if num%3 == 0 {
					ee.kill()
					wo.after(2*time.Second, func() { ee.start(0.4) })
				}
			}
		}},
		{"entry frozen", func(wo *world, ee *emuEntry) {
			ee.freeze(time.Duration(float64(time.Second) * (0.8 + 3.2*wo.rnd.Float64())))
		}},
		{"entry frozen while the store is down", func(wo *world, ee *emuEntry) {
			wo.storeUp = false
			ee.freeze(time.Duration(float64(time.Second) * (0.8 + 3.2*wo.rnd.Float64())))
			wo.after(4*time.Second, func() { wo.storeUp = true })
		}},
		{"entry and callers cut off", func(wo *world, ee *emuEntry) {
			wo.cutFromEntriesAndStore(ee, 4*time.Second)
			wo.cutCallers(ee, 4*time.Second)
		}},
		{"entry, workers and callers cut off, and callers reset", func(wo *world, ee *emuEntry) {
			wo.cutFromEntriesAndStore(ee, 4*time.Second)
			wo.cutWorkers(ee, 4*time.Second)
			wo.cutCallers(ee, 4*time.Second)
			wo.resetCallers(ee)
		}},
		{"zone cut off, and its callers from elsewhere", func(wo *world, ee *emuEntry) {
			wo.cutZone(ee.zone, 4*time.Second)
			wo.cutCallers(ee, 4*time.Second)
		}},
		{"sessions to the holders end while the callers leave", func(wo *world, ee *emuEntry) {
			for _, other := range wo.sortedEntries() {
				wo.setCut(string(ee.id), string(other.id), true)
				wo.after(700*time.Millisecond, func() { wo.setCut(string(ee.id), string(other.id), false) })
			}
			for _, id := range sortedKeys(wo.calls) {
				co := wo.calls[id].conn
				if co.ee == ee {
					wo.after(time.Duration(wo.rnd.Float64()*float64(time.Second)), co.close)
				}
			}
		}},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			t.Parallel()
			for _, seed := range []uint64{0, 3, 5} {
				wo := standardWorld(seed+300, 7, 48)
				wo.loadCalls(callerKinds, 1, 14*time.Second)
				wo.run(3 * time.Second)
				for num := range 2 {
					wo.after(time.Duration(num)*6*time.Second, func() {
						list := wo.sortedEntries()
						row.fault(wo, list[wo.rnd.IntN(len(list))])
					})
				}
				wo.run(22 * time.Second)
				for _, fa := range wo.violations {
					t.Errorf("seed %d: %s", seed, fa)
				}
			}
		})
	}
}

// TestRandomFaultsCallers runs random schedules of faults with callers that
// resend unanswered jobs.
func TestRandomFaultsCallers(t *testing.T) { playSchedules(t, "callers", (*world).checkAnswered) }

// callersSchedule is like randomSchedule, with callers that resend unanswered
// jobs.
func callersSchedule(wo *world) {
	wo.loadCalls(callerKinds, 1.5, 20*time.Second)
	for range 6 {
		wo.after(time.Duration(wo.rnd.Float64()*15)*time.Second, wo.randomFault)
	}
	wo.run(32 * time.Second)
}

// TestStartDuringStopOfSameRun guards against room that is never freed. A caller
// has resent its job to another entry, whose run has the same number as a run of
// the first owner that is still being stopped on the same worker.
func TestStartDuringStopOfSameRun(t *testing.T) {
	t.Parallel()
	wo, en, rc := newHolder()
	en.TableRead(TableJobs, wo.at)
	en.HoldReplied("w", 50, HoldReply{Clock: WorkerTime(time.Minute), Born: 1})
	ref := TaskRef{Task: "0000000000000001.0.0.0", Run: 1}
	order := Start{
		Group: 1, Job: "0000000000000001", Payload: "cpu=1000",
		Shape: Shape{Service: "fitdesk", Need: Resources{CPU: 1000, Memory: 64}, Estimate: time.Second},
		Tasks: []Assignment{{TaskRef: ref}},
	}
	en.InboundUp("former", 1)
	en.InboundUp("present", 2)
	en.Receive("former", order)
	en.StartReplied("w", 50, ref, StartReply{Started: true})
	en.Receive("former", Stop{Refs: []TaskRef{ref}})
	en.Receive("present", order)
	if len(rc.starts) != 1 {
		t.Errorf("%d starts, want none while a run with the same number is being stopped there", len(rc.starts)-1)
	}
	en.HoldReplied("w", 50, HoldReply{Clock: WorkerTime(time.Minute), Born: 1, Ended: []EndedRun{{Number: 1, Ref: ref, How: EndStopped}}})
	if got := en.workers["w"].used; got != (Resources{}) {
		t.Errorf("%+v is taken after the run has ended, want no room taken", got)
	}
}
