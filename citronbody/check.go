package citronbody

// Validation of response heads. net/http accepts status codes such as 000, field names that contain
// blanks, folded lines, and versions other than HTTP/1. It does not take the fields with such names
// for those that frame the body, or that say what the response means.

import (
	"bytes"
	"net/http"
	"regexp"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"golang.org/x/net/http/httpguts"
)

// ErrInvalidHead means that what a process has sent is not the head of a response.
var ErrInvalidHead = errors.New("invalid response head")

const (
	minStatus, maxStatus = 100, 599
	// minFinalStatus is the lowest status of a response that is not an interim one.
	minFinalStatus = 200
	// maxFields bounds the fields of a head. A field of a few bytes takes hundreds once decoded.
	maxFields = 256
	// maxQuoted bounds how much of an invalid line is quoted in an error.
	maxQuoted = 64
)

// CheckHead checks the head of a response that another process has received.
func CheckHead(status int, header http.Header) error {
	if status < minFinalStatus || status > maxStatus {
		return errors.Wrapf(ErrInvalidHead, "status %d", status)
	}
	for name, values := range header {
		for _, v := range values {
			if err := checkField(name, v); err != nil {
				return err
			}
		}
	}
	return nil
}

func checkField(name, value string) error {
	if !httpguts.ValidHeaderFieldName(name) || !httpguts.ValidHeaderFieldValue(value) {
		return errors.Wrapf(ErrInvalidHead, "field %s", quote(name+":"+value))
	}
	return nil
}

func quote(text string) string { return strconv.Quote(text[:min(len(text), maxQuoted)]) }

// headChecker checks the lines of a head as they arrive.
type headChecker struct {
	// line is the part of the current line that has arrived. The transport bounds its length.
	line []byte
	// status is zero before the first line has arrived.
	status  int
	version string
	fields  int
}

// check checks the next bytes and reports whether the head has ended. What follows it is not
// checked.
func (h *headChecker) check(p []byte) (ended bool, err error) {
	for {
		part, rest, complete := bytes.Cut(p, []byte("\n"))
		h.line = append(h.line, part...)
		if !complete {
			return false, nil
		}
		p = rest
		if ended, err = h.checkLine(strings.TrimSuffix(string(h.line), "\r")); ended || err != nil {
			return ended, err
		}
		h.line = h.line[:0]
	}
}

// checkLine checks a line. An interim response is followed by another head.
func (h *headChecker) checkLine(line string) (ended bool, err error) {
	switch {
	case h.status == 0:
		return false, h.checkStatus(line)
	case line == "" && h.status < minFinalStatus:
		h.status, h.fields = 0, 0
		return false, nil
	case line == "":
		return true, nil
	}
	if h.fields++; h.fields > maxFields {
		return false, errors.Wrapf(errHeadTooLong, "more than %d fields", maxFields)
	}
	name, value, ok := strings.Cut(line, ":")
	if !ok || h.version == "1.0" && strings.EqualFold(name, "Transfer-Encoding") {
		return false, errors.Wrapf(ErrInvalidHead, "field %s", quote(line))
	}
	return false, checkField(name, value)
}

// statusLine matches the first line of a head. The version and the status are captured.
var statusLine = regexp.MustCompile(`^HTTP/(1\.\d) (\d{3})(?: [^\x00-\x08\x0a-\x1f\x7f]*)?$`)

// checkStatus checks the first line of a head.
func (h *headChecker) checkStatus(line string) error {
	m := statusLine.FindStringSubmatch(line)
	if m == nil {
		return errors.Wrapf(ErrInvalidHead, "status line %s", quote(line))
	}
	h.version = m[1]
	h.status, _ = strconv.Atoi(m[2]) // three digits
	if h.status < minStatus || h.status > maxStatus || h.status == http.StatusSwitchingProtocols {
		return errors.Wrapf(ErrInvalidHead, "status %s", m[2])
	}
	return nil
}
