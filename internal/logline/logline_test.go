package logline_test

import (
	"bytes"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/oleanderwall/oleanderwall/internal/logline"
)

// TestQuoting guards against an event that spans two lines or whose pairs
// cannot be told apart.
func TestQuoting(t *testing.T) {
	cases := []struct {
		val  string
		want string
	}{
		{"plain", "key=plain"},
		{"two words", `key="two words"`},
		{"a=b", `key="a=b"`},
		{"line\nbreak", `key="line\nbreak"`},
		{`quo"te`, `key="quo\"te"`},
		{`back\slash`, `key="back\\slash"`},
		{"", `key=""`},
		{"\x00", `key="\x00"`},
		{"Asturias ñ", `key="Asturias ñ"`},
	}
	for _, tc := range cases {
		t.Run(tc.want, func(t *testing.T) {
			gm := NewWithT(t)
			var out bytes.Buffer
			log := logline.New(&out, zerolog.InfoLevel)
			log.Info().Str("key", tc.val).Msg("event")
			gm.Expect(out.String()).To(MatchRegexp(`^time=\S+ level=info message=event key=`))
			gm.Expect(out.String()).To(HaveSuffix(" " + tc.want + "\n"))
			gm.Expect(bytes.Count(out.Bytes(), []byte("\n"))).To(Equal(1))
		})
	}
}

// TestTypes guards against values that change when written, such as large
// numbers that lose digits.
func TestTypes(t *testing.T) {
	gm := NewWithT(t)
	var out bytes.Buffer
	log := logline.New(&out, zerolog.InfoLevel)
	log.Info().Int64("big", 9007199254740993).Bool("yes", true).Strs("list", []string{"a", "b c"}).Msg("two words")
	gm.Expect(out.String()).To(HaveSuffix(` level=info message="two words" big=9007199254740993 list="[\"a\",\"b c\"]" yes=true` + "\n"))
}
