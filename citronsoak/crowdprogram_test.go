package citronsoak_test

import (
	"context"
	"net/http"
	"os/exec"
	"testing"

	"citrondeck.dev/citrondeck/citronengine"
	"citrondeck.dev/citrondeck/citronkv"
	"citrondeck.dev/citrondeck/citronplain"
	"github.com/cockroachdb/errors"
)

// The machine on which the programs of the older API run within their default limits.
const (
	programMemoryMB    = 256
	programDescriptors = 2048
)

// startProgram runs a command of the binary until the test ends, and returns its process ID.
func startProgram(t *testing.T, binary string, args ...string) int {
	cmd := exec.Command(binary, args...)
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	})
	return cmd.Process.Pid
}

// Guards against a program other than the node that runs out of memory or descriptors because of
// its clients.
func TestCrowdAtEachProgram(t *testing.T) {
	binary := build(t)
	ctx := context.Background()
	hc := &http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	store := freeAddr(t)
	storePID := startProgram(t, binary, "kv", "--listen", store)
	kv := citronkv.NewClient(hc, "http://"+store)
	put := func() error {
		_, err := kv.Put(ctx, "k", []byte("v"), citronkv.AnyRevision, 0)
		return err
	}
	answersEventually(t, "kv", put)
	if out, err := exec.Command(binary, "apply", "-f", "../examples/fabrication.yaml", "--kv", "http://"+store).CombinedOutput(); err != nil {
		t.Fatalf("apply: %v\n%s", err, out)
	}
	addrs := map[string]string{"kv": store, "entry": freeAddr(t), "engine": freeAddr(t), "plain": freeAddr(t)}
	start := func(program string, args ...string) int {
		return startProgram(t, binary, append([]string{program, "--name", program, "--listen", addrs[program], "--kv", "http://" + store}, args...)...)
	}
	for _, p := range []struct {
		name, path string
		pid        int
		ordinary   func() error
	}{
		{"entry", "/v1/services/nesting/requests", start("entry", "--zone", "karratha"), func() error { return getOK(addrs["entry"], "/v1/entries") }},
		{"engine", "/citron.engine.v1/Step", start("engine", "--layers", "0:4"), func() error {
			_, err := citronengine.NewClient(hc, "http://"+addrs["engine"]).Status(ctx)
			return err
		}},
		{"plain", "/citron.plain.v1/Call", start("plain"), func() error {
			result, err := citronplain.NewClient(hc, "http://"+addrs["plain"]).Do(ctx, citronplain.Call{Service: "s", Customer: "c", Request: "r", Body: "b"})
			if err == nil && result != citronplain.Result("s", "c", "b") {
				err = errors.Newf("result %q", result)
			}
			return err
		}},
		{"kv", "/citron.kv.v1/Put", storePID, put},
	} {
		t.Run(p.name, func(t *testing.T) {
			answersEventually(t, p.name, p.ordinary)
			used := watch(t, p.pid)
			c, addr := newCrowd(t, 8), addrs[p.name]
			c.join(15, addr, excessive(p.path))
			c.join(100, addr, largeBody(p.path))
			c.join(50, addr, largeChunks(p.path))
			c.join(10, addr, smallChunks(p.path))
			c.join(20, addr, bomb(p.path))
			c.join(300, addr, endlessHead(p.path))
			c.join(100, addr, deaf("/debug/vars"))
			c.join(1800, addr, silent)
			c.wait()
			answersEventually(t, p.name, p.ordinary)
			used.check(programMemoryMB, programDescriptors)
		})
	}
}
