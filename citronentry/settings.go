package citronentry

import (
	"time"

	"citrondeck.dev/citrondeck/citronserve"
	"github.com/cockroachdb/errors"
)

// Settings is the configuration of an entry. Name, Listen and Zone are
// required; WithDefaults fills the other fields.
type Settings struct {
	// Name identifies the entry and is unique in the fleet.
	Name string `yaml:"name"`
	// Listen is the address to listen on for callers (host:port).
	Listen string `yaml:"listen"`
	// Advertise is the address that discovery returns for this entry. It
	// defaults to Listen.
	Advertise string `yaml:"advertise"`
	// Zone is the availability zone the entry runs in.
	Zone string `yaml:"zone"`
	// DiscoveryTTL is how long callers may cache the entry list.
	DiscoveryTTL time.Duration `yaml:"discoveryTTL"`
	// LeaseTTL is the lifetime of the entry's discovery lease. In large
	// fleets the entry uses a longer one.
	LeaseTTL time.Duration `yaml:"leaseTTL"`
	// DrainGrace is how long a stopping entry accepts new requests after
	// leaving discovery, for callers with a slightly outdated list.
	DrainGrace time.Duration `yaml:"drainGrace"`
	// MaxBody is the maximum size of a request body, in bytes.
	MaxBody int64 `yaml:"maxBody"`
	// StallAfter is how long a back end with calls in flight may send
	// nothing before it is probed.
	StallAfter time.Duration `yaml:"stallAfter"`
	// ProbeTimeout is the timeout of a probe. A back end that misses two
	// probes in a row is considered frozen.
	ProbeTimeout time.Duration `yaml:"probeTimeout"`
	// TokenGap is the target time between two tokens of a response. With the
	// engines' declared capacity it determines how many requests of a
	// service the entry has in flight at once.
	TokenGap time.Duration `yaml:"tokenGap"`
	// MaxInflight is the maximum number of requests in flight at once for a
	// service without a known capacity: a plain service, or a model service
	// with layers whose engines declare no capacity.
	MaxInflight int `yaml:"maxInflight"`
	// MaxQueue is the maximum number of requests that wait in the queue of a
	// service.
	MaxQueue int `yaml:"maxQueue"`
	// MemoryMB is the memory that the process may take, in MB, and MaxFDs the number of
	// sockets that it may have open. A part of both is for callers.
	MemoryMB int `yaml:"memoryMB"`
	MaxFDs   int `yaml:"maxFDs"`
	// Limits are the limits of the listener for callers.
	Limits citronserve.Limits `yaml:"-"`
}

// DefaultSettings holds the default values of the optional fields.
var DefaultSettings = Settings{
	DiscoveryTTL: 10 * time.Second,
	LeaseTTL:     3 * time.Second,
	DrainGrace:   time.Second,
	MaxBody:      1 << 20,
	StallAfter:   250 * time.Millisecond,
	ProbeTimeout: 200 * time.Millisecond,
	TokenGap:     74 * time.Millisecond,
	MaxInflight:  256,
	MaxQueue:     4096,
	MemoryMB:     192,
	MaxFDs:       2048,
}

// setDefault sets *v to def if *v is the zero value.
func setDefault[T comparable](v *T, def T) {
	var zero T
	if *v == zero {
		*v = def
	}
}

// WithDefaults returns a copy of s with its zero fields set to their
// defaults.
func (s Settings) WithDefaults() Settings {
	d := DefaultSettings
	setDefault(&s.Advertise, s.Listen)
	setDefault(&s.DiscoveryTTL, d.DiscoveryTTL)
	setDefault(&s.LeaseTTL, d.LeaseTTL)
	setDefault(&s.DrainGrace, d.DrainGrace)
	setDefault(&s.MaxBody, d.MaxBody)
	setDefault(&s.StallAfter, d.StallAfter)
	setDefault(&s.ProbeTimeout, d.ProbeTimeout)
	setDefault(&s.TokenGap, d.TokenGap)
	setDefault(&s.MaxInflight, d.MaxInflight)
	setDefault(&s.MaxQueue, d.MaxQueue)
	setDefault(&s.MemoryMB, d.MemoryMB)
	setDefault(&s.MaxFDs, d.MaxFDs)
	return s
}

// Check returns an error if a required field is missing or a value is
// negative.
func (s Settings) Check() error {
	switch {
	case s.Name == "":
		return errors.New("name is missing: an entry needs a name unique in the fleet")
	case s.Listen == "":
		return errors.New("listen is missing: an entry needs an address to listen on (host:port)")
	case s.Zone == "":
		return errors.New("zone is missing: an entry needs the zone it runs in")
	}
	for name, d := range map[string]time.Duration{
		"discoveryTTL": s.DiscoveryTTL, "leaseTTL": s.LeaseTTL, "drainGrace": s.DrainGrace,
		"stallAfter": s.StallAfter, "probeTimeout": s.ProbeTimeout, "tokenGap": s.TokenGap,
	} {
		if d < 0 {
			return errors.Newf("%s: %v is negative", name, d)
		}
	}
	if s.MaxBody < 0 || s.MaxInflight < 0 || s.MaxQueue < 0 || s.MemoryMB < 0 || s.MaxFDs < 0 {
		return errors.New("maxBody, maxInflight, maxQueue, memoryMB and maxFDs must not be negative")
	}
	return nil
}
