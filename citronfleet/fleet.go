// Package citronfleet reads and checks the operators' fleet text: the one
// YAML document that lists the zones, the customers and the services,
// what each service depends on, and for a model service the engines with
// the layer range each holds. A Fleet is an immutable value; With methods
// return changed copies.
//
// Check refuses a text that could not be served as written, and names the
// line and column of each problem:
//
//	f, err := citronfleet.Parse("fleet.yaml", text)
//	// err: fleet.yaml:14:9: services[0].engines[2]: layers [10,20) overlap ...
package citronfleet

import (
	"slices"
	"time"

	"citrondeck.dev/citrondeck/citronkv"
)

// Kind says what a service is.
type Kind string

// Kinds of service.
const (
	// Model is a model spread over engines, each holding a range of layers.
	Model Kind = "model"
	// Plain is an ordinary service with interchangeable upstreams.
	Plain Kind = "plain"
)

// Fleet is one accepted fleet text.
type Fleet struct {
	Name      string     `json:"fleet,omitempty" yaml:"fleet"`
	Zones     []string   `json:"zones,omitempty" yaml:"zones"`
	Customers []Customer `json:"customers,omitempty" yaml:"customers"`
	Services  []Service  `json:"services,omitempty" yaml:"services"`
	// Revision is the KV revision the text was read at; zero when parsed
	// from a file.
	Revision citronkv.Revision `json:"-" yaml:"-"`
}

// Customer is a party whose callers send requests.
type Customer struct {
	Name string `json:"name,omitempty" yaml:"name"`
	// Share is the customer's weight when engines are short.
	Share int `json:"share,omitempty" yaml:"share"`
}

// Service is a model or a plain service.
type Service struct {
	Name string `json:"name,omitempty" yaml:"name"`
	Kind Kind   `json:"kind,omitempty" yaml:"kind"`
	// Idempotent is false for calls that must run at most once.
	Idempotent *bool    `json:"idempotent,omitempty" yaml:"idempotent"`
	Depends    []string `json:"depends,omitempty" yaml:"depends"`
	// Layers is the model's layer count (model services).
	Layers int `json:"layers,omitempty" yaml:"layers"`
	// Engines hold the model's layers (model services).
	Engines []Backend `json:"engines,omitempty" yaml:"engines"`
	// Upstreams serve a plain service.
	Upstreams []Backend `json:"upstreams,omitempty" yaml:"upstreams"`
	// Timeout bounds one request end to end.
	Timeout time.Duration `json:"timeout,omitempty" yaml:"timeout"`
}

// Backend is an engine or an upstream of a plain service.
type Backend struct {
	Name string `json:"name,omitempty" yaml:"name"`
	Addr string `json:"addr,omitempty" yaml:"addr"`
	Zone string `json:"zone,omitempty" yaml:"zone"`
	// Range is [from, to): the layers an engine holds.
	Range [2]int `json:"layers,omitempty" yaml:"layers"`
	// Capacity is the engine's declared tokens per second.
	Capacity int `json:"capacity,omitempty" yaml:"capacity"`
}

// IsIdempotent reports whether a call may be repeated; services are
// idempotent unless the text says otherwise.
func (s Service) IsIdempotent() bool { return s.Idempotent == nil || *s.Idempotent }

// Backends returns the engines or the upstreams.
func (s Service) Backends() []Backend {
	if s.Kind == Model {
		return s.Engines
	}
	return s.Upstreams
}

// Bound is the token rate the hardware allows a model service: the least,
// over its layers, of the capacity of the engines holding that layer
// (each token passes every layer once). It is 0 where some engine of the
// bottleneck declares no capacity, and for plain services.
func (s Service) Bound() float64 {
	best := 0.0
	for l := range s.Layers {
		sum := 0.0
		for _, e := range s.Engines {
			if e.Range[0] <= l && l < e.Range[1] {
				sum += float64(e.Capacity)
			}
		}
		if l == 0 || sum < best {
			best = sum
		}
	}
	return best
}

// Service returns the named service.
func (f Fleet) Service(name string) (Service, bool) {
	for _, s := range f.Services {
		if s.Name == name {
			return s, true
		}
	}
	return Service{}, false
}

// HasCustomer reports whether name is a known customer.
func (f Fleet) HasCustomer(name string) bool {
	return slices.ContainsFunc(f.Customers, func(c Customer) bool { return c.Name == name })
}

// WithRevision returns f read at revision rev.
func (f Fleet) WithRevision(rev citronkv.Revision) Fleet {
	f.Revision = rev
	return f
}

// WithService returns f with s replacing the service of the same name, or
// added at the end.
func (f Fleet) WithService(s Service) Fleet {
	out := slices.Clone(f.Services)
	i := slices.IndexFunc(out, func(o Service) bool { return o.Name == s.Name })
	if i < 0 {
		out = append(out, s)
	} else {
		out[i] = s
	}
	f.Services = out
	return f
}

// WithoutService returns f without the named service.
func (f Fleet) WithoutService(name string) Fleet {
	f.Services = slices.DeleteFunc(slices.Clone(f.Services), func(o Service) bool { return o.Name == name })
	return f
}
