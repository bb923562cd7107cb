package job

import (
	"context"
	"encoding/json"
	"time"

	"github.com/oleanderwall/oleanderwall/internal/ids"
	"github.com/oleanderwall/oleanderwall/internal/outcome"
)

// PeerName is the name that the methods of a PeerService are registered under.
const PeerName = "jobs"

// PeerArgs are the arguments of the methods of a PeerService.
type PeerArgs struct {
	ID ids.JobID
	// Body is the submission as JSON.
	Body []byte
	Wait time.Duration
}

// PeerReply is the reply of the methods of a PeerService.
type PeerReply struct {
	// Found reports whether the called entry owns the job.
	Found bool
	// Session is the current session of the called entry.
	Session ids.Incarnation
	// Status is the state of the job as JSON.
	Status []byte
	Err    *outcome.Error
}

func (rep *PeerReply) result() (Status, error) {
	if rep.Err != nil {
		return Status{}, rep.Err
	}
	var status Status
	err := json.Unmarshal(rep.Status, &status)
	return status, err
}

// PeerService serves calls of other entries about the jobs that this entry owns.
// None of its methods forwards a call.
type PeerService struct {
	mg *Manager
}

// PeerService returns the receiver to register for other entries.
func (mg *Manager) PeerService() *PeerService {
	return &PeerService{mg: mg}
}

func (ps *PeerService) reply(rep *PeerReply, status Status, err error) error {
	if err != nil {
		rep.Err = outcome.From(err)
		return nil
	}
	raw, err := json.Marshal(status)
	rep.Status = raw
	return err
}

// Find returns the state of a job that this entry owns. If the state is not
// final, it first waits up to args.Wait, at most maxHold.
func (ps *PeerService) Find(args *PeerArgs, rep *PeerReply) error {
	se := ps.mg.session()
	rep.Session = se.inc
	oj := se.findAdmitted(args.ID)
	if oj == nil {
		return nil
	}
	if args.Wait > 0 {
		waitFor(ps.mg.grp.Context(), oj.done, min(args.Wait, maxHold))
	}
	rep.Found = true
	status, err := se.statusOf(ps.mg.grp.Context(), oj)
	return ps.reply(rep, status, err)
}

// Submit admits a job under an id that this entry has issued.
func (ps *PeerService) Submit(args *PeerArgs, rep *PeerReply) error {
	var sub Submission
	if err := json.Unmarshal(args.Body, &sub); err != nil {
		return err
	}
	rep.Session = ps.mg.session().inc
	if iss, ok := parseIssuedID(sub.ID); !ok || iss.issuer != rep.Session {
		return ps.reply(rep, Status{}, unknownOutcome("issuer-fenced", "the entry that issued the id goes on under another incarnation"))
	}
	rep.Found = true
	status, err := ps.mg.Submit(ps.mg.grp.Context(), sub)
	return ps.reply(rep, status, err)
}

// Cancel cancels a job that this entry owns.
func (ps *PeerService) Cancel(args *PeerArgs, rep *PeerReply) error {
	se := ps.mg.session()
	rep.Session = se.inc
	oj := se.findAdmitted(args.ID)
	if oj == nil {
		return nil
	}
	rep.Found = true
	se.cancel(oj)
	waitFor(ps.mg.grp.Context(), oj.done, commitTimeout/2)
	status, err := se.statusOf(ps.mg.grp.Context(), oj)
	return ps.reply(rep, status, err)
}

// maxHold limits how long one call is held, so that a silent connection delays a
// caller for no longer than this.
const maxHold = 2 * time.Second

// call calls a method of another entry. The timeout does not depend on ctx,
// because the pool drops a connection, with all other calls on it, when the
// context of a call ends.
func (mg *Manager) call(ctx context.Context, addr, method string, args PeerArgs, limit time.Duration) (PeerReply, error) {
	var rep PeerReply
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), limit)
	defer cancel()
	err := mg.opt.Peers.Call(ctx, addr, PeerName+"."+method, &args, &rep)
	return rep, err
}

// addressOf returns the address of the live entry that runs the process of a
// session. It reports false if there is none, or if it is this process.
func (mg *Manager) addressOf(inc ids.Incarnation) (string, bool) {
	snap := mg.opt.Members.Load()
	if snap == nil || inc == "" || mg.opt.Peers == nil {
		return "", false
	}
	base := processOf(inc)
	mb, ok := snap.Alive[base.Entry()]
	return mb.PeerAddress, ok && mb.Incarnation == base && base != mg.opt.Incarnation
}

// waitAtOwner waits for a job in a call to its owner, and returns the state of
// the job. It reports false if the owner does not have the job.
func (mg *Manager) waitAtOwner(ctx context.Context, owner ids.Incarnation, id ids.JobID, left time.Duration) (Status, bool, error) {
	addr, ok := mg.addressOf(owner)
	if !ok {
		return Status{}, false, nil
	}
	rep, err := mg.call(ctx, addr, "Find", PeerArgs{ID: id, Wait: min(left, maxHold)}, maxHold+time.Second)
	if err != nil || !rep.Found {
		return Status{}, false, err
	}
	status, err := rep.result()
	return status, true, err
}

// findAtPeers looks up a job at the live entries. It is used while the table is
// unavailable.
func (mg *Manager) findAtPeers(ctx context.Context, id ids.JobID) (Status, bool) {
	snap := mg.opt.Members.Load()
	if snap == nil || mg.opt.Peers == nil {
		return Status{}, false
	}
	for _, mb := range snap.Alive {
		rep, err := mg.call(ctx, mb.PeerAddress, "Find", PeerArgs{ID: id}, time.Second)
		if err == nil && rep.Found {
			status, err := rep.result()
			return status, err == nil
		}
	}
	return Status{}, false
}
