package citronconfig

// Sections. Operators edit one text, but a change touches little of it. At
// the two-year size the text has 0.4 MB and takes a quarter of a second to
// parse; sent whole to 1,200 entries 14,000 times a day, it alone would
// break what an entry may spend on control. So apply cuts the checked text
// into sections, one for the customers and one per service, each kept
// under the hash of its content. The head, the one key that entries watch,
// names the sections in force; an entry reads only those it lacks.
//
// The head is the commit point: sections are written before it and stay as
// long as it names them, so a change is in force whole or not at all.

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"

	"citrondeck.dev/citrondeck/citronfleet"
	"citrondeck.dev/citrondeck/citronkv"
	"github.com/cockroachdb/errors"
)

const (
	sectionPrefix = "config/section/"
	textPrefix    = "config/text/"
)

// head is the value of Key.
type head struct {
	Change Change   `json:"change"`
	Zones  []string `json:"zones"`
	// Customers and Services are the hashes of their sections.
	Customers string   `json:"customers"`
	Services  []string `json:"services"`
}

func (h head) sections() []string { return append([]string{h.Customers}, h.Services...) }

// section is one part of a fleet text, encoded.
type section struct {
	hash  string
	value []byte
}

func newSection(v any) (section, error) {
	b, err := json.Marshal(v)
	return section{hash: hashOf(b), value: b}, errors.Wrap(err, "encode a section of the fleet text")
}

func hashOf(b []byte) string {
	sum := sha256.Sum256(b)
	return hex.EncodeToString(sum[:])
}

// split cuts a fleet into the head that names its sections, and those.
func split(f citronfleet.Fleet, ch Change) (head, []section, error) {
	h := head{Change: ch, Zones: f.Zones}
	cs, err := newSection(f.Customers)
	if err != nil {
		return head{}, nil, err
	}
	h.Customers = cs.hash
	out := []section{cs}
	for _, svc := range f.Services {
		s, err := newSection(svc)
		if err != nil {
			return head{}, nil, err
		}
		h.Services = append(h.Services, s.hash)
		out = append(out, s)
	}
	return h, out, nil
}

// parseHead reads a value of Key; false when it is not a head but a bare
// fleet text, as an operator may have put there by hand.
func parseHead(it citronkv.Item) (head, bool) {
	var h head
	if json.Unmarshal(it.Value, &h) != nil || h.Customers == "" {
		return head{}, false
	}
	h.Change.Revision = it.Revision
	return h, true
}

// Loader turns values of Key into fleets. It keeps the sections of the
// newest fleet it loaded, so that a change costs the sections it changed.
// It is for one goroutine.
type Loader struct {
	KV        citronkv.Store
	customers map[string][]citronfleet.Customer
	services  map[string]citronfleet.Service
}

// Load returns the fleet of a value of Key, at its revision.
func (l *Loader) Load(ctx context.Context, it citronkv.Item) (citronfleet.Fleet, error) {
	h, ok := parseHead(it)
	if !ok {
		f, err := citronfleet.Parse(Key, it.Value)
		return f.WithRevision(it.Revision), err
	}
	f := citronfleet.Fleet{Name: h.Change.Fleet, Zones: h.Zones, Revision: it.Revision}
	customers := map[string][]citronfleet.Customer{}
	services := map[string]citronfleet.Service{}
	var err error
	if f.Customers, err = loadSection(ctx, l.KV, l.customers, customers, h.Customers); err != nil {
		return citronfleet.Fleet{}, err
	}
	for _, hash := range h.Services {
		svc, err := loadSection(ctx, l.KV, l.services, services, hash)
		if err != nil {
			return citronfleet.Fleet{}, err
		}
		f.Services = append(f.Services, svc)
	}
	l.customers, l.services = customers, services
	return f, nil
}

// loadSection returns the section of that hash, from the ones held or from
// the KV service, and notes it in next.
func loadSection[T any](ctx context.Context, kv citronkv.Store, held, next map[string]T, hash string) (T, error) {
	v, ok := held[hash]
	if !ok {
		it, err := kv.Get(ctx, sectionPrefix+hash)
		if err != nil {
			return v, errors.Wrapf(err, "read section %.12s of the fleet text", hash)
		}
		if got := hashOf(it.Value); got != hash {
			return v, errors.Newf("section %.12s of the fleet text has hash %.12s", hash, got)
		}
		if err := json.Unmarshal(it.Value, &v); err != nil {
			return v, errors.Wrapf(err, "decode section %.12s of the fleet text", hash)
		}
	}
	next[hash] = v
	return v, nil
}
