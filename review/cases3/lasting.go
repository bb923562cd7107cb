package main

import (
	"fmt"
	"slices"
	"time"
)

// lostHolder loses a runner for good, and 0.3 s later the machine that holds it, also
// for good. Another machine comes 2 s later. Tasks that last have to be at work again.
func lostHolder(fl *deployment, trouble bool) error {
	qu := queue{name: "r-lasting", host: "lasting.example", prefix: "/lasting/", service: mainService}
	const runners, jobs, tasks = 12, 6, 4
	last := len(zones) - 1
	most := append(slices.Clone(zones), zones[last], zones[last], zones[last])
	if err := fl.addRunners(qu.service, runners, most, "a"); err != nil {
		return err
	}
	if err := fl.configure(qu); err != nil {
		return err
	}
	if err := fl.startEntries(zones...); err != nil {
		return err
	}
	var list []*job
	for num := range jobs {
		jb := newJob(qu, step{count: tasks, cpu: 3500, took: time.Hour, lasting: true})
		if err := fl.submit(jb, fl.entries[num%last]); err != nil {
			return err
		}
		list = append(list, jb)
	}
	if err := fl.sleep(3 * time.Second); err != nil {
		return err
	}
	if trouble {
		if err := fl.loseHolder(last); err != nil {
			return err
		}
	}
	return fl.checkLasting(list)
}

// loseHolder loses a runner of a zone and the machine there.
func (fl *deployment) loseHolder(num int) error {
	lost := fl.entries[num]
	fl.runners[num].crash()
	if err := fl.sleep(300 * time.Millisecond); err != nil {
		return err
	}
	lost.kill()
	if err := fl.sleep(2 * time.Second); err != nil {
		return err
	}
	if err := fl.addEntry(lost.zone); err != nil {
		return err
	}
	added := fl.entries[len(fl.entries)-1]
	added.bootstrap = false
	return added.start()
}

// checkLasting watches for 20 s. It returns an error if a task that lasts has not run
// for 3 s, from 6 s after its last run, where these 3 s and the 4 s before them are calm.
func (fl *deployment) checkLasting(list []*job) error {
	const (
		calmBefore = 4 * time.Second
		afterRun   = 6 * time.Second
		idle       = 3 * time.Second
		watched    = 20 * time.Second
	)
	began := time.Now()
	seen := map[string]time.Time{}
	longest := map[string]time.Duration{}
	for _, jb := range list {
		for idx := range jb.steps[0].count {
			seen[fmt.Sprintf("%s.0.0.%d", jb.id, idx)] = began
		}
	}
	for time.Since(began) < watched {
		up := fl.upTasks()
		for task, at := range seen {
			if up[task] {
				seen[task] = time.Now()
				continue
			}
			from := began.Add(calmBefore)
			if due := at.Add(afterRun); due.After(from) {
				from = due
			}
			longest[task] = max(longest[task], time.Since(from))
		}
		if err := fl.sleep(50 * time.Millisecond); err != nil {
			return err
		}
	}
	count, most := 0, time.Duration(0)
	for task, wait := range longest {
		if wait >= idle {
			count, most = count+1, max(most, wait)
			fl.rec.write("task %s had nothing running for %d ms more than 6 s after its last run", task, wait.Milliseconds())
		}
	}
	if count > 0 {
		return broken("%d of %d tasks that last had nothing running for up to %d ms, counted from 6 s after their last run", count, len(seen), most.Milliseconds())
	}
	return nil
}

// upTasks returns the tasks that run.
func (fl *deployment) upTasks() map[string]bool {
	up := map[string]bool{}
	for _, ru := range fl.runners {
		ru.mu.Lock()
		for key := range ru.runs {
			up[key.Task] = true
		}
		ru.mu.Unlock()
	}
	return up
}
