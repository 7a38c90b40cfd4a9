// Package citronquarantine identifies requests that come again, so that what
// became of them is known at every node and under every id.
package citronquarantine
