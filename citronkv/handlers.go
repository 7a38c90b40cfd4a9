package citronkv

import (
	"context"
	"net/http"

	"citrondeck.dev/citrondeck/citronwire"
	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
)

// toConnect wraps a store error in the connect error code that fromConnect maps
// back. Unknown errors become CodeUnavailable.
func toConnect(err error) error {
	switch {
	case err == nil:
		return nil
	case err == ErrNotFound:
		return connect.NewError(connect.CodeNotFound, err)
	case err == ErrConflict:
		return connect.NewError(connect.CodeAborted, err)
	case err == ErrLeaseExpired:
		return connect.NewError(connect.CodeFailedPrecondition, err)
	case err == ErrCompacted:
		return connect.NewError(connect.CodeOutOfRange, err)
	case err == ErrUnavailable:
		return connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewError(connect.CodeUnavailable, err)
}

// Mount registers the procedures of the fake service on mux.
func (s *Server) Mount(mux *http.ServeMux) {
	citronwire.Handle(mux, procGet, func(ctx context.Context, r *keyRequest) (*itemResponse, error) {
		it, err := s.Get(ctx, r.Key)
		return &itemResponse{Item: it}, toConnect(err)
	})
	citronwire.Handle(mux, procRange, func(ctx context.Context, r *keyRequest) (*itemsResponse, error) {
		items, rev, err := s.Range(ctx, r.Key)
		return &itemsResponse{Items: items, Revision: rev}, toConnect(err)
	})
	citronwire.Handle(mux, procPut, func(ctx context.Context, r *putRequest) (*itemResponse, error) {
		rev, err := s.Put(ctx, r.Key, r.Value, r.Expect, r.Lease)
		return &itemResponse{Item: Item{Key: r.Key, Revision: rev}}, toConnect(err)
	})
	citronwire.Handle(mux, procDelete, func(ctx context.Context, r *putRequest) (*itemResponse, error) {
		return &itemResponse{}, toConnect(s.Delete(ctx, r.Key, r.Expect))
	})
	citronwire.Handle(mux, procWatch, func(ctx context.Context, r *watchRequest) (*itemsResponse, error) {
		items, rev, err := s.watchFor(ctx, r.Prefix, r.After, r.Wait)
		return &itemsResponse{Items: items, Revision: rev}, toConnect(err)
	})
	citronwire.Handle(mux, procLease, func(ctx context.Context, r *leaseRequest) (*leaseRequest, error) {
		switch r.Op {
		case "grant":
			id, err := s.Grant(ctx, r.TTL)
			return &leaseRequest{ID: id}, toConnect(err)
		case "keepalive":
			return r, toConnect(s.KeepAlive(ctx, r.ID))
		case "revoke":
			return r, toConnect(s.Revoke(ctx, r.ID))
		}
		return nil, connect.NewError(connect.CodeInvalidArgument, errors.Newf("unknown lease operation %q", r.Op))
	})
	citronwire.Handle(mux, procFaults, func(_ context.Context, r *faultsRequest) (*faultsRequest, error) {
		s.SetFaults(r.Faults)
		if r.ExpireLease != 0 {
			s.ExpireLease(r.ExpireLease)
		}
		return r, nil
	})
	citronwire.Handle(mux, procCounts, func(context.Context, *keyRequest) (*Counts, error) {
		c := s.Counts()
		return &c, nil
	})
	s.instances.mount(mux)
}
