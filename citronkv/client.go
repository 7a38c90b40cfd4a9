package citronkv

import (
	"context"
	"net/http"
	"time"

	"citrondeck.dev/citrondeck/citronwire"
	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
)

// watchWait is the maximum time that the service may hold a watch of the client
// open. A network partition that drops packets leaves a watch hanging without an
// error. An accepted change must still take effect within 4 s, so the wait and
// the deadline of the call (one second later) end before that, and the caller
// sends the watch again.
const watchWait = 2500 * time.Millisecond

// Client is a Store that calls the fake service over connect-go.
type Client struct {
	get                        *citronwire.Unary[keyRequest, itemResponse]
	put, del                   *citronwire.Unary[putRequest, itemResponse]
	watch                      *citronwire.Unary[watchRequest, itemsResponse]
	rangeAll                   *citronwire.Unary[keyRequest, itemsResponse]
	lease                      *citronwire.Unary[leaseRequest, leaseRequest]
	faults                     *citronwire.Unary[faultsRequest, faultsRequest]
	counts                     *citronwire.Unary[keyRequest, Counts]
	instSet                    *citronwire.Unary[Instance, Instance]
	instList                   *citronwire.Unary[keyRequest, instancesResponse]
	instLag                    *citronwire.Unary[lagRequest, lagRequest]
	base                       string
	callTimeout, watchDeadline time.Duration
}

// NewClient returns a client for the fake service at base, such as
// http://127.0.0.1:7000.
func NewClient(hc *http.Client, base string) *Client {
	return &Client{
		get:           citronwire.NewUnary[keyRequest, itemResponse](hc, base, procGet),
		rangeAll:      citronwire.NewUnary[keyRequest, itemsResponse](hc, base, procRange),
		put:           citronwire.NewUnary[putRequest, itemResponse](hc, base, procPut),
		del:           citronwire.NewUnary[putRequest, itemResponse](hc, base, procDelete),
		watch:         citronwire.NewUnary[watchRequest, itemsResponse](hc, base, procWatch),
		lease:         citronwire.NewUnary[leaseRequest, leaseRequest](hc, base, procLease),
		faults:        citronwire.NewUnary[faultsRequest, faultsRequest](hc, base, procFaults),
		counts:        citronwire.NewUnary[keyRequest, Counts](hc, base, procCounts),
		instSet:       citronwire.NewUnary[Instance, Instance](hc, base, procInstSet),
		instList:      citronwire.NewUnary[keyRequest, instancesResponse](hc, base, procInstList),
		instLag:       citronwire.NewUnary[lagRequest, lagRequest](hc, base, procInstLag),
		base:          base,
		callTimeout:   2 * time.Second,
		watchDeadline: watchWait + time.Second,
	}
}

// fromConnect marks a connect error with the matching error of a Store. The
// message keeps the procedure and the peer. Unknown codes map to ErrUnavailable.
func fromConnect(err error) error {
	if err == nil {
		return nil
	}
	var sentinel error
	switch citronwire.Code(err) {
	case connect.CodeNotFound:
		sentinel = ErrNotFound
	case connect.CodeAborted:
		sentinel = ErrConflict
	case connect.CodeFailedPrecondition:
		sentinel = ErrLeaseExpired
	case connect.CodeOutOfRange:
		sentinel = ErrCompacted
	default:
		sentinel = ErrUnavailable
	}
	return errors.Mark(err, sentinel)
}

// withCallTimeout returns ctx bounded by the timeout of a call other than a watch.
func (c *Client) withCallTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, c.callTimeout)
}

// Get implements Store.
func (c *Client) Get(ctx context.Context, key string) (Item, error) {
	ctx, cancel := c.withCallTimeout(ctx)
	defer cancel()
	r, err := c.get.Call(ctx, &keyRequest{Key: key})
	if err != nil {
		return Item{}, fromConnect(err)
	}
	return r.Item, nil
}

// Range implements Store.
func (c *Client) Range(ctx context.Context, prefix string) ([]Item, Revision, error) {
	ctx, cancel := c.withCallTimeout(ctx)
	defer cancel()
	r, err := c.rangeAll.Call(ctx, &keyRequest{Key: prefix})
	if err != nil {
		return nil, Revision{}, fromConnect(err)
	}
	return r.Items, r.Revision, nil
}

// Put implements Store.
func (c *Client) Put(ctx context.Context, key string, value []byte, expect Revision, lease LeaseID) (Revision, error) {
	ctx, cancel := c.withCallTimeout(ctx)
	defer cancel()
	r, err := c.put.Call(ctx, &putRequest{Key: key, Value: value, Expect: expect, Lease: lease})
	if err != nil {
		return Revision{}, fromConnect(err)
	}
	return r.Item.Revision, nil
}

// Delete implements Store.
func (c *Client) Delete(ctx context.Context, key string, expect Revision) error {
	ctx, cancel := c.withCallTimeout(ctx)
	defer cancel()
	_, err := c.del.Call(ctx, &putRequest{Key: key, Expect: expect})
	return fromConnect(err)
}

// Watch implements Store.
func (c *Client) Watch(ctx context.Context, prefix string, after Revision) ([]Item, Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, c.watchDeadline)
	defer cancel()
	r, err := c.watch.Call(ctx, &watchRequest{Prefix: prefix, After: after, Wait: watchWait})
	if err != nil {
		return nil, Revision{}, fromConnect(err)
	}
	return r.Items, r.Revision, nil
}

// Grant implements Store.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	ctx, cancel := c.withCallTimeout(ctx)
	defer cancel()
	r, err := c.lease.Call(ctx, &leaseRequest{Op: "grant", TTL: ttl})
	if err != nil {
		return 0, fromConnect(err)
	}
	return r.ID, nil
}

// KeepAlive implements Store.
func (c *Client) KeepAlive(ctx context.Context, id LeaseID) error {
	ctx, cancel := c.withCallTimeout(ctx)
	defer cancel()
	_, err := c.lease.Call(ctx, &leaseRequest{Op: "keepalive", ID: id})
	return fromConnect(err)
}

// Revoke implements Store.
func (c *Client) Revoke(ctx context.Context, id LeaseID) error {
	ctx, cancel := c.withCallTimeout(ctx)
	defer cancel()
	_, err := c.lease.Call(ctx, &leaseRequest{Op: "revoke", ID: id})
	return fromConnect(err)
}

// SetFaults replaces the fault settings of the fake service and, if expire is not
// zero, expires that lease.
func (c *Client) SetFaults(ctx context.Context, f Faults, expire LeaseID) error {
	_, err := c.faults.Call(ctx, &faultsRequest{Faults: f, ExpireLease: expire})
	return err
}

// Counts returns the number of calls that the fake service has received.
func (c *Client) Counts(ctx context.Context) (Counts, error) {
	r, err := c.counts.Call(ctx, &keyRequest{})
	if err != nil {
		return Counts{}, err
	}
	return *r, nil
}

// SetInstance records an instance's state in the instance list.
func (c *Client) SetInstance(ctx context.Context, in Instance) error {
	ctx, cancel := c.withCallTimeout(ctx)
	defer cancel()
	_, err := c.instSet.Call(ctx, &in)
	return err
}

// Instances returns the visible rows of the instance list, which trails the
// recorded states by its lag.
func (c *Client) Instances(ctx context.Context) ([]Instance, error) {
	ctx, cancel := c.withCallTimeout(ctx)
	defer cancel()
	r, err := c.instList.Call(ctx, &keyRequest{})
	if err != nil {
		return nil, err
	}
	return r.Instances, nil
}

// SetInstanceLag sets the delay before later SetInstance calls become visible.
func (c *Client) SetInstanceLag(ctx context.Context, lag time.Duration) error {
	_, err := c.instLag.Call(ctx, &lagRequest{Lag: lag})
	return err
}
