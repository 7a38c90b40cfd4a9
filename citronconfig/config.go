// Package citronconfig changes the fleet text in force and keeps the audit
// trail of the changes.
//
// One key, the head, names what is in force together with who changed it,
// when, and from what revision, so that a change and its audit cannot come
// apart: whoever replaces a head first copies its change record to the
// audit prefix, and the newest change stands in the head itself. A change
// is written with compare-and-swap on the revision its author saw, so of
// two operators editing at once one is told to look again; neither
// overwrites the other unseen. See section.go for what the head names.
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
	// Key is the head: what is in force, and its change record.
	Key = "deck/config/fleet"
	// AuditPrefix holds one change record per replaced text, by revision.
	AuditPrefix = "audit/"
)

// Change says who put a fleet text in force, and when.
type Change struct {
	// ID tells this change from every other, also from one of the same
	// text by the same operator.
	ID  string    `json:"id"`
	Who string    `json:"who"`
	At  time.Time `json:"at"`
	// Revision is the KV revision the change got; Previous the one it
	// replaced (0: there was none).
	Revision citronkv.Revision `json:"revision"`
	Previous citronkv.Revision `json:"previous"`
	Fleet    string            `json:"fleet"`
	SHA256   string            `json:"sha256"`
}

// Errors of Apply.
var (
	// ErrRace: another operator's change came first; nothing was written.
	ErrRace = errors.New("the fleet in force changed since it was read")
	// ErrUnknown: the KV service did not say whether the change was
	// written, nor could it be found out.
	ErrUnknown = errors.New("whether the change was written is unknown")
)

// changeOf returns the change record in a value of Key; that of a bare
// fleet text knows no more than its revision.
func changeOf(it citronkv.Item) Change {
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

// Current returns the item in force; its revision is 0 when there is none.
func (c Config) Current(ctx context.Context) (citronkv.Item, error) {
	it, err := c.KV.Get(ctx, Key)
	if errors.Is(err, citronkv.ErrNotFound) {
		return citronkv.Item{}, nil
	}
	return it, errors.Wrap(err, "read the fleet in force")
}

const (
	applyTries = 4
	applyWait  = 200 * time.Millisecond
)

// Apply checks text and puts it in force, replacing revision expect (Absent:
// none may be there; AnyRevision: whatever is in force now).
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
	if err := c.audit(ctx, cur); err != nil {
		return Change{}, err
	}
	ch := Change{ID: uuid.NewString(), Who: who, At: c.Clock.Now().UTC(), Previous: expect, Fleet: f.Name, SHA256: hashOf(text)}
	h, sections, err := split(f, ch)
	if err != nil {
		return Change{}, err
	}
	old, err := c.store(ctx, cur, h, sections, text)
	if err != nil {
		return Change{}, err
	}
	val, _ := json.Marshal(h)
	if ch.Revision, err = c.write(ctx, val, ch); err == nil {
		c.drop(ctx, old)
	}
	return ch, err
}

// store writes the text and the sections that the head in force does not
// name, and returns the items that only that head names.
func (c Config) store(ctx context.Context, cur citronkv.Item, h head, sections []section, text []byte) (old []citronkv.Item, err error) {
	in, _ := parseHead(cur)
	for _, s := range sections {
		if slices.Contains(in.sections(), s.hash) {
			continue
		}
		if _, err := c.KV.Put(ctx, sectionPrefix+s.hash, s.value, citronkv.AnyRevision, 0); err != nil {
			return nil, errors.Wrap(err, "write a section of the fleet text")
		}
	}
	if _, err := c.KV.Put(ctx, textPrefix+h.Change.ID, text, citronkv.AnyRevision, 0); err != nil {
		return nil, errors.Wrap(err, "write the fleet text")
	}
	stale := []string{textPrefix + in.Change.ID}
	for _, hash := range in.sections() {
		if !slices.Contains(h.sections(), hash) {
			stale = append(stale, sectionPrefix+hash)
		}
	}
	for _, key := range stale {
		if it, err := c.KV.Get(ctx, key); err == nil {
			old = append(old, it)
		}
	}
	return old, nil
}

// drop deletes what only the replaced head named. An operator who puts
// such a section in force again, starting from our head, has written it
// after we read it, so its revision differs and the delete does nothing;
// one who started before our head loses the race for the next. What a
// failure here leaves behind is only garbage.
func (c Config) drop(ctx context.Context, old []citronkv.Item) {
	for _, it := range old {
		_ = c.KV.Delete(ctx, it.Key, it.Revision)
	}
}

// Text returns the fleet text in force, as its operator wrote it.
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

// audit copies the change record of the item about to be replaced.
func (c Config) audit(ctx context.Context, it citronkv.Item) error {
	if it.Revision.IsZero() {
		return nil
	}
	rec, _ := json.Marshal(changeOf(it))
	_, err := c.KV.Put(ctx, auditKey(it.Revision), rec, citronkv.Absent, 0)
	if errors.Is(err, citronkv.ErrConflict) {
		return nil // another operator copied it already
	}
	return errors.Wrap(err, "copy the audit record of the change in force")
}

func auditKey(rev citronkv.Revision) string { return fmt.Sprintf("%s%020d", AuditPrefix, rev.Packed()) }

// write puts the change in force. A write whose reply is lost may have
// been applied, and another operator may have replaced it since. Writing
// again on the same expected revision cannot apply it twice; whether it
// was applied shows in the key or, once replaced, in the audit trail,
// since nobody replaces a change without copying its record there.
func (c Config) write(ctx context.Context, val []byte, ch Change) (citronkv.Revision, error) {
	lost := false
	for try := range applyTries {
		rev, err := c.KV.Put(ctx, Key, val, ch.Previous, 0)
		switch {
		case err == nil:
			return rev, nil
		case errors.Is(err, citronkv.ErrConflict) && !lost:
			return citronkv.Revision{}, ErrRace
		case errors.Is(err, citronkv.ErrConflict):
			rev, ferr := c.find(ctx, ch.ID)
			if ferr == nil && rev.IsZero() {
				return citronkv.Revision{}, ErrRace
			}
			if ferr == nil {
				return rev, nil
			}
		case !errors.Is(err, citronkv.ErrUnavailable):
			return citronkv.Revision{}, errors.Wrap(err, "write the fleet text")
		}
		lost = true
		if c.Clock.Sleep(ctx, applyWait<<try) != nil {
			break
		}
	}
	return citronkv.Revision{}, errors.Wrapf(ErrUnknown, "change %s", ch.ID)
}

// find returns the revision that change id got, or 0 if it was not made.
func (c Config) find(ctx context.Context, id string) (citronkv.Revision, error) {
	trail, err := c.Trail(ctx)
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

// Trail returns the audit trail, oldest change first; its last element is
// the change in force.
func (c Config) Trail(ctx context.Context) ([]Change, error) {
	// The change in force is read first: one that is replaced in between
	// is then found under the audit prefix, where its replacer put it.
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
			return nil, errors.Wrapf(err, "audit record %s", strings.TrimPrefix(it.Key, AuditPrefix))
		}
		byRev[ch.Revision] = ch
	}
	if !cur.Revision.IsZero() {
		byRev[cur.Revision] = changeOf(cur)
	}
	return sorted(byRev), nil
}

func sorted(byRev map[citronkv.Revision]Change) []Change {
	revs := slices.SortedFunc(maps.Keys(byRev), citronkv.Revision.Compare)
	out := make([]Change, len(revs))
	for i, r := range revs {
		out[i] = byRev[r]
	}
	return out
}
