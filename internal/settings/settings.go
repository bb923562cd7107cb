// Package settings reads the YAML settings of one entry process: its
// identity, its addresses, the addresses of the platform, and its log level.
// Settings that all entries share belong to the numbered configuration instead.
//
// # Usage
//
//	set, err := settings.Load("entry.yaml")
//
// # Errors
//
// Load reports every fault as file:line: key: what is wrong and the accepted
// values. An unknown key counts as a fault.
package settings

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"net/url"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
	"github.com/rs/zerolog"

	"github.com/oleanderwall/oleanderwall/internal/ids"
	"github.com/oleanderwall/oleanderwall/internal/intake"
)

// Settings are the settings of one entry process.
type Settings struct {
	EntryID          ids.EntryID          `yaml:"entry-id"`
	Region           ids.RegionName       `yaml:"region"`
	AvailabilityZone ids.AvailabilityZone `yaml:"availability-zone"`
	Size             int                  `yaml:"size"`
	Listen           Listen               `yaml:"listen"`
	Platform         Platform             `yaml:"platform"`
	Peers            []string             `yaml:"peers"`
	LogLevel         string               `yaml:"log-level"`
	Timing           Timing               `yaml:"timing"`
	Limits           Limits               `yaml:"limits"`
}

// Listen holds the addresses that the process listens on.
type Listen struct {
	Callers   string `yaml:"callers"`
	Operators string `yaml:"operators"`
	Peers     string `yaml:"peers"`
}

// Platform holds the base URLs of the platform's services.
type Platform struct {
	Table   string `yaml:"table"`
	Objects string `yaml:"objects"`
	VMList  string `yaml:"vm-list"`
}

// Timing holds the intervals of one process.
type Timing struct {
	VMListPoll        Duration `yaml:"vm-list-poll"`
	ConfigurationPoll Duration `yaml:"configuration-poll"`
	Heartbeat         Duration `yaml:"heartbeat"`
	BalancerNotice    Duration `yaml:"balancer-notice"`
	ShutdownBound     Duration `yaml:"shutdown-bound"`
}

// Limits are the limits on callers. A value of 0 stands for the default.
type Limits struct {
	MemoryMB           int64    `yaml:"memory-mb"`
	MaxDescriptors     int      `yaml:"max-descriptors"`
	RequestMemoryBytes int64    `yaml:"request-memory-bytes"`
	Connections        int      `yaml:"connections"`
	SideConnections    int      `yaml:"side-connections"`
	HeaderFields       int      `yaml:"header-fields"`
	BodyTime           Duration `yaml:"body-time"`
	BodyBytesPerSecond int64    `yaml:"body-bytes-per-second"`
	AnswerTime         Duration `yaml:"answer-time"`
	HeaderTime         Duration `yaml:"header-time"`
	IdleTime           Duration `yaml:"idle-time"`
}

// Intake returns the limits as the type of internal/intake.
func (li Limits) Intake() intake.Limits {
	return intake.Limits{
		MemoryBytes: li.MemoryMB << 20, Descriptors: li.MaxDescriptors, BudgetBytes: li.RequestMemoryBytes,
		Connections: li.Connections, SideConnections: li.SideConnections, HeaderFields: li.HeaderFields,
		BodyTime: li.BodyTime.Std(), BodyBytesPerSecond: li.BodyBytesPerSecond,
		AnswerTime: li.AnswerTime.Std(), HeaderTime: li.HeaderTime.Std(), IdleTime: li.IdleTime.Std(),
	}
}

// Duration is a duration written as text, for example 500ms. Text that is not a
// duration is kept, so that it can be reported with its key and line.
type Duration struct {
	val         time.Duration
	invalidText string
}

// NewDuration returns a Duration.
func NewDuration(val time.Duration) Duration {
	return Duration{val: val}
}

// Std returns the duration as the type of the standard library.
func (du Duration) Std() time.Duration {
	return du.val
}

// UnmarshalYAML reads a duration such as 500ms or 2s.
func (du *Duration) UnmarshalYAML(raw []byte) error {
	text := strings.Trim(strings.TrimSpace(string(raw)), `"'`)
	if val, err := time.ParseDuration(text); err == nil {
		*du = NewDuration(val)
	} else {
		du.invalidText = text
	}
	return nil
}

// Default returns the settings that a file overrides.
func Default() Settings {
	return Settings{
		Size:     1,
		LogLevel: "info",
		Timing: Timing{
			VMListPoll:        NewDuration(time.Second),
			ConfigurationPoll: NewDuration(time.Second),
			Heartbeat:         NewDuration(500 * time.Millisecond),
			BalancerNotice:    NewDuration(3 * time.Second),
			ShutdownBound:     NewDuration(30 * time.Second),
		},
	}
}

// Load reads and checks a settings file.
func Load(path string) (Settings, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, fmt.Errorf("read the settings: %w", err)
	}
	return Parse(path, raw)
}

// Parse decodes and checks the settings in raw. Errors contain name as the name
// of the file.
func Parse(name string, raw []byte) (Settings, error) {
	set := Default()
	file, err := parser.ParseBytes(raw, 0)
	if err != nil {
		return Settings{}, fmt.Errorf("%s: not valid YAML: %w", name, err)
	}
	dec := yaml.NewDecoder(bytes.NewReader(raw), yaml.DisallowUnknownField())
	if err := dec.Decode(&set); err != nil {
		return Settings{}, decodeError(name, err)
	}
	if faults := check(set); len(faults) > 0 {
		return Settings{}, faultsError(name, file, faults)
	}
	return set, nil
}

func decodeError(name string, err error) error {
	var ye yaml.Error
	if !errors.As(err, &ye) || ye.GetToken() == nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	tok := ye.GetToken()
	var unknown *yaml.UnknownFieldError
	if errors.As(err, &unknown) {
		return fmt.Errorf("%s:%d: key %s: not a known key; examples/entry.yaml lists the keys", name, tok.Position.Line, tok.Value)
	}
	key := tok.Value
	if tok.Prev != nil && tok.Prev.Prev != nil {
		key = tok.Prev.Prev.Value
	}
	return fmt.Errorf("%s:%d: key %s: %s", name, tok.Position.Line, key, ye.GetMessage())
}

type fault struct {
	key     string
	message string
}

func check(set Settings) []fault {
	var faults []fault
	add := func(key, format string, args ...any) {
		faults = append(faults, fault{key: key, message: fmt.Sprintf(format, args...)})
	}
	if set.EntryID == "" {
		add("entry-id", "must be a name that no other entry has")
	}
	if set.AvailabilityZone == "" {
		add("availability-zone", "must name the availability zone of this VM")
	}
	if set.Size < 1 || set.Size > maxSize {
		add("size", "%d is outside 1 to %d", set.Size, maxSize)
	}
	for _, row := range []struct {
		key, val string
		check    func(string) string
	}{
		{"listen.callers", set.Listen.Callers, checkAddress},
		{"listen.operators", set.Listen.Operators, checkAddress},
		{"listen.peers", set.Listen.Peers, checkAddress},
		{"platform.table", set.Platform.Table, checkURL},
		{"platform.objects", set.Platform.Objects, checkURL},
		{"platform.vm-list", set.Platform.VMList, checkURL},
	} {
		if msg := row.check(row.val); msg != "" {
			add(row.key, "%s", msg)
		}
	}
	for _, addr := range set.Peers {
		if msg := checkAddress(addr); msg != "" {
			add("peers", "%s", msg)
		}
	}
	if _, err := zerolog.ParseLevel(set.LogLevel); err != nil || set.LogLevel == "" {
		add("log-level", "%q is not one of debug, info, warn, error", set.LogLevel)
	}
	if err := set.Limits.Intake().Check(); err != nil {
		add("limits", "%s", err)
	}
	return append(faults, checkTiming(set.Timing, set.Limits)...)
}

const maxSize = 1024

func checkTiming(tm Timing, li Limits) []fault {
	var faults []fault
	for _, row := range []struct {
		key       string
		val       Duration
		low, high time.Duration
	}{
		{"timing.vm-list-poll", tm.VMListPoll, 50 * time.Millisecond, 10 * time.Second},
		{"timing.configuration-poll", tm.ConfigurationPoll, 50 * time.Millisecond, 3 * time.Second},
		{"timing.heartbeat", tm.Heartbeat, 50 * time.Millisecond, 5 * time.Second},
		{"timing.balancer-notice", tm.BalancerNotice, 0, 5 * time.Minute},
		{"timing.shutdown-bound", tm.ShutdownBound, time.Second, time.Hour},
		{"limits.body-time", li.BodyTime, 0, time.Hour},
		{"limits.answer-time", li.AnswerTime, 0, time.Hour},
		{"limits.header-time", li.HeaderTime, 0, time.Hour},
		{"limits.idle-time", li.IdleTime, 0, time.Hour},
	} {
		if row.val.invalidText != "" {
			msg := fmt.Sprintf("%q is not a duration; write a number with a unit, such as 500ms, from %s to %s", row.val.invalidText, row.low, row.high)
			faults = append(faults, fault{key: row.key, message: msg})
			continue
		}
		if row.val.Std() < row.low || row.val.Std() > row.high {
			msg := fmt.Sprintf("%s is outside %s to %s", row.val.Std(), row.low, row.high)
			faults = append(faults, fault{key: row.key, message: msg})
		}
	}
	return faults
}

func checkAddress(addr string) string {
	host, port, err := net.SplitHostPort(addr)
	if err != nil {
		return fmt.Sprintf("%q is not IP:PORT", addr)
	}
	if net.ParseIP(host) == nil {
		return fmt.Sprintf("%q is not an IP address", host)
	}
	num, err := strconv.Atoi(port)
	if err != nil || num < 0 || num > 65535 {
		return fmt.Sprintf("port %q is outside 0 to 65535", port)
	}
	return ""
}

func checkURL(base string) string {
	parsed, err := url.Parse(base)
	if err != nil || parsed.Scheme != "http" && parsed.Scheme != "https" || parsed.Host == "" {
		return fmt.Sprintf("%q is not a URL such as http://10.0.0.5:9001", base)
	}
	return ""
}

func faultsError(name string, file *ast.File, faults []fault) error {
	errs := make([]error, 0, len(faults))
	for _, ft := range faults {
		errs = append(errs, fmt.Errorf("%s:%d: key %s: %s", name, lineOf(file, ft.key), ft.key, ft.message))
	}
	return errors.Join(errs...)
}

// lineOf returns the line of a key in the file, 1 when the file lacks the key.
func lineOf(file *ast.File, key string) int {
	path, err := yaml.PathString("$." + key)
	if err != nil {
		return 1
	}
	node, err := path.FilterFile(file)
	if err != nil || node == nil {
		return 1
	}
	return node.GetToken().Position.Line
}
