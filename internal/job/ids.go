package job

import (
	"encoding/base64"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/oleanderwall/oleanderwall/internal/ids"
)

// issuedPrefix is the prefix of issued ids. An issued id has the form
// issued.<incarnation>.<age>.<random>: the issuing incarnation in base64, and
// the milliseconds from the start of that incarnation to the issue of the id.
// Only that incarnation may ever start the job.
const issuedPrefix = "issued."

// issuedLifetime is how long a new submission under an issued id is accepted.
// It is shorter than the retention of answers, so an id whose answer has been
// deleted has expired and cannot start its tasks again.
const issuedLifetime = retention / 2

type issuedID struct {
	issuer ids.Incarnation
	age    time.Duration
}

func newIssuedID(owner ids.Incarnation, at time.Duration) ids.JobID {
	name := base64.RawURLEncoding.EncodeToString([]byte(owner))
	return ids.JobID(fmt.Sprintf("%s%s.%d.%s", issuedPrefix, name, at.Milliseconds(), uuid.NewString()[:13]))
}

func parseIssuedID(id ids.JobID) (issuedID, bool) {
	rest, ok := strings.CutPrefix(string(id), issuedPrefix)
	parts := strings.Split(rest, ".")
	if !ok || len(parts) != 3 {
		return issuedID{}, false
	}
	issuer, err := base64.RawURLEncoding.DecodeString(parts[0])
	if err != nil {
		return issuedID{}, false
	}
	millis, err := strconv.ParseInt(parts[1], 10, 64)
	if err != nil {
		return issuedID{}, false
	}
	return issuedID{issuer: ids.Incarnation(issuer), age: time.Duration(millis) * time.Millisecond}, true
}

// sessionName returns the name of a session: the incarnation of the process, a
// tilde and a number. A process commits under its current session. After it has
// been fenced, it continues with the next session. Proof that the process has
// ended applies to all of its sessions.
func sessionName(base ids.Incarnation, num int) ids.Incarnation {
	return ids.Incarnation(fmt.Sprintf("%s~%d", base, num))
}

func processOf(session ids.Incarnation) ids.Incarnation {
	base, _, _ := strings.Cut(string(session), "~")
	return ids.Incarnation(base)
}
