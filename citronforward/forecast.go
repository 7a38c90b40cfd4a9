package citronforward

import (
	"time"

	"citrondeck.dev/citrondeck/citronforecast"
	"citrondeck.dev/citrondeck/citronpath"
)

// forecastRequest returns the declared size of the request for the forecast.
func (j *job) forecastRequest() citronforecast.Request {
	return citronforecast.Request{Route: j.route.Name, PromptTokens: j.PromptTokens, OutputTokens: j.OutputTokens, OutputHint: j.OutputHint}
}

// firstEventForecast is the forecast of a run's first event from the time it is sent. It is
// zero for runs whose first event tells nothing about new requests.
type firstEventForecast struct {
	// declared is the estimate that the outcome corrects, expected the corrected one.
	declared, expected time.Duration
}

// forecastFirstEvent returns the forecast for the run that is about to be sent. Resumed
// streams have none: engines run them before others and process more than the prompt.
func (s *streamJob) forecastFirstEvent() firstEventForecast {
	if s.begun || s.ResumeAfter != "" {
		return firstEventForecast{}
	}
	r, now := s.forecastRequest(), s.f.Clock.Now()
	return firstEventForecast{
		declared: citronforecast.DeclaredFirstEvent(r, s.path, *s.service.Model, now),
		expected: s.f.Forecast.FirstEvent(r, s.path, *s.service.Model, now),
	}
}

// forecastAdmission returns the time from admission on a path to the first event that
// decisions about admission use.
func (s *streamJob) forecastAdmission(p citronpath.Path, now time.Time) time.Duration {
	if s.f.FirstEvent != nil {
		return s.f.FirstEvent(s.Request, p, *s.service.Model, now)
	}
	return s.f.Forecast.FirstEvent(s.forecastRequest(), p, *s.service.Model, now)
}

// observeFirstEvent compares the run's first event, which has arrived now, with its
// forecast. It ignores runs whose path has changed since they were sent.
func (s *streamJob) observeFirstEvent(now time.Time) {
	c := s.run.forecast
	if c.expected <= 0 || s.pathSince.After(s.run.sent) {
		return
	}
	took := now.Sub(s.run.sent)
	s.f.Forecast.ObserveFirstEvent(s.forecastRequest(), s.path[0].Engine.Zone, c.declared, took, now)
	s.f.Metrics.ForecastError.Observe(float64(took) / float64(c.expected))
}

// observeNoFirstEvent records a run that its caller left before the first event and after
// the time forecast for it. Otherwise the outcomes of a zone that is too slow for its
// callers would be missing.
func (s *streamJob) observeNoFirstEvent() {
	now := s.f.Clock.Now()
	if s.run.firstEvent.IsZero() && now.Sub(s.run.sent) > s.run.forecast.expected {
		s.observeFirstEvent(now)
	}
}

// observeOutput records the size of a completed stream. An event has one token.
func (s *streamJob) observeOutput() {
	if s.ResumeAfter == "" {
		s.f.Forecast.ObserveOutput(s.forecastRequest(), s.events, s.f.Clock.Now())
	}
}
