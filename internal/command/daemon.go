package command

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/rs/zerolog"

	"github.com/oleanderwall/oleanderwall/internal/entry"
	"github.com/oleanderwall/oleanderwall/internal/logline"
	"github.com/oleanderwall/oleanderwall/internal/settings"
	"github.com/oleanderwall/oleanderwall/pkg/group"
)

func loadSettings(name string, args []string, st Streams) (settings.Settings, error) {
	fs := newFlagSet(name, st)
	file := fs.String("settings", "", "YAML file with the settings of this process")
	if err := parseFlags(fs, args); err != nil {
		return settings.Settings{}, err
	}
	if err := requireFlag("settings", *file); err != nil {
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

// maxSignals is the number of signals after which the daemon ends at once.
const maxSignals = 2

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
	if mem := set.Limits.Intake().MemoryBytes; mem > 0 {
		debug.SetMemoryLimit(mem * memoryPercent / 100)
	}
	en, err := entry.New(set, log)
	if err != nil {
		return err
	}
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	en.Start()
	// The platform's SIGTERM during an operator's drain counts as the first
	// signal.
	remaining := maxSignals
	select {
	case sig := <-signals:
		remaining--
		log.Info().Str("signal", sig.String()).Msg("shutdown-started")
	case <-en.Draining():
		log.Info().Msg("shutdown-started")
	}
	ctx, cancel := context.WithTimeout(ctx, set.Timing.ShutdownBound.Std())
	defer cancel()
	watcher := group.New(ctx)
	defer watcher.Close()
	watcher.Go(func(ctx context.Context) {
		for ; remaining > 0; remaining-- {
			select {
			case <-signals:
			case <-ctx.Done():
				return
			}
		}
		log.Warn().Msg("second-signal")
		cancel()
	})
	err = en.Shutdown(ctx)
	var ab *entry.Abandoned
	if errors.As(err, &ab) {
		log.Error().Str("requests", ab.RequestList()).Str("steps", ab.StepList()).Msg("shutdown-abandoned")
	}
	if err != nil {
		return err
	}
	log.Info().Msg("entry-stopped")
	return nil
}
