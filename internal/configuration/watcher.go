package configuration

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"github.com/oleanderwall/oleanderwall/pkg/group"
)

// Publisher makes a version the one in force, unless a version of the same or
// a higher number already is.
type Publisher interface {
	Publish(version Version)
}

// Watcher polls the table for newer versions.
type Watcher struct {
	store    *Store
	pub      Publisher
	interval time.Duration
	log      zerolog.Logger
	grp      *group.Group
}

// NewWatcher returns a watcher; Start begins to poll.
func NewWatcher(store *Store, pub Publisher, interval time.Duration, log zerolog.Logger) *Watcher {
	return &Watcher{store: store, pub: pub, interval: interval, log: log, grp: group.New(context.Background())}
}

// Start polls at once and then once per interval.
func (wa *Watcher) Start() {
	wa.grp.Go(func(ctx context.Context) {
		wa.poll(ctx)
		wa.grp.Every(wa.interval, wa.poll)
	})
}

// Close stops polling and waits.
func (wa *Watcher) Close() {
	wa.grp.Close()
}

func (wa *Watcher) poll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, wa.interval+time.Second)
	defer cancel()
	version, err := wa.store.Current(ctx)
	if err != nil {
		wa.log.Warn().Err(err).Msg("configuration-unreachable")
		return
	}
	wa.pub.Publish(version)
}
