package admission

import "time"

const (
	// thresholdWindow is the interval at which the threshold is updated. It falls
	// by at most one priority per window, so ten priorities take a second.
	thresholdWindow = 100 * time.Millisecond
	// starvedShare is the share of admitted jobs below which a priority counts as
	// not admitted. The threshold does not rise above a priority that is
	// partially admitted: peers would refuse all its jobs, and the capacity that
	// it uses would be lost.
	starvedShare = 0.05
)

// threshold estimates the lowest priority that is admitted.
type threshold struct {
	value            int
	windowStart      time.Duration
	started, refused [MaxPriority + 1]int
	// slotFree is set if a slot was free at any time in the window.
	slotFree bool
}

// closeWindow updates the threshold at the end of a window.
func (t *threshold) closeWindow(now time.Duration) {
	elapsed := int((now - t.windowStart) / thresholdWindow)
	if elapsed == 0 {
		return
	}
	starved := -1
	for p := MaxPriority; p >= 0 && starved < 0; p-- {
		if t.refused[p] > 0 && float64(t.started[p]) < starvedShare*float64(t.started[p]+t.refused[p]) {
			starved = p
		}
	}
	below := max(t.value-1, 0)
	switch {
	case starved >= t.value:
		t.value = min(starved+1, MaxPriority)
	case starved < below && (t.slotFree || t.started[below] > 0 && t.refused[below] == 0):
		t.value = max(t.value-elapsed, starved+1, 0)
	}
	t.started, t.refused, t.slotFree = [MaxPriority + 1]int{}, [MaxPriority + 1]int{}, false
	t.windowStart = now
}
