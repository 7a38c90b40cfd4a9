package citronentry

import (
	"time"

	"github.com/cockroachdb/errors"
)

// Settings configure an entry.
type Settings struct {
	Name      string `yaml:"name"`
	Listen    string `yaml:"listen"`
	Advertise string `yaml:"advertise"`
	Zone      string `yaml:"zone"`
	// DiscoveryTTL is how long callers may keep the entry list.
	DiscoveryTTL time.Duration `yaml:"discoveryTTL"`
	// LeaseTTL is the life of the entry's discovery lease.
	LeaseTTL time.Duration `yaml:"leaseTTL"`
	// DrainGrace is how long a stopping entry still takes new requests
	// after leaving discovery, for callers whose list is a little old.
	DrainGrace time.Duration `yaml:"drainGrace"`
	// MaxBody bounds a request body, in bytes.
	MaxBody int64 `yaml:"maxBody"`
	// StallAfter is how long a back end may be silent with calls in
	// flight before it is probed.
	StallAfter time.Duration `yaml:"stallAfter"`
	// ProbeTimeout bounds a probe; two missed in a row mean frozen.
	ProbeTimeout time.Duration `yaml:"probeTimeout"`
	// TokenGap is the time between tokens to aim for; with the engines'
	// declared capacity it sets how many requests are sent on at once.
	TokenGap time.Duration `yaml:"tokenGap"`
	// MaxInflight is that number for services without declared capacity.
	MaxInflight int `yaml:"maxInflight"`
	// MaxQueue bounds the requests that wait for their turn, per service.
	MaxQueue int `yaml:"maxQueue"`
}

// DefaultSettings are the values of fields left out.
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
}

func orDefault[T comparable](v *T, def T) {
	var zero T
	if *v == zero {
		*v = def
	}
}

// WithDefaults fills the zero fields.
func (s Settings) WithDefaults() Settings {
	d := DefaultSettings
	orDefault(&s.Advertise, s.Listen)
	orDefault(&s.DiscoveryTTL, d.DiscoveryTTL)
	orDefault(&s.LeaseTTL, d.LeaseTTL)
	orDefault(&s.DrainGrace, d.DrainGrace)
	orDefault(&s.MaxBody, d.MaxBody)
	orDefault(&s.StallAfter, d.StallAfter)
	orDefault(&s.ProbeTimeout, d.ProbeTimeout)
	orDefault(&s.TokenGap, d.TokenGap)
	orDefault(&s.MaxInflight, d.MaxInflight)
	orDefault(&s.MaxQueue, d.MaxQueue)
	return s
}

// Check says what is wrong with the settings.
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
	if s.MaxBody < 0 || s.MaxInflight < 0 || s.MaxQueue < 0 {
		return errors.New("maxBody, maxInflight and maxQueue must not be negative")
	}
	return nil
}
