package entry

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/google/uuid"
	"github.com/rs/zerolog"

	"github.com/oleanderwall/oleanderwall/internal/ids"
	"github.com/oleanderwall/oleanderwall/internal/table"

	"github.com/oleanderwall/oleanderwall/pkg/group"
)

const (
	registrationPrefix  = "entry/"
	registrationTimeout = 2 * time.Second
	registrationRetry   = time.Second
)

// registration writes the incarnation to the row of the entry. It does not
// delay the start of the entry: it retries until the table is reachable.
type registration struct {
	rows     *table.Client
	inc      ids.Incarnation
	log      zerolog.Logger
	firstRow *registrationRow // the row as first read, nil before that
}

// registrationRow is the row of an entry.
type registrationRow struct {
	Incarnation ids.Incarnation `json:"incarnation"`
	Started     time.Time       `json:"started"`

	version table.Version
}

var errRegisteredByOther = errors.New("another process has registered this entry id in the meantime; give each process its own entry-id")

// run retries until this process or another one has written the row.
func (rg *registration) run(ctx context.Context) {
	started := time.Now().UTC()
	first := true
	for ctx.Err() == nil {
		err := rg.attempt(ctx, started)
		if err == nil {
			rg.log.Info().Msg("incarnation-registered")
			return
		}
		if errors.Is(err, errRegisteredByOther) {
			rg.log.Error().Err(err).Msg("incarnation-not-registered")
			return
		}
		if first {
			rg.log.Warn().Err(err).Msg("incarnation-not-registered")
		}
		first = false
		group.Sleep(ctx, registrationRetry/2+time.Duration(rand.Int64N(int64(registrationRetry))))
	}
}

func (rg *registration) attempt(ctx context.Context, started time.Time) error {
	ctx, cancel := context.WithTimeout(ctx, registrationTimeout)
	defer cancel()
	row, err := rg.read(ctx)
	if err != nil {
		return err
	}
	if row.Incarnation == rg.inc {
		return nil // a reply was lost after the row was written
	}
	if rg.firstRow == nil {
		rg.firstRow = &row
	}
	// A process that was paused before this write must not overwrite the row of
	// the process that has replaced it.
	if row.Incarnation != rg.firstRow.Incarnation {
		return errRegisteredByOther
	}
	raw, err := json.Marshal(registrationRow{Incarnation: rg.inc, Started: started})
	if err != nil {
		return err
	}
	key := registrationPrefix + string(rg.inc.Entry())
	_, err = rg.rows.Commit(ctx, table.Transaction{
		ID:     "entry-" + uuid.NewString(),
		Checks: []table.Check{{Key: key, Version: row.version}},
		Writes: []table.Write{{Key: key, Value: raw}},
	})
	return err
}

func (rg *registration) read(ctx context.Context) (registrationRow, error) {
	rows, err := rg.rows.ReadCurrent(ctx, registrationPrefix+string(rg.inc.Entry()))
	if err != nil || rows[0].Version == table.Absent {
		return registrationRow{}, err
	}
	out := registrationRow{version: rows[0].Version}
	err = json.Unmarshal(rows[0].Value, &out)
	return out, err
}
