package fleet

import (
	"context"
	"io"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/time/rate"

	"github.com/oleanderwall/oleanderwall/internal/counter"
	"github.com/oleanderwall/oleanderwall/internal/logline"
	"github.com/oleanderwall/oleanderwall/pkg/group"
)

// Journal writes one structured log line for each decision. It never blocks: it
// drops and counts lines above its rate limit or while the output is blocked.
type Journal struct {
	log   zerolog.Logger
	limit *rate.Limiter
	lines chan line
	cnt   *counter.Set
	grp   *group.Group
}

type line struct {
	at     time.Time
	event  string
	fields []any
}

// The limits of the journal.
const (
	// linesPerSecond allows about two lines for each job at the design load of
	// one entry. linesBurst covers the loss of many sessions at once.
	linesPerSecond = 300
	linesBurst     = 1500
	linesQueued    = 2000
)

// timeFormat is RFC 3339 with milliseconds, which show the order of decisions.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

// NewJournal returns a journal that writes to out.
func NewJournal(out io.Writer, cnt *counter.Set) *Journal {
	jo := &Journal{
		log:   logline.Untimed(out, zerolog.InfoLevel),
		limit: rate.NewLimiter(linesPerSecond, linesBurst),
		lines: make(chan line, linesQueued),
		cnt:   cnt,
		grp:   group.New(context.Background()),
	}
	jo.grp.Go(jo.run)
	return jo
}

// Line queues an event with its fields, given as alternating keys and values.
func (jo *Journal) Line(event string, fields ...any) {
	if !jo.limit.Allow() {
		jo.cnt.Add("log", "lines-dropped", 1)
		return
	}
	select {
	case jo.lines <- line{at: time.Now(), event: event, fields: fields}:
	default:
		jo.cnt.Add("log", "lines-dropped", 1)
	}
}

func (jo *Journal) run(ctx context.Context) {
	for {
		select {
		case ln := <-jo.lines:
			jo.write(ln)
		case <-ctx.Done():
			for len(jo.lines) > 0 {
				jo.write(<-jo.lines)
			}
			return
		}
	}
}

func (jo *Journal) write(ln line) {
	jo.log.Info().Str(zerolog.TimestampFieldName, ln.at.Format(timeFormat)).Fields(ln.fields).Msg(ln.event)
}

// Close writes the queued lines and stops the journal.
func (jo *Journal) Close() { jo.grp.Close() }
