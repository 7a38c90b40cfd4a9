package citronpart

import (
	"time"

	"citrondeck.dev/citrondeck/citronpeer"
	"citrondeck.dev/citrondeck/citronpoison"
)

// EncodeCrashes returns crashes as they are sent to other nodes.
func EncodeCrashes(crashes []citronpoison.Crash, now time.Time) []citronpeer.Crash {
	out := make([]citronpeer.Crash, len(crashes))
	for i, c := range crashes {
		out[i] = citronpeer.Crash{Engine: c.Engine, AgeMS: max(0, now.Sub(c.At).Milliseconds()), Proven: numbers(c.Proven)}
		for _, r := range c.Runs {
			out[i].Runs = append(out[i].Runs, citronpeer.Run{Request: r.Request, Customer: r.Customer, Parts: numbers(r.Parts)})
		}
	}
	return out
}

// DecodeCrashes is the inverse of EncodeCrashes.
func DecodeCrashes(crashes []citronpeer.Crash, now time.Time) []citronpoison.Crash {
	out := make([]citronpoison.Crash, len(crashes))
	for i, c := range crashes {
		out[i] = citronpoison.Crash{Engine: c.Engine, At: before(now, c.AgeMS), Proven: parts(c.Proven)}
		for _, r := range c.Runs {
			out[i].Runs = append(out[i].Runs, citronpoison.Run{Request: r.Request, Customer: r.Customer, Parts: parts(r.Parts)})
		}
	}
	return out
}

func numbers(parts []citronpoison.Part) []uint64 {
	out := make([]uint64, len(parts))
	for i, p := range parts {
		out[i] = uint64(p)
	}
	return out
}

func parts(numbers []uint64) []citronpoison.Part {
	out := make([]citronpoison.Part, len(numbers))
	for i, p := range numbers {
		out[i] = citronpoison.Part(p)
	}
	return out
}

// EncodeAll returns records as they are sent to other nodes.
func EncodeAll(records []Record, now time.Time) []citronpeer.PartRecord {
	var out []citronpeer.PartRecord
	for _, r := range records {
		out = append(out, r.Encode(now))
	}
	return out
}

// Encode returns the record as it is sent to other nodes and saved.
func (r Record) Encode(now time.Time) citronpeer.PartRecord {
	return citronpeer.PartRecord{
		Part: uint64(r.Part), State: int(r.State), Generation: r.Generation, SinceMS: max(0, now.Sub(r.Since).Milliseconds()),
		CrashMS: age(r.LastCrash, now), RanMS: age(r.RanAt, now), TriedMS: age(r.TriedAt, now),
		Customer: r.Customer, Proven: r.Proven, Crashes: r.Crashes, Engines: r.Engines, Tied: r.Tied, Trials: r.Trials,
	}
}

// Decode is the inverse of Encode.
func Decode(p citronpeer.PartRecord, now time.Time) Record {
	return Record{
		Part: citronpoison.Part(p.Part), State: State(p.State), Generation: p.Generation, Since: before(now, p.SinceMS),
		LastCrash: timeOf(p.CrashMS, now), RanAt: timeOf(p.RanMS, now), TriedAt: timeOf(p.TriedMS, now),
		Customer: p.Customer, Proven: p.Proven, Crashes: p.Crashes, Engines: p.Engines, Tied: p.Tied, Trials: p.Trials,
	}
}

// before returns the time that is ms milliseconds before now.
func before(now time.Time, ms int64) time.Time {
	return now.Add(-time.Duration(ms) * time.Millisecond)
}

// age returns the age of t in milliseconds, or nil if t is zero.
func age(t, now time.Time) *int64 {
	if t.IsZero() {
		return nil
	}
	ms := max(0, now.Sub(t).Milliseconds())
	return &ms
}

// timeOf is the inverse of age.
func timeOf(ms *int64, now time.Time) time.Time {
	if ms == nil {
		return time.Time{}
	}
	return before(now, *ms)
}
