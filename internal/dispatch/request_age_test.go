package dispatch

import (
	"fmt"
	"testing"
	"time"
)

// teach announces waits of the given share of repeated requests, which wait 900 ms,
// and first attempts, which wait at least the given time, at 20 requests a second.
func (aw *announcedWaits) teach(from time.Time, du, first time.Duration, repeated float64) time.Time {
	const step = 50 * time.Millisecond
	num, debt := 0, 0.0
	for end := from.Add(du); from.Before(end); from = from.Add(step) {
		num++
		wait := first + time.Duration(num*7%41)*100*time.Millisecond
		if debt += repeated; debt >= 1 {
			debt, wait = debt-1, 900*time.Millisecond
		}
		aw.learn(wait, 1500*time.Millisecond, from)
	}
	return from
}

// TestAnnouncedWaits guards against a learned wait that a wave of repeated requests
// drags down, so that they count as new, and against one that does not follow callers
// that wait for another time than before, whose first attempts would be refused.
func TestAnnouncedWaits(t *testing.T) {
	t.Parallel()
	const timeout, least = 1500 * time.Millisecond, 1800 * time.Millisecond
	aw := &announcedWaits{}
	expect := func(when string, wait, low, high time.Duration) {
		t.Helper()
		if age := aw.age(wait, timeout); age < low || age > high {
			t.Errorf("%s: a request that announces %v has the age %v, want %v to %v", when, wait, age, low, high)
		}
	}
	expect("at first", 900*time.Millisecond, 600*time.Millisecond, 600*time.Millisecond)
	at := aw.teach(emuEpoch, 2*time.Second, least, 0.9)
	expect("restart amid repeated requests", 900*time.Millisecond, 600*time.Millisecond, 600*time.Millisecond)
	at = aw.teach(at, time.Minute, least, 0)
	expect("first attempts", 900*time.Millisecond, 900*time.Millisecond, 1200*time.Millisecond)
	expect("first attempts", least, 0, 0)
	expect("first attempts", 2500*time.Millisecond, 0, 0)
	for range 3 {
		at = aw.teach(at, 4*time.Second, least, 0.6)
		at = aw.teach(at, 20*time.Second, least, 0.02)
	}
	expect("waves of repeated requests", 900*time.Millisecond, 900*time.Millisecond, 1200*time.Millisecond)
	at = aw.teach(at, 20*time.Second, 5*time.Second, 0)
	expect("patient callers alone for a while", least, 0, 0)
	at = aw.teach(at, 20*time.Minute, 5*time.Second, 0)
	expect("patient callers for good", least, 3200*time.Millisecond, 3500*time.Millisecond)
	at = aw.teach(at, time.Minute, 700*time.Millisecond, 0)
	expect("callers that wait less for good", 800*time.Millisecond, 0, 0)
	aw.teach(at, time.Minute, 700*time.Millisecond, 0)
	if len(aw.values) > maxWaitSamples {
		t.Errorf("%d samples are kept, want %d at most", len(aw.values), maxWaitSamples)
	}
}

// patientCall is a request of a caller that waits until a fixed time and sends it
// again after its connection was cut.
type patientCall struct {
	wo     *world
	job    Job
	queue  Queue
	until  time.Time
	ee     *emuEntry
	gen    int
	ended  bool
	result func(ok bool) // receives the answer to a first attempt
}

func (pc *patientCall) send() {
	wo := pc.wo
	if !wo.at.Before(pc.until) {
		return
	}
	list := wo.sortedEntries()
	pc.ee = list[wo.rnd.IntN(len(list))]
	if pc.gen = pc.ee.gen; !pc.ee.alive {
		pc.sendLater()
		return
	}
	arrived, result, jb := wo.at, pc.result, wo.jobs[pc.job.ID]
	pc.result = func(bool) {}
	pc.ee.en.Submit(Submission{Job: pc.job, Queue: pc.queue, Arrived: arrived, Deadline: pc.until, Done: func(out Outcome) {
		pc.ended = true
		objective := time.Duration(float64(jb.work)*jb.stretch) + jb.slack
		result(out.Kind == Completed && wo.at.Sub(arrived) <= objective)
		if out.Kind == Refused {
			// No task of it may start from now on.
			jb.refused = true
		}
	}})
}

func (pc *patientCall) sendLater() { pc.wo.after(emuResendPause, pc.send) }

// patientLoad sends requests of the standard kinds at a share of the load that the
// workers can serve, and returns the list to which it adds them. The first attempts
// between the two times are counted with their answers.
func (wo *world) patientLoad(load float64, from, to time.Time, count func(inTime bool)) *[]*patientCall {
	const standardLoad = 0.68 // of standardKinds on 48 workers, in cores times speed
	var calls []*patientCall
	for _, kd := range standardKinds {
		rate := kd.perS * float64(len(wo.workers)) * loadPerWorker * load / standardLoad
		var next func()
		next = func() {
			job, qu := wo.randomJob(kd)
			wait := 1780*time.Millisecond + time.Duration(wo.rnd.ExpFloat64()*float64(500*time.Millisecond))
			pc := &patientCall{wo: wo, job: job, queue: qu, until: wo.at.Add(wait), result: func(bool) {}}
			if wo.at.After(from) && wo.at.Before(to) {
				pc.result = count
			}
			calls = append(calls, pc)
			pc.send()
			wo.after(time.Duration(wo.rnd.ExpFloat64()/rate*float64(time.Second)), next)
		}
		next()
	}
	return &calls
}

// TestRequestsSentBefore guards against new requests that are delayed by those whose
// callers have sent them before. All entries are lost for 1.3 s at a load that the
// workers can serve. The callers whose connections were cut or refused repeat their
// requests 1.3 s later, with less time left, beside new ones.
func TestRequestsSentBefore(t *testing.T) {
	t.Parallel()
	const (
		entries, workers = 12, 120
		pause, startup   = 1300 * time.Millisecond, 300 * time.Millisecond
		before, watch    = 10 * time.Second, 1500 * time.Millisecond
		least            = 0.85 // share of the new requests in time, as required of a load that can be served
	)
	for _, load := range []float64{0.6, 0.75} {
		t.Run(fmt.Sprintf("load %.2f", load), func(t *testing.T) {
			t.Parallel()
			fresh, inTime := 0, 0
			for seed := range uint64(3) {
				wo := standardWorld(seed+900, entries, workers)
				des := standardDesired(2)
				for at := range des.Queues {
					des.Queues[at].Timeout = 1500 * time.Millisecond
				}
				wo.desired = des
				for _, ee := range wo.sortedEntries() {
					ee.en.Apply(des)
				}
				from := wo.at.Add(before + pause + startup)
				calls := wo.patientLoad(load, from, from.Add(watch), func(ok bool) {
					fresh++
					if ok {
						inTime++
					}
				})
				wo.run(before)
				wo.restartAll(pause)
				for _, pc := range *calls {
					if !pc.ended {
						pc.sendLater()
					}
				}
				wo.run(8 * time.Second)
				wo.check(t)
			}
			share := float64(inTime) / float64(fresh)
			t.Logf("%d of %d new requests are in time, %.3f", inTime, fresh, share)
			if share < least {
				t.Errorf("%.3f of the new requests are in time, want %.2f or more", share, least)
			}
		})
	}
}
