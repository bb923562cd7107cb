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

// Logger writes one structured log line for each decision. It never blocks: it
// drops and counts lines above its rate limit or while the output is blocked.
type Logger struct {
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

// The limits of the logger.
const (
	// linesPerSecond allows about two lines for each job at the design load of
	// one entry. linesBurst covers the loss of many sessions at once.
	linesPerSecond = 300
	linesBurst     = 1500
	maxQueuedLines = 2000
)

// timeFormat is RFC 3339 with milliseconds, which show the order of decisions.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

// NewLogger returns a logger that writes to out.
func NewLogger(out io.Writer, cnt *counter.Set) *Logger {
	lg := &Logger{
		log:   logline.NewWithoutTime(out, zerolog.InfoLevel),
		limit: rate.NewLimiter(linesPerSecond, linesBurst),
		lines: make(chan line, maxQueuedLines),
		cnt:   cnt,
		grp:   group.New(context.Background()),
	}
	lg.grp.Go(lg.run)
	return lg
}

// Log queues an event with its fields, given as alternating keys and values.
func (lg *Logger) Log(event string, fields ...any) {
	if !lg.limit.Allow() {
		lg.cnt.Add("log", "lines-dropped", 1)
		return
	}
	select {
	case lg.lines <- line{at: time.Now(), event: event, fields: fields}:
	default:
		lg.cnt.Add("log", "lines-dropped", 1)
	}
}

func (lg *Logger) run(ctx context.Context) {
	for {
		select {
		case ln := <-lg.lines:
			lg.write(ln)
		case <-ctx.Done():
			for len(lg.lines) > 0 {
				lg.write(<-lg.lines)
			}
			return
		}
	}
}

func (lg *Logger) write(ln line) {
	lg.log.Info().Str(zerolog.TimestampFieldName, ln.at.Format(timeFormat)).Fields(ln.fields).Msg(ln.event)
}

// Close writes the queued lines and stops the logger.
func (lg *Logger) Close() { lg.grp.Close() }
