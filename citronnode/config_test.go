package citronnode

import (
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"citrondeck.dev/citrondeck/citrontable"
	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

// Guards against a new configuration that takes effect late. Each version arrives from
// several senders at once and takes a while to decode. No version may be decoded twice,
// and a late reader of the inbox must find the newest version instead of a queue of old
// ones.
func TestConcurrentVersionsAreDecodedOnce(t *testing.T) {
	is := is.New(t)
	const versions, senders = 30, 8
	var decoded atomic.Int64
	b := newConfigInbox(func(text []byte) (*citrontable.Table, error) {
		decoded.Add(1)
		time.Sleep(time.Millisecond)
		v, err := strconv.ParseInt(string(text), 10, 64)
		return citrontable.New(v, nil, nil, nil, citrontable.Limits{}), err
	})
	var all sync.WaitGroup
	for range senders {
		all.Go(func() {
			for v := int64(1); v <= versions; v++ {
				if err := b.offer(v, []byte(strconv.FormatInt(v, 10)), sourceNode); err != nil {
					t.Error(err)
				}
			}
		})
	}
	all.Wait()
	is.Equal(b.newest.Load().table.Version, int64(versions))
	is.True(decoded.Load() <= versions)
	<-b.ready
	select {
	case <-b.ready:
		t.Fatal("unexpected second wake-up: the newest version was already announced")
	default:
	}
}

// Guards against a version that cannot be decoded and hides later ones. It must be
// reported, and the next version must be accepted although its number is lower. An older
// version than the accepted one is ignored.
func TestInvalidVersionDoesNotBlockTheNext(t *testing.T) {
	is := is.New(t)
	b := newConfigInbox(func(text []byte) (*citrontable.Table, error) {
		if len(text) == 0 {
			return nil, errors.New("unreadable")
		}
		return citrontable.New(int64(text[0]), nil, nil, nil, citrontable.Limits{}), nil
	})
	is.True(b.offer(9, nil, sourceNode) != nil)
	is.NoErr(b.offer(0, []byte{5}, sourceStore))
	is.NoErr(b.offer(0, []byte{4}, sourceStore)) // older
	is.Equal(b.newest.Load().table.Version, int64(5))
}
