package main

import (
	"os"
	"time"
)

// mainService is the service of the site whose zones are used.
const mainService = "kaunter"

// The zones of the deployments.
var zones = []string{"georgetown", "bayan-lepas", "air-itam"}

// finishTime is the bound finish_s.
const finishTime = 14 * time.Second

// removedRoute removes the only route of one of two services and kills one process,
// which starts again. The jobs of the other service have to end. With ONLY=route or
// ONLY=kill it does just one of the two, and with ONLY=roll it stops all processes but
// one with SIGTERM instead, in turn.
func removedRoute(fl *deployment, trouble bool) error {
	kept := queue{name: "r-kept", host: "kept.example", prefix: "/kept/", service: mainService}
	removed := queue{name: "r-removed", host: "removed.example", prefix: "/removed/", service: "jualan"}
	const runners = 12
	if err := fl.addRunners(kept.service, runners, zones, "a"); err != nil {
		return err
	}
	if err := fl.addRunners(removed.service, runners, zones, "a"); err != nil {
		return err
	}
	if err := fl.configure(kept, removed); err != nil {
		return err
	}
	if err := fl.startEntries(zones...); err != nil {
		return err
	}
	only := os.Getenv("ONLY")
	if trouble && only != "kill" {
		if err := fl.configure(kept); err != nil {
			return err
		}
	}
	if err := fl.sleep(4 * time.Second); err != nil {
		return err
	}
	jobs, err := fl.submitSteps(kept)
	if err != nil {
		return err
	}
	if err := fl.restart(trouble, only); err != nil {
		return err
	}
	fl.rec.write("the traffic ends")
	if err := fl.sleep(finishTime + 10*time.Second); err != nil {
		return err
	}
	return fl.checkIdle(jobs, kept.service)
}

// submitSteps submits jobs of three steps to all processes in turn.
func (fl *deployment) submitSteps(qu queue) ([]*job, error) {
	const count = 30
	var jobs []*job
	for num := range count {
		part := step{count: 2, cpu: 2000, took: 3 * time.Second}
		jb := newJob(qu, part, part, part)
		if err := fl.submit(jb, fl.entries[num%len(fl.entries)]); err != nil {
			return nil, err
		}
		jobs = append(jobs, jb)
	}
	return jobs, fl.sleep(time.Second)
}

// restart kills the last process, which starts again, or restarts several in turn.
func (fl *deployment) restart(trouble bool, only string) error {
	switch {
	case !trouble || only == "route":
		return nil
	case only == "roll":
		return fl.restartInTurn(1)
	}
	killed := fl.entries[len(fl.entries)-1]
	killed.kill()
	if err := fl.sleep(time.Second); err != nil {
		return err
	}
	return killed.start()
}

// restartInTurn stops all processes but the first ones with SIGTERM, one after the
// other, and starts each again.
func (fl *deployment) restartInTurn(first int) error {
	for num := len(fl.entries) - 1; num >= first; num-- {
		if err := fl.entries[num].terminate(); err != nil {
			return err
		}
		if err := fl.sleep(time.Second); err != nil {
			return err
		}
		if err := fl.entries[num].start(); err != nil {
			return err
		}
		if err := fl.sleep(2 * time.Second); err != nil {
			return err
		}
	}
	return nil
}

// checkIdle returns an error if a job isn't shown as completed and has nothing running
// for 3 s, while there is capacity for it twice over and under half of the service's
// capacity is in use.
func (fl *deployment) checkIdle(jobs []*job, service string) error {
	idle := map[*job]bool{}
	for num, jb := range jobs {
		idle[jb] = fl.state(jb, fl.entries[num%len(fl.entries)]) != "completed"
	}
	const idleTime = 3 * time.Second
	for end := time.Now().Add(idleTime); time.Now().Before(end); {
		busy := fl.busy(service)
		for jb := range idle {
			idle[jb] = idle[jb] && !busy && !fl.runsTaskOf(jb)
		}
		if err := fl.sleep(100 * time.Millisecond); err != nil {
			return err
		}
	}
	count := 0
	for _, jb := range jobs {
		if idle[jb] && fl.state(jb, fl.entries[0]) != "completed" {
			count++
			fl.rec.write("job %s has nothing running", jb.id)
		}
	}
	if count > 0 {
		return broken("%d of %d accepted jobs aren't completed and have had nothing running for 3 s, %.0f s after the last submission",
			count, len(jobs), time.Since(jobs[len(jobs)-1].accepted).Seconds())
	}
	return nil
}

// busy reports whether half of a service's capacity or more is in use.
func (fl *deployment) busy(service string) bool {
	used, all := int64(0), int64(0)
	for _, ru := range fl.runners {
		if ru.service == service {
			used, all = used+ru.used(), all+ru.cpu
		}
	}
	return 2*used >= all
}
