// Package citronconfig updates the active fleet configuration and keeps an
// audit trail of the changes.
//
// The configuration is the fleet text: the YAML document that operators
// write. One key, the head, names the active version together with its
// change record: who changed it, when, and from which revision. Keeping both
// in one value means that a change and its audit record cannot diverge.
// Before a head is replaced, its change record is copied to the audit
// prefix; the newest change record is the one in the head.
//
// A change is written with compare-and-swap on the revision that its author
// read. If two operators edit at the same time, the second one gets an error
// instead of silently overwriting the first. An author who gives AnyRevision
// instead replaces every change made before the call. See section.go for what
// the head refers to.
package citronconfig

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"citrondeck.dev/citrondeck/citronclock"
	"citrondeck.dev/citrondeck/citronfleet"
	"citrondeck.dev/citrondeck/citronkv"
	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
)

// Keys in the KV service.
const (
	// HeadKey is the key of the head: the active configuration and its change
	// record.
	HeadKey = "deck/config/fleet"
	// AuditPrefix is the key prefix of the change records of replaced
	// configurations, one per revision.
	AuditPrefix = "audit/"
)

// Change is the audit record of one configuration change.
type Change struct {
	// ID is unique to this change. It also distinguishes two changes to the
	// same text by the same operator.
	ID string `json:"id"`
	// Who is the operator who made the change, as given to Apply.
	Who string    `json:"who"`
	At  time.Time `json:"at"`
	// Revision is the KV revision that this change created. Previous is the
	// revision that it replaced, or zero if there was none.
	Revision citronkv.Revision `json:"revision"`
	Previous citronkv.Revision `json:"previous"`
	// Fleet is the name of the fleet, SHA256 the hash of the fleet text.
	Fleet  string `json:"fleet"`
	SHA256 string `json:"sha256"`
}

// Errors returned by Apply.
var (
	// ErrRace reports that another operator's change was written first.
	// This change did not become active.
	ErrRace = errors.New("the active fleet changed since it was read")
	// ErrOutcomeUnknown reports that the KV service did not confirm the write and
	// that its outcome could not be determined.
	ErrOutcomeUnknown = errors.New("it is unknown whether the change was written")
)

// changeRecord returns the change record in a value of HeadKey. A bare fleet text
// (see parseHead) has no change record, so only its revision is returned.
func changeRecord(it citronkv.Item) Change {
	h, ok := parseHead(it)
	if !ok {
		return Change{Revision: it.Revision}
	}
	return h.Change
}

// Config changes the configuration through a KV service.
type Config struct {
	KV    citronkv.Store
	Clock citronclock.Clock
}

// Current returns the item that holds the active configuration. Its revision
// is zero if there is none.
func (c Config) Current(ctx context.Context) (citronkv.Item, error) {
	it, err := c.KV.Get(ctx, HeadKey)
	if errors.Is(err, citronkv.ErrNotFound) {
		return citronkv.Item{}, nil
	}
	return it, errors.Wrap(err, "read the active fleet")
}

const (
	maxWriteAttempts = 4
	// initialRetryDelay doubles with every attempt.
	initialRetryDelay = 200 * time.Millisecond
)

// Apply validates text and makes it the active configuration if the current
// revision is expect. Absent requires that there is no configuration yet;
// AnyRevision replaces whatever is active at the time of the call. Parse errors
// name file as the source of text; who is the operator for the audit trail.
func (c Config) Apply(ctx context.Context, file string, text []byte, who string, expect citronkv.Revision) (Change, error) {
	f, err := citronfleet.Parse(file, text)
	if err != nil {
		return Change{}, err
	}
	cur, err := c.Current(ctx)
	if err != nil {
		return Change{}, err
	}
	if expect == citronkv.AnyRevision {
		expect = cur.Revision
	}
	if cur.Revision != expect {
		return Change{}, errors.Wrapf(ErrRace, "at revision %v, not %v", cur.Revision, expect)
	}
	if err := c.archiveChange(ctx, cur); err != nil {
		return Change{}, err
	}
	ch := Change{ID: uuid.NewString(), Who: who, At: c.Clock.Now().UTC(), Previous: expect, Fleet: f.Name, SHA256: hashOf(text)}
	h, sections, err := splitFleet(f, ch)
	if err != nil {
		return Change{}, err
	}
	stale, err := c.writeSections(ctx, cur, h, sections, text)
	if err != nil {
		return Change{}, err
	}
	val, _ := json.Marshal(h)
	if ch.Revision, err = c.writeHead(ctx, val, ch); err == nil {
		c.deleteStale(ctx, stale)
	}
	return ch, err
}

// writeSections writes the text and every section that the active head does
// not refer to. It returns the items that only the active head refers to.
func (c Config) writeSections(ctx context.Context, cur citronkv.Item, h head, sections []section, text []byte) (stale []citronkv.Item, err error) {
	active, _ := parseHead(cur)
	for _, s := range sections {
		if slices.Contains(active.sections(), s.hash) {
			continue
		}
		if _, err := c.KV.Put(ctx, sectionPrefix+s.hash, s.value, citronkv.AnyRevision, 0); err != nil {
			return nil, errors.Wrap(err, "write a section of the fleet text")
		}
	}
	if _, err := c.KV.Put(ctx, textPrefix+h.Change.ID, text, citronkv.AnyRevision, 0); err != nil {
		return nil, errors.Wrap(err, "write the fleet text")
	}
	staleKeys := []string{textPrefix + active.Change.ID}
	for _, hash := range active.sections() {
		if !slices.Contains(h.sections(), hash) {
			staleKeys = append(staleKeys, sectionPrefix+hash)
		}
	}
	for _, key := range staleKeys {
		if it, err := c.KV.Get(ctx, key); err == nil {
			stale = append(stale, it)
		}
	}
	return stale, nil
}

// deleteStale deletes the items that only the replaced head referred to.
//
// A concurrent change by another operator may refer to such a section again.
// If that change is based on the new head, its Apply has written the section
// again, because the new head does not refer to it. The section then has
// another revision than in stale, and the delete has no effect. If that change
// is based on an older head, it fails with ErrRace. Errors are ignored because
// they only leave unused items behind.
func (c Config) deleteStale(ctx context.Context, stale []citronkv.Item) {
	for _, it := range stale {
		_ = c.KV.Delete(ctx, it.Key, it.Revision)
	}
}

// Text returns the active fleet text as its operator wrote it, and its change
// record.
func (c Config) Text(ctx context.Context) ([]byte, Change, error) {
	cur, err := c.Current(ctx)
	if err != nil {
		return nil, Change{}, err
	}
	h, ok := parseHead(cur)
	if !ok {
		return cur.Value, Change{Revision: cur.Revision}, nil
	}
	it, err := c.KV.Get(ctx, textPrefix+h.Change.ID)
	return it.Value, h.Change, errors.Wrap(err, "read the fleet text")
}

// archiveChange copies the change record of the item that is about to be
// replaced to the audit prefix.
func (c Config) archiveChange(ctx context.Context, it citronkv.Item) error {
	if it.Revision.IsZero() {
		return nil
	}
	rec, _ := json.Marshal(changeRecord(it))
	_, err := c.KV.Put(ctx, auditKey(it.Revision), rec, citronkv.Absent, 0)
	if errors.Is(err, citronkv.ErrConflict) {
		return nil // another operator has copied it already
	}
	return errors.Wrap(err, "copy the audit record of the active change")
}

func auditKey(rev citronkv.Revision) string { return fmt.Sprintf("%s%020d", AuditPrefix, rev.Packed()) }

// writeHead makes the change active and returns its revision.
//
// A write whose reply is lost may have been applied, and another operator
// may have replaced it since. Retrying with the same expected revision cannot
// apply it twice. The audit trail shows whether it was applied, because a
// change record is copied there before its head is replaced.
func (c Config) writeHead(ctx context.Context, val []byte, ch Change) (citronkv.Revision, error) {
	replyLost := false
	for attempt := range maxWriteAttempts {
		rev, err := c.KV.Put(ctx, HeadKey, val, ch.Previous, 0)
		switch {
		case err == nil:
			return rev, nil
		case errors.Is(err, citronkv.ErrConflict) && !replyLost:
			return citronkv.Revision{}, ErrRace
		case errors.Is(err, citronkv.ErrConflict):
			rev, findErr := c.findRevision(ctx, ch.ID)
			if findErr == nil && rev.IsZero() {
				return citronkv.Revision{}, ErrRace
			}
			if findErr == nil {
				return rev, nil
			}
		case !errors.Is(err, citronkv.ErrUnavailable):
			return citronkv.Revision{}, errors.Wrap(err, "write the head that activates the fleet text")
		}
		replyLost = true
		if c.Clock.Sleep(ctx, initialRetryDelay<<attempt) != nil {
			break
		}
	}
	return citronkv.Revision{}, errors.Wrapf(ErrOutcomeUnknown, "change %s", ch.ID)
}

// findRevision returns the revision that the change with this ID created, or
// zero if the change is not in the audit trail.
func (c Config) findRevision(ctx context.Context, id string) (citronkv.Revision, error) {
	trail, err := c.AuditTrail(ctx)
	if err != nil {
		return citronkv.Revision{}, err
	}
	for _, ch := range trail {
		if ch.ID == id {
			return ch.Revision, nil
		}
	}
	return citronkv.Revision{}, nil
}

// AuditTrail returns the audit trail, oldest change first. The last element is the
// active change.
func (c Config) AuditTrail(ctx context.Context) ([]Change, error) {
	// The active change must be read first. If it is replaced before the
	// range is read, its record is found under the audit prefix.
	cur, err := c.Current(ctx)
	if err != nil {
		return nil, err
	}
	items, _, err := c.KV.Range(ctx, AuditPrefix)
	if err != nil {
		return nil, errors.Wrap(err, "read the audit trail")
	}
	byRev := map[citronkv.Revision]Change{}
	for _, it := range items {
		var ch Change
		if err := json.Unmarshal(it.Value, &ch); err != nil {
			return nil, errors.Wrapf(err, "decode audit record %s", strings.TrimPrefix(it.Key, AuditPrefix))
		}
		byRev[ch.Revision] = ch
	}
	if !cur.Revision.IsZero() {
		byRev[cur.Revision] = changeRecord(cur)
	}
	return sortByRevision(byRev), nil
}

func sortByRevision(byRev map[citronkv.Revision]Change) []Change {
	revs := slices.SortedFunc(maps.Keys(byRev), citronkv.Revision.Compare)
	out := make([]Change, len(revs))
	for i, r := range revs {
		out[i] = byRev[r]
	}
	return out
}
