package settings_test

import (
	"os"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/oleanderwall/oleanderwall/internal/settings"
)

const valid = `entry-id: entry-1
availability-zone: austin-north
listen: {callers: "10.0.0.1:8080", operators: "10.0.0.1:8081", peers: "10.0.0.1:8082"}
platform: {table: "http://10.0.0.9:1", objects: "http://10.0.0.9:2", vm-list: "http://10.0.0.9:3"}
`

// TestInvalidSettings guards against invalid settings that are accepted, and
// against messages that lack the file, the line, the key or the accepted values.
func TestInvalidSettings(t *testing.T) {
	cases := []struct {
		name  string
		extra string
		want  string
	}{
		{"unknown key", "heartbeat: 1s\n", "entry.yaml:5: key heartbeat: not a known key"},
		{"unknown nested key", "timing:\n  heart-beat: 1s\n", "entry.yaml:6: key heart-beat: not a known key"},
		{"no duration", "timing:\n  heartbeat: 5x\n", `entry.yaml:6: key timing.heartbeat: "5x" is not a duration; write a number with a unit, such as 500ms, from 50ms to 5s`},
		{"long duration", "timing:\n  heartbeat: 50s\n", "entry.yaml:6: key timing.heartbeat: 50s is outside 50ms to 5s"},
		{"port", "peers: [\"10.0.0.2:99999\"]\n", `entry.yaml:5: key peers: port "99999" is outside 0 to 65535`},
		{"host name", "peers: [\"entry-2:80\"]\n", `entry.yaml:5: key peers: "entry-2" is not an IP address`},
		{"size", "size: 0\n", "entry.yaml:5: key size: 0 is outside 1 to 1024"},
		{"type", "size: many\n", "entry.yaml:5: key size: "},
		{"limit", "limits:\n  connections: -1\n", "entry.yaml:6: key limits: connections is -1, want 0 for the default or a positive value"},
		{"time of a limit", "limits:\n  body-time: 5x\n", `entry.yaml:6: key limits.body-time: "5x" is not a duration`},
		{"log level", "log-level: loud\n", `entry.yaml:5: key log-level: "loud" is not one of debug, info, warn, error`},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			gm := NewWithT(t)
			_, err := settings.Parse("entry.yaml", []byte(valid+tc.extra))
			gm.Expect(err).To(MatchError(ContainSubstring(tc.want)))
		})
	}
}

// TestMissingKeys guards against a process that starts without an identity.
func TestMissingKeys(t *testing.T) {
	gm := NewWithT(t)
	_, err := settings.Parse("entry.yaml", []byte("size: 2\n"))
	for _, key := range []string{"entry-id", "availability-zone", "listen.callers", "platform.table"} {
		gm.Expect(err).To(MatchError(ContainSubstring("key " + key + ": ")))
	}
}

// TestExample guards against an example file that is not valid.
func TestExample(t *testing.T) {
	gm := NewWithT(t)
	raw, err := os.ReadFile("../../examples/entry.yaml")
	gm.Expect(err).NotTo(HaveOccurred())
	set, err := settings.Parse("entry.yaml", raw)
	gm.Expect(err).NotTo(HaveOccurred())
	gm.Expect(set.Timing.Heartbeat.Std()).To(Equal(500 * time.Millisecond))
}
