package admission

import "time"

// pacerBurst is the time whose jobs may start at once after a pause. Over a
// window of several seconds it adds little to the rate.
const pacerBurst = 250 * time.Millisecond

// pacer bounds the rate at which jobs start. It is a token bucket; each start
// takes a token. The zero value sets no bound.
type pacer struct {
	// rate is the number of jobs per second; 0 means no bound.
	rate    float64
	tokens  float64
	updated time.Duration
}

// setRate changes the rate. A bucket that begins to bound the rate is empty.
func (p *pacer) setRate(now time.Duration, rate float64) {
	if p.rate == 0 {
		p.tokens, p.updated = 0, now
	}
	p.advance(now)
	p.rate = rate
	p.tokens = min(p.tokens, p.capacity())
}

func (p *pacer) capacity() float64 { return max(p.rate*pacerBurst.Seconds(), 1) }

// advance adds the tokens of the time up to now.
func (p *pacer) advance(now time.Duration) {
	if now > p.updated {
		p.tokens = min(p.tokens+(now-p.updated).Seconds()*p.rate, p.capacity())
		p.updated = now
	}
}

// ready reports whether a job may start.
func (p *pacer) ready() bool { return p.rate == 0 || p.tokens >= 1 }

// take consumes the token of a job that starts.
func (p *pacer) take() {
	if p.rate > 0 {
		p.tokens--
	}
}

// readyAt returns the time from which the next job may start.
func (p *pacer) readyAt() time.Duration {
	if p.ready() {
		return p.updated
	}
	// The extra nanosecond makes up for rounding.
	return p.updated + time.Duration((1-p.tokens)/p.rate*float64(time.Second)) + 1
}

// expectedWait returns the time in seconds until a job with a number of others
// ahead of it may start.
func (p *pacer) expectedWait(ahead int) float64 {
	if p.rate == 0 {
		return 0
	}
	return max(0, (float64(ahead)+1-p.tokens)/p.rate)
}
