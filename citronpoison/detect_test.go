package citronpoison_test

import (
	"testing"
	"time"

	"citrondeck.dev/citrondeck/citronpoison"
	"github.com/matryer/is"
)

// Guards against a part that is blamed for a request which crashes engines by itself: sound requests
// with the part would be refused, and the crashes would no longer count against the request.
func TestRequestThatCrashesEnginesBlamesNoPart(t *testing.T) {
	is := is.New(t)
	const guilty, session, sharedPart = 1, citronpoison.Part(10), citronpoison.Part(20)
	begin := time.Unix(1000, 0)
	var crashes []citronpoison.Crash
	for i := range 5 {
		n := uint64(i)
		crashes = append(crashes, citronpoison.Crash{Engine: n, At: begin.Add(time.Duration(i) * time.Second), Runs: []citronpoison.Run{
			{Request: guilty, Customer: 1, Parts: []citronpoison.Part{session}},
			{Request: 100 + n, Customer: 1, Parts: []citronpoison.Part{session, sharedPart}},
			{Request: 200 + n, Customer: 2, Parts: []citronpoison.Part{sharedPart}},
		}})
	}
	for n := range crashes {
		found, _ := citronpoison.Evidence{Crashes: crashes[:n+1]}.Detect(begin.Add(time.Minute))
		is.Equal(len(found), 0)
	}
	// A part that is in one crash more explains more than the request does.
	other := citronpoison.Crash{Engine: 6, At: begin.Add(10 * time.Second), Runs: []citronpoison.Run{{Request: 300, Customer: 3, Parts: []citronpoison.Part{sharedPart}}}}
	found, _ := citronpoison.Evidence{Crashes: append(crashes, other)}.Detect(begin.Add(time.Minute))
	is.Equal(len(found), 1)
	is.Equal(found[0].Part, sharedPart)
	is.Equal(found[0].Crashes, 6)
}
