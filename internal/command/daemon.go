package command

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/rs/zerolog"

	"github.com/oleanderwall/oleanderwall/internal/entry"
	"github.com/oleanderwall/oleanderwall/internal/logline"
	"github.com/oleanderwall/oleanderwall/internal/settings"
	"github.com/oleanderwall/oleanderwall/pkg/group"
)

func loadSettings(name string, args []string, st Streams) (settings.Settings, error) {
	fs := flags(name, st)
	file := fs.String("settings", "", "YAML file with the settings of this process")
	if err := parse(fs, args); err != nil {
		return settings.Settings{}, err
	}
	if err := required("settings", *file); err != nil {
		return settings.Settings{}, err
	}
	return settings.Load(*file)
}

func runCheck(_ context.Context, args []string, st Streams) error {
	set, err := loadSettings("check", args, st)
	if err != nil {
		return err
	}
	fmt.Fprintf(st.Out, "the settings of entry %s are valid\n", set.EntryID)
	return nil
}

// runEntry runs the daemon until SIGTERM, SIGINT or an operator's drain, and
// then shuts down gracefully. A second signal ends it at once.
func runEntry(ctx context.Context, args []string, st Streams) error {
	set, err := loadSettings("entry", args, st)
	if err != nil {
		return err
	}
	level, err := zerolog.ParseLevel(set.LogLevel)
	if err != nil {
		return fmt.Errorf("log-level: %w", err)
	}
	log := logline.New(st.Err, level)
	en, err := entry.New(set, log)
	if err != nil {
		return err
	}
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	en.Start()
	select {
	case sig := <-signals:
		log.Info().Str("signal", sig.String()).Msg("shutdown-started")
	case <-en.Draining():
		log.Info().Msg("shutdown-started")
	}
	ctx, cancel := context.WithTimeout(ctx, set.Timing.ShutdownBound.Std())
	defer cancel()
	second := group.New(ctx)
	defer second.Close()
	second.Go(func(ctx context.Context) {
		select {
		case <-signals:
			log.Warn().Msg("second-signal")
			cancel()
		case <-ctx.Done():
		}
	})
	if err := en.Shutdown(ctx); err != nil {
		return err
	}
	log.Info().Msg("entry-stopped")
	return nil
}
