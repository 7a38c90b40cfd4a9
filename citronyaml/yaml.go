// Package citronyaml decodes the YAML files that operators write: fleet texts
// and settings. Decoding is strict: an unknown field is an error. Every error
// names the file, the line and the column; those of an invalid duration are
// found by its text (see findValue).
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

// errorPosition matches the position that the YAML library puts in front of an
// error message.
var errorPosition = regexp.MustCompile(`^\[(\d+):(\d+)\] `)

// durationError reports a value that is not a valid duration.
type durationError struct{ text string }

func (e durationError) Error() string {
	return fmt.Sprintf("%q is not a duration; write it like 250ms, 3s or 1m30s", e.text)
}

// Decode decodes text into v. Errors refer to the text as file.
func Decode(file string, text []byte, v any) error {
	err := yaml.UnmarshalWithOptions(text, v, yaml.Strict(), yaml.CustomUnmarshaler(decodeDuration))
	if err == nil {
		return nil
	}
	var de durationError
	if errors.As(err, &de) {
		line, col := findValue(text, de.text)
		return errors.Newf("%s:%d:%d: %s", file, line, col, de.Error())
	}
	msg := yaml.FormatError(err, false, false)
	return errors.Newf("%s:%s", file, errorPosition.ReplaceAllString(msg, "$1:$2: "))
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

// findValue returns the position of the first token whose text equals s, or 0, 0
// if there is none. The token may be an earlier key or value than the one that
// was decoded. A list, a map or a string with escapes matches no token. The
// search is needed because the YAML library does not pass a position to custom
// decoders.
func findValue(text []byte, s string) (line, col int) {
	for _, t := range lexer.Tokenize(string(text)) {
		if t.Value == s {
			return t.Position.Line, t.Position.Column
		}
	}
	return 0, 0
}
