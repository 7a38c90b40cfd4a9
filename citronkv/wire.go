package citronkv

import "time"

// Procedures of the fake service's protocol.
const (
	procGet      = "/citron.kv.v1/Get"
	procRange    = "/citron.kv.v1/Range"
	procPut      = "/citron.kv.v1/Put"
	procDelete   = "/citron.kv.v1/Delete"
	procWatch    = "/citron.kv.v1/Watch"
	procLease    = "/citron.kv.v1/Lease"
	procFaults   = "/citron.kv.v1/Faults"
	procCounts   = "/citron.kv.v1/Counts"
	procInstSet  = "/citron.instances.v1/Set"
	procInstList = "/citron.instances.v1/List"
	procInstLag  = "/citron.instances.v1/Lag"
)

type keyRequest struct {
	Key string `json:"key"`
}

type itemResponse struct {
	Item Item `json:"item"`
}

type itemsResponse struct {
	Items    []Item   `json:"items"`
	Revision Revision `json:"revision"`
}

type putRequest struct {
	Key    string   `json:"key"`
	Value  []byte   `json:"value,omitempty"`
	Expect Revision `json:"expect"`
	Lease  LeaseID  `json:"lease,omitempty"`
}

type watchRequest struct {
	Prefix string   `json:"prefix"`
	After  Revision `json:"after"`
	// Wait is the maximum time that the service waits for a change.
	Wait time.Duration `json:"wait"`
}

// leaseRequest names a lease operation: "grant" uses TTL, "keepalive" and "revoke" use ID.
type leaseRequest struct {
	Op  string        `json:"op"`
	ID  LeaseID       `json:"id,omitempty"`
	TTL time.Duration `json:"ttl,omitempty"`
}

// faultsRequest replaces the fault settings and, if ExpireLease is not zero, expires
// that lease.
type faultsRequest struct {
	Faults      Faults  `json:"faults"`
	ExpireLease LeaseID `json:"expireLease,omitempty"`
}

type instancesResponse struct {
	Instances []Instance `json:"instances"`
}

type lagRequest struct {
	Lag time.Duration `json:"lag"`
}
