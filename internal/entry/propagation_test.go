package entry

import (
	"context"
	"fmt"
	"net/http"
	"sort"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/oleanderwall/oleanderwall/internal/configuration"
	"github.com/oleanderwall/oleanderwall/internal/faultproxy"
	"github.com/oleanderwall/oleanderwall/internal/ids"
	"github.com/oleanderwall/oleanderwall/internal/settings"
	"github.com/oleanderwall/oleanderwall/internal/standin"
	"github.com/oleanderwall/oleanderwall/internal/table"
)

// delivery selects how a new version reaches the entries.
type delivery struct {
	name string
	// unlisted leaves the entries out of the list of VMs, so that only polls of
	// the table bring the version.
	unlisted bool
	// tableFrozen freezes the table for all entries except the first.
	tableFrozen bool
	// directWrite writes to the table directly, so that the first entry receives
	// the version by its poll.
	directWrite bool
	delay       time.Duration // delay of the table's answers
}

// BenchmarkConfigurationPropagation measures how long an accepted patch takes
// to be in force at every entry, and the reads of the table meanwhile.
func BenchmarkConfigurationPropagation(b *testing.B) {
	for _, size := range []int{7, 21, 49} {
		for _, dl := range []delivery{
			{name: "both"},
			{name: "slow-table-300ms", delay: 300 * time.Millisecond},
			{name: "polls-alone", unlisted: true},
			{name: "announced-heartbeats-alone", tableFrozen: true},
			{name: "periodic-heartbeats-alone", tableFrozen: true, directWrite: true},
		} {
			b.Run(fmt.Sprintf("entries=%d/%s", size, dl.name), func(b *testing.B) { benchmarkPropagation(b, size, dl) })
		}
	}
}

func benchmarkPropagation(b *testing.B, size int, dl delivery) {
	fleet, err := standin.StartFleet(standin.FleetOptions{
		Table: standin.TableOptions{CommitDelay: 5 * time.Millisecond, WritesPerSecond: 500, ReadsPerSecond: 2000},
	})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(fleet.Close)
	entries, proxies := startEntries(b, fleet, size, dl)
	awaitAll(b, entries, 0)
	time.Sleep(time.Second)
	if dl.tableFrozen {
		for _, px := range proxies[1:] {
			px.SetFaults(faultproxy.Faults{Freeze: true})
		}
	}
	fleet.Table.SetFaults(standin.TableFaults{DelayMillis: dl.delay.Milliseconds()})
	store := configuration.NewStore(table.New(fleet.TableServer.URL(), http.DefaultClient))
	reads, began := fleet.Table.Counts().Reads, time.Now()
	var took []time.Duration
	b.ResetTimer()
	for i := range b.N {
		patch := configuration.Patch{
			LastSeen: configuration.Number(i),
			PatchID:  fmt.Sprintf("patch-%d", i),
			Patch:    fmt.Appendf(nil, `{"teams":{"team-%d":{"weight":1}}}`, i),
		}
		if dl.directWrite {
			_, err = store.Accept(context.Background(), patch)
		} else {
			_, err = announcingStore{store, entries[0]}.Accept(context.Background(), patch)
		}
		if err != nil {
			b.Fatal(err)
		}
		accepted := time.Now()
		awaitAll(b, entries, configuration.Number(i+1))
		took = append(took, time.Since(accepted))
		time.Sleep(time.Duration(i%10) * 37 * time.Millisecond) // varies the phase of the polls
	}
	sort.Slice(took, func(i, j int) bool { return took[i] < took[j] })
	b.ReportMetric(float64(took[len(took)/2].Milliseconds()), "p50-ms")
	b.ReportMetric(float64(took[len(took)-1].Milliseconds()), "max-ms")
	b.ReportMetric(float64(fleet.Table.Counts().Reads-reads)/time.Since(began).Seconds(), "table-reads/s")
}

func startEntries(b *testing.B, fleet *standin.Fleet, size int, dl delivery) ([]*Entry, []*faultproxy.Proxy) {
	b.Helper()
	var entries []*Entry
	var proxies []*faultproxy.Proxy
	var vms []ids.VM
	for i := range size {
		px, err := faultproxy.New(fleet.TableServer.Address())
		if err != nil {
			b.Fatal(err)
		}
		b.Cleanup(px.Close)
		set := settings.Default()
		set.EntryID = ids.EntryID(fmt.Sprintf("entry-%02d", i))
		set.AvailabilityZone = ids.AvailabilityZone(fmt.Sprintf("zone-%d", i%7))
		set.Listen = settings.Listen{Callers: "127.0.0.1:0", Operators: "127.0.0.1:0", Peers: "127.0.0.1:0"}
		set.Platform = settings.Platform{
			Table:   "http://" + px.Address(),
			Objects: fleet.ObjectsServer.URL(),
			VMList:  fleet.VMServer.URL(),
		}
		en, err := New(set, zerolog.Nop())
		if err != nil {
			b.Fatal(err)
		}
		entries = append(entries, en)
		proxies = append(proxies, px)
		vms = append(vms, ids.VM{
			ID:               string(set.EntryID),
			Kind:             ids.KindEntry,
			State:            ids.StateLive,
			PeerAddress:      en.PeerAddress(),
			AvailabilityZone: set.AvailabilityZone,
		})
	}
	if !dl.unlisted {
		fleet.VMs.Set(vms)
	}
	for _, en := range entries {
		en.Start()
		b.Cleanup(en.Close)
	}
	return entries, proxies
}

func awaitAll(b *testing.B, entries []*Entry, number configuration.Number) {
	b.Helper()
	began := time.Now()
	for _, en := range entries {
		for en.InForce() == nil || en.InForce().Number < number {
			if time.Since(began) > 20*time.Second {
				b.Fatalf("%s did not reach number %d: %v", en.set.EntryID, number, en.Ready())
			}
			time.Sleep(time.Millisecond)
		}
	}
}

// BenchmarkIdleEntry measures the bytes that an idle entry exchanges with its
// peers, and its processor time. The stand-ins and proxies run in the same process, so
// the processor time is an upper bound.
func BenchmarkIdleEntry(b *testing.B) {
	const span = 8 * time.Second
	for _, size := range []int{7, 21, 49} {
		b.Run(fmt.Sprintf("entries=%d", size), func(b *testing.B) {
			fleet, err := standin.StartFleet(standin.FleetOptions{
				Table: standin.TableOptions{CommitDelay: 5 * time.Millisecond, WritesPerSecond: 500, ReadsPerSecond: 2000},
			})
			if err != nil {
				b.Fatal(err)
			}
			b.Cleanup(fleet.Close)
			entries, _ := startEntries(b, fleet, size, delivery{})
			awaitAll(b, entries, 0)
			time.Sleep(4 * time.Second)
			bytes := func() (sum int64) {
				for _, en := range entries {
					received, sent := en.pool.Traffic().Bytes()
					served, answered := en.peers.Traffic().Bytes()
					sum += received + sent + served + answered
				}
				return sum
			}
			var before, after syscall.Rusage
			for range b.N {
				sum := bytes()
				_ = syscall.Getrusage(syscall.RUSAGE_SELF, &before)
				time.Sleep(span)
				_ = syscall.Getrusage(syscall.RUSAGE_SELF, &after)
				used := time.Duration(after.Utime.Nano() + after.Stime.Nano() - before.Utime.Nano() - before.Stime.Nano())
				share := span.Seconds() * float64(size)
				b.ReportMetric(float64(bytes()-sum)/share, "peer-bytes/s/entry")
				b.ReportMetric(100*used.Seconds()/share, "%core/entry")
			}
		})
	}
}
