package main

import (
	"slices"
	"strings"
	"time"
)

// switchedService moves a route to another service and back, as an operator does who
// rolls a change back, with a restart of the processes after each of the two. A task
// that lasts must never run twice at the same time.
func switchedService(fl *deployment, trouble bool) error {
	first := queue{name: "r-moved", host: "moved.example", prefix: "/moved/", service: mainService}
	second := first
	second.service = "jualan"
	const runners, jobs, tasks = 9, 6, 3
	for _, qu := range []queue{first, second} {
		if err := fl.addRunners(qu.service, runners, zones, "a"); err != nil {
			return err
		}
	}
	if err := fl.configure(first); err != nil {
		return err
	}
	if err := fl.startEntries(zones...); err != nil {
		return err
	}
	var list []*job
	for num := range jobs {
		jb := newJob(first, step{count: tasks, cpu: 2000, took: time.Hour, lasting: true})
		if err := fl.submit(jb, fl.entries[num%len(fl.entries)]); err != nil {
			return err
		}
		list = append(list, jb)
	}
	steps := []func() error{
		func() error { return fl.configureIf(trouble, second) },
		func() error { return fl.rollIf(trouble) },
		func() error { return fl.failTasks(list) },
		func() error { return fl.configureIf(trouble, first) },
		func() error { return fl.rollIf(trouble) },
	}
	for _, do := range steps {
		if err := do(); err != nil {
			return err
		}
		if err := fl.sleep(3 * time.Second); err != nil {
			return err
		}
	}
	if err := fl.sleep(10 * time.Second); err != nil {
		return err
	}
	fl.mu.Lock()
	defer fl.mu.Unlock()
	if len(fl.doubled) > 0 {
		return broken("%d times two runs of a task at the same time, first: %s", len(fl.doubled), fl.doubled[0])
	}
	return nil
}

func (fl *deployment) configureIf(trouble bool, qu queue) error {
	if !trouble {
		return nil
	}
	return fl.configure(qu)
}

// rollIf restarts all processes in turn.
func (fl *deployment) rollIf(trouble bool) error {
	if !trouble {
		return nil
	}
	return fl.restartInTurn(0)
}

// failTasks lets all running tasks of some jobs fail by themselves.
func (fl *deployment) failTasks(list []*job) error {
	for _, ru := range fl.runners {
		ru.mu.Lock()
		for key, rn := range ru.runs {
			if slices.ContainsFunc(list, func(jb *job) bool { return strings.HasPrefix(key.Task, jb.id+".") }) {
				ru.endLocked(rn, "failed")
			}
		}
		ru.mu.Unlock()
	}
	return nil
}
