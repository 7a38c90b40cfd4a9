package main

import (
	"net/http"
	"time"
)

// A route with a longer prefix is added, and callers use paths with an encoded slash, which the
// prefix does not begin.

// prefixConfig is a configuration whose routes all go to the service "press", and those of the
// given prefixes to "floor".
func prefixConfig(version int64, floor ...string) config {
	c := floorConfig(version, floor...)
	c.Services = append(c.Services, service{Name: "press", HealthPath: "/health", MaxConns: 110, Protocol: "h1"})
	c.Routes = append(c.Routes[2:], route{Name: "all", Host: host, Prefix: "/", Kind: "safe", Service: "press", TimeoutMS: 4000, TargetLatencyMS: 500, MaxAttempts: 2, Priority: 2})
	return c
}

// prefix checks that no request runs at a service to which no configuration sends its path.
func prefix(l *lab) (bool, error) {
	if _, err := l.writeConfig(prefixConfig(7)); err != nil {
		return false, err
	}
	engines := map[string]*recordingEngine{}
	for _, service := range []string{"floor", "press"} {
		e, err := l.startRecordingEngine("i-"+service, service)
		if err != nil {
			return false, err
		}
		engines[service] = e
	}
	if err := l.startNodes("karratha-hall", "hedland-hall", "dampier-hall"); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	if l.trouble {
		if _, err := l.writeConfig(prefixConfig(8, "/lock/")); err != nil {
			return false, err
		}
	}
	time.Sleep(3 * time.Second)
	broken := false
	for i, c := range []struct {
		path string
		// floor tells whether a configuration that may be in force sends the path to "floor".
		floor bool
	}{
		{"/plates/7", false},
		{"/lock/7", l.trouble},
		{"/lock%2F7", false},
		{"/lock%2F7/9", false},
	} {
		id := newID()
		status, err := sendTarget(l.nodes[i%len(l.nodes)], id, http.MethodGet, c.path, "", "")
		l.note("%s: caller sends GET %s, gets status %d, error %v", id, c.path, status, err)
		for name, e := range engines {
			got, ran := e.run(id)
			if !ran {
				continue
			}
			l.note("%s: runs at service %s as %s", id, name, got.target)
			if name == "floor" && !c.floor {
				l.note("%s: ROUTE: no configuration sends the path %s to service %s", id, c.path, name)
				broken = true
			}
		}
	}
	return broken, nil
}
