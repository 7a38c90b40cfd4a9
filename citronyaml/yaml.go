// Package citronyaml decodes the YAML that people write for citrondeck,
// fleet texts and settings. Decoding is strict: an unknown field is an
// error. Every error names the file, the line and the column.
package citronyaml

import (
	"fmt"
	"regexp"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/lexer"
)

// position is how the library writes the place of an error.
var position = regexp.MustCompile(`^\[(\d+):(\d+)\] `)

// durationError is a duration that could not be read.
type durationError struct{ text string }

func (e durationError) Error() string {
	return fmt.Sprintf("%q is not a duration; write it like 250ms, 3s or 1m30s", e.text)
}

// Decode decodes text into v. file names the text in errors.
func Decode(file string, text []byte, v any) error {
	err := yaml.UnmarshalWithOptions(text, v, yaml.Strict(), yaml.CustomUnmarshaler(decodeDuration))
	if err == nil {
		return nil
	}
	var de durationError
	if errors.As(err, &de) {
		line, col := find(text, de.text)
		return errors.Newf("%s:%d:%d: %s", file, line, col, de.Error())
	}
	msg := yaml.FormatError(err, false, false)
	return errors.Newf("%s:%s", file, position.ReplaceAllString(msg, "$1:$2: "))
}

func decodeDuration(d *time.Duration, raw []byte) error {
	s := strings.Trim(strings.TrimSpace(string(raw)), `"'`)
	got, err := time.ParseDuration(s)
	if err != nil {
		return durationError{s}
	}
	*d = got
	return nil
}

// find returns the place of the first value that reads s: the library
// gives a custom decoder no position.
func find(text []byte, s string) (line, col int) {
	for _, t := range lexer.Tokenize(string(text)) {
		if t.Value == s {
			return t.Position.Line, t.Position.Column
		}
	}
	return 0, 0
}
