package main

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/oleanderwall/oleanderwall/pkg/group"
)

// leftCaller submits jobs while the store is slow. A quarter of the clients leave before
// they have an answer, and cancel their jobs at the same process. A job whose cancelling was answered
// with 410 doesn't exist, and must not run later.
func leftCaller(fl *deployment, trouble bool) error {
	qu := queue{name: "r-left", host: "left.example", prefix: "/left/", service: mainService}
	const (
		runners = 12
		jobs    = 80
		pause   = 40 * time.Millisecond
		leavers = 4 // one in so many clients leaves
		slow    = 60
		slowFor = 4500 * time.Millisecond
	)
	if err := fl.addRunners(qu.service, runners, zones, "a"); err != nil {
		return err
	}
	if err := fl.configure(qu); err != nil {
		return err
	}
	if err := fl.startEntries(zones...); err != nil {
		return err
	}
	began := time.Now()
	if trouble {
		fl.setSlow(slow)
	}
	var list []*job
	callers := group.New(fl.grp.Context())
	defer callers.Close()
	for num := range jobs {
		en := fl.entries[num%len(fl.entries)]
		if num%leavers > 0 {
			callers.Go(func(context.Context) { _ = fl.submit(newJob(qu, step{count: 1, cpu: 500, took: time.Second}), en) })
		} else {
			jb := newJob(qu)
			for range 40 {
				jb.steps = append(jb.steps, step{count: 1, cpu: 500, took: 300 * time.Millisecond})
			}
			list = append(list, jb)
			callers.Go(func(context.Context) { fl.leave(jb, en) })
		}
		if err := fl.sleep(pause); err != nil {
			return err
		}
	}
	if err := fl.sleep(slowFor - time.Since(began)); err != nil {
		return err
	}
	fl.setSlow(1)
	ended := time.Now()
	callers.Wait()
	if err := fl.sleep(12 * time.Second); err != nil {
		return err
	}
	return fl.checkGone(list, ended)
}

func (fl *deployment) setSlow(factor int) {
	fl.rec.write("the store takes %d times as long", factor)
	for _, en := range fl.entries {
		en.gate.setSlow(factor)
	}
}

// leave submits a job, leaves after 60 ms, and cancels the job.
func (fl *deployment) leave(jb *job, en *entry) {
	const patience = 60 * time.Millisecond
	status, text := fl.call(http.MethodPost, en.front, jb.queue.host, jb.queue.prefix+jb.id, fl.body(jb), patience)
	fl.rec.write("POST %s at %s: %d %s", jb.id, en.name, status, text)
	status, text = fl.call(http.MethodDelete, en.front, jb.queue.host, jb.queue.prefix+jb.id, nil, callerWait)
	fl.rec.write("DELETE %s at %s: %d %s", jb.id, en.name, status, text)
	if status/100 == 2 || status == http.StatusGone {
		jb.cancelled = time.Now()
	}
}

// checkGone returns an error if a task of a job was started later than cancelBound after
// its cancelling was acknowledged, and later than contactTime after the disruption.
func (fl *deployment) checkGone(list []*job, ended time.Time) error {
	count, tasks := 0, 0
	for _, jb := range list {
		if jb.cancelled.IsZero() {
			continue
		}
		from := jb.cancelled.Add(cancelBound)
		if calm := ended.Add(contactTime); calm.After(from) {
			from = calm
		}
		before := tasks
		for _, sd := range fl.startsSince(from) {
			if strings.HasPrefix(sd.key.Task, jb.id+".") {
				tasks++
			}
		}
		if tasks > before {
			count++
			fl.rec.write("job %s went on after its cancelling was acknowledged: %d starts", jb.id, tasks-before)
		}
	}
	if count > 0 {
		return broken("%d of %d jobs whose cancelling was acknowledged went on, with %d starts", count, len(list), tasks)
	}
	return nil
}
