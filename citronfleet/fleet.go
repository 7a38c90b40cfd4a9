// Package citronfleet parses and validates the fleet text: the YAML document
// in which operators list the zones, the customers and the services, the
// dependencies of each service, and for a model service its engines and the
// layer range of each engine. A Fleet is an immutable value; its With methods
// return modified copies.
//
// Parse rejects a text that cannot be served as written and reports the line
// and the column of each problem:
//
//	f, err := citronfleet.Parse("fleet.yaml", text)
//	// err: fleet.yaml:14:9: services[0].engines[2].layers: layers [10,20) of
//	// engine "e3" lie on no exact cover ...
package citronfleet

import (
	"slices"
	"time"

	"citrondeck.dev/citrondeck/citronkv"
)

// Kind is the kind of a service.
type Kind string

// Kinds of service.
const (
	// Model is a model whose layers are distributed over engines. Each engine
	// holds a layer range.
	Model Kind = "model"
	// Plain is an ordinary service with interchangeable upstreams.
	Plain Kind = "plain"
)

// Fleet is the content of one valid fleet text.
type Fleet struct {
	Name      string     `json:"fleet,omitempty" yaml:"fleet"`
	Zones     []string   `json:"zones,omitempty" yaml:"zones"`
	Customers []Customer `json:"customers,omitempty" yaml:"customers"`
	Services  []Service  `json:"services,omitempty" yaml:"services"`
	// Revision is the KV revision at which the text was read. It is zero if
	// the text was parsed from a file.
	Revision citronkv.Revision `json:"-" yaml:"-"`
}

// Customer is a tenant whose callers send requests.
type Customer struct {
	Name string `json:"name,omitempty" yaml:"name"`
	// Share is the customer's weight among the requests that wait for a
	// service at its capacity. Zero counts as one.
	Share int `json:"share,omitempty" yaml:"share"`
}

// Service is a model or a plain service.
type Service struct {
	Name string `json:"name,omitempty" yaml:"name"`
	Kind Kind   `json:"kind,omitempty" yaml:"kind"`
	// Idempotent is false if a call must run at most once. The default is
	// true; see IsIdempotent.
	Idempotent *bool    `json:"idempotent,omitempty" yaml:"idempotent"`
	Depends    []string `json:"depends,omitempty" yaml:"depends"`
	// Layers is the number of layers of the model (model services only).
	Layers int `json:"layers,omitempty" yaml:"layers"`
	// Engines are the back ends that hold the model's layers (model services
	// only).
	Engines []Backend `json:"engines,omitempty" yaml:"engines"`
	// Upstreams are the back ends of a plain service.
	Upstreams []Backend `json:"upstreams,omitempty" yaml:"upstreams"`
	// Timeout bounds a request of a non-idempotent service, which continues
	// when its caller stops waiting. Zero means the entry's default. A request
	// of an idempotent service ends at its caller's deadline at the latest.
	Timeout time.Duration `json:"timeout,omitempty" yaml:"timeout"`
}

// Backend is an engine or an upstream of a plain service.
type Backend struct {
	Name string `json:"name,omitempty" yaml:"name"`
	Addr string `json:"addr,omitempty" yaml:"addr"`
	Zone string `json:"zone,omitempty" yaml:"zone"`
	// Range is the half-open range [from, to) of the layers that an engine
	// holds.
	Range [2]int `json:"layers,omitempty" yaml:"layers"`
	// Capacity is the engine's declared throughput in tokens per second.
	Capacity int `json:"capacity,omitempty" yaml:"capacity"`
}

// IsIdempotent reports whether a call may be retried after it may have run.
// Services are idempotent unless the fleet text says otherwise.
func (s Service) IsIdempotent() bool { return s.Idempotent == nil || *s.Idempotent }

// Backends returns the engines of a model service or the upstreams of a plain
// service.
func (s Service) Backends() []Backend {
	if s.Kind == Model {
		return s.Engines
	}
	return s.Upstreams
}

// MaxTokenRate returns the maximum rate of a model service in tokens per second. Each
// token passes every layer once, so the bound is the minimum over all layers of
// the total capacity of the engines that hold the layer. It is zero if the
// engines of some layer declare no capacity, and for plain services.
func (s Service) MaxTokenRate() float64 {
	bound := 0.0
	for l := range s.Layers {
		capacity := 0.0
		for _, e := range s.Engines {
			if e.Range[0] <= l && l < e.Range[1] {
				capacity += float64(e.Capacity)
			}
		}
		if l == 0 || capacity < bound {
			bound = capacity
		}
	}
	return bound
}

// Service returns the service with this name.
func (f Fleet) Service(name string) (Service, bool) {
	for _, s := range f.Services {
		if s.Name == name {
			return s, true
		}
	}
	return Service{}, false
}

// HasCustomer reports whether the fleet has a customer with this name.
func (f Fleet) HasCustomer(name string) bool {
	return slices.ContainsFunc(f.Customers, func(c Customer) bool { return c.Name == name })
}

// WithRevision returns a copy of f with revision rev.
func (f Fleet) WithRevision(rev citronkv.Revision) Fleet {
	f.Revision = rev
	return f
}

// WithService returns a copy of f in which s replaces the service of the same
// name. If there is none, s is appended.
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

// WithoutService returns a copy of f without the service with this name.
func (f Fleet) WithoutService(name string) Fleet {
	f.Services = slices.DeleteFunc(slices.Clone(f.Services), func(o Service) bool { return o.Name == name })
	return f
}
