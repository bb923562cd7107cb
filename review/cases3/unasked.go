package main

import (
	"strings"
	"time"
)

// The bounds of the case.
const (
	cancelBound = 3 * time.Second // cancel_ms
	contactTime = 3 * time.Second // contactMs
	cutTime     = 5500 * time.Millisecond
)

// cutOwner cuts one machine from the store, without a cut to any other machine, and
// cancels the jobs that were submitted there at another machine.
func cutOwner(fl *deployment, trouble bool) error {
	qu := queue{name: "r-chains", host: "chains.example", prefix: "/chains/", service: mainService}
	const runners, jobs, steps, took = 12, 6, 40, 250 * time.Millisecond
	if err := fl.addRunners(qu.service, runners, zones, "a"); err != nil {
		return err
	}
	if err := fl.configure(qu); err != nil {
		return err
	}
	if err := fl.startEntries(zones...); err != nil {
		return err
	}
	cut, other := fl.entries[0], fl.entries[1]
	var list []*job
	for range jobs {
		jb := newJob(qu)
		for range steps {
			jb.steps = append(jb.steps, step{count: 4, cpu: 4000, took: took})
		}
		if err := fl.submit(jb, cut); err != nil {
			return err
		}
		list = append(list, jb)
	}
	if err := fl.sleep(time.Second); err != nil {
		return err
	}
	if trouble {
		fl.rec.write("%s is cut from the store", cut.name)
		cut.gate.setCut(true)
	}
	began := time.Now()
	for _, jb := range list {
		if err := fl.cancel(jb, other); err != nil {
			return err
		}
	}
	if err := fl.sleep(cutTime - time.Since(began)); err != nil {
		return err
	}
	fl.rec.write("the cut ends")
	cut.gate.setCut(false)
	if err := fl.sleep(contactTime); err != nil {
		return err
	}
	return fl.checkCancelled(list, cut)
}

// checkCancelled returns an error if a machine other than the one that was cut off has
// started a task of a job later than cancelBound after its cancelling was acknowledged.
func (fl *deployment) checkCancelled(list []*job, cut *entry) error {
	count, latest := 0, time.Duration(0)
	for _, jb := range list {
		for _, sd := range fl.startsSince(jb.cancelled.Add(cancelBound)) {
			if !strings.HasPrefix(sd.key.Task, jb.id+".") || sd.holder == cut.name || sd.holder == "" {
				continue
			}
			count++
			latest = max(latest, sd.at.Sub(jb.cancelled))
			fl.rec.write("run %d of %s was started by %s %d ms after the cancelling was acknowledged", sd.key.Run, sd.key.Task, sd.holder, sd.at.Sub(jb.cancelled).Milliseconds())
		}
	}
	if count > 0 {
		return broken("machines in touch started %d tasks of cancelled jobs, up to %d ms after the cancelling was acknowledged", count, latest.Milliseconds())
	}
	return nil
}
