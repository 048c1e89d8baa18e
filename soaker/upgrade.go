package soaker

import (
	"context"
	"time"
)

// rollPause is the time between the replacements of two instances, in which both builds
// serve side by side.
const rollPause = 300 * time.Millisecond

// rollBuilds replaces the instances of the older build one after the other by those of the
// current one, rolls all of them back, and so on until the end.
func (s *soak) rollBuilds(ctx context.Context, end time.Time) {
	for {
		for _, program := range []string{s.config.Program, s.config.Older} {
			for _, p := range s.instances {
				if ctx.Err() != nil || !time.Now().Before(end) {
					return
				}
				s.replaceProgram(ctx, p, program)
				sleep(ctx, rollPause)
			}
		}
	}
}

// replaceProgram stops an instance as planned and starts it with another build. An instance
// that another fault has claimed keeps its build until the next round.
func (s *soak) replaceProgram(ctx context.Context, p *process, program string) {
	if !s.claimInstance(p) {
		return
	}
	defer s.releaseInstance(p)
	s.stopAsPlanned(p)
	p.setProgram(program)
	s.countFault("replaceBuild")
	s.restart(ctx, p, 0)
}

// countFault counts a fault of a kind.
func (s *soak) countFault(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faultCounts[name]++
}
