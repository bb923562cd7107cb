// Package logline makes zerolog write one line of key=value pairs for each
// event.
//
// zerolog writes JSON, so the writer of this package decodes each event and
// writes it as key=value pairs in a fixed order: time, level, message, then the
// other keys in alphabetical order. A value that holds a space, an equals sign,
// a quote or a control character is quoted as a Go string, so an event never
// spans two lines.
//
// # Usage
//
//	log := logline.New(os.Stderr, zerolog.InfoLevel)
//	log.Info().Str("service", "fitdesk").Msg("service created")
package logline

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"sort"
	"strconv"
	"strings"
	"sync"
	"unicode"

	"github.com/rs/zerolog"
)

// New returns a logger that writes key=value lines with time stamps to out.
func New(out io.Writer, level zerolog.Level) zerolog.Logger {
	return NewWithoutTime(out, level).With().Timestamp().Logger()
}

// NewWithoutTime returns a logger whose events carry their own time field.
func NewWithoutTime(out io.Writer, level zerolog.Level) zerolog.Logger {
	return zerolog.New(&writer{out: out}).Level(level)
}

type writer struct {
	mu  sync.Mutex
	out io.Writer
}

// Write decodes one JSON event of zerolog and writes it as a key=value line.
func (wr *writer) Write(event []byte) (int, error) {
	dec := json.NewDecoder(bytes.NewReader(event))
	dec.UseNumber()
	fields := map[string]any{}
	if err := dec.Decode(&fields); err != nil {
		return 0, fmt.Errorf("decode a log event: %w", err)
	}
	line := formatLine(fields)
	wr.mu.Lock()
	defer wr.mu.Unlock()
	if _, err := io.WriteString(wr.out, line); err != nil {
		return 0, err
	}
	return len(event), nil
}

func formatLine(fields map[string]any) string {
	leading := []string{zerolog.TimestampFieldName, zerolog.LevelFieldName, zerolog.MessageFieldName}
	var sb strings.Builder
	for _, key := range leading {
		if val, ok := fields[key]; ok {
			appendPair(&sb, key, val)
			delete(fields, key)
		}
	}
	keys := make([]string, 0, len(fields))
	for key := range fields {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	for _, key := range keys {
		appendPair(&sb, key, fields[key])
	}
	sb.WriteByte('\n')
	return sb.String()
}

func appendPair(sb *strings.Builder, key string, val any) {
	if sb.Len() > 0 {
		sb.WriteByte(' ')
	}
	sb.WriteString(quoteIfNeeded(key))
	sb.WriteByte('=')
	sb.WriteString(quoteIfNeeded(formatValue(val)))
}

func formatValue(val any) string {
	switch v := val.(type) {
	case string:
		return v
	case json.Number:
		return v.String()
	case bool:
		return strconv.FormatBool(v)
	case nil:
		return "null"
	default:
		raw, err := json.Marshal(v)
		if err != nil {
			return fmt.Sprint(v)
		}
		return string(raw)
	}
}

func quoteIfNeeded(s string) string {
	needs := func(r rune) bool {
		return r == ' ' || r == '=' || r == '"' || r == '\\' || r == unicode.ReplacementChar || !unicode.IsPrint(r)
	}
	if s == "" || strings.ContainsFunc(s, needs) {
		return strconv.Quote(s)
	}
	return s
}
