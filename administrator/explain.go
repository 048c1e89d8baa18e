package administrator

import (
	"net/http"
	"net/netip"
	"slices"
	"time"

	"github.com/uptrace/bunrouter"

	"github.com/pollencrank/pollencrank"
	"github.com/pollencrank/pollencrank/planner"
)

// earliestStart returns the earliest start at which a refused drain would be
// accepted, or nil if the drain was refused for another reason than its start.
func earliestStart(drain *planner.DrainError) *time.Time {
	if drain.EarliestStart.IsZero() {
		return nil
	}
	return &drain.EarliestStart
}

// configurationInForce returns the configuration in force at this instance,
// without client blocks.
func (h *handler) configurationInForce() (*pollencrank.Configuration, error) {
	state := h.config.Fleet.State()
	if state == nil {
		return nil, &NotFoundError{Kind: "configuration", Name: "in force"}
	}
	return state.Decode()
}

// plan responds with the plan in force.
func (h *handler) plan(w http.ResponseWriter, _ bunrouter.Request) error {
	c, err := h.configurationInForce()
	if err != nil {
		return writeProblem(w, err)
	}
	if c.Plan == nil {
		return writeProblem(w, &NotFoundError{Kind: "plan", Name: "in force"})
	}
	return writeJSON(w, http.StatusOK, c.Plan)
}

// preview responds with the shifts that a change would cause, without making the
// change.
func (h *handler) preview(w http.ResponseWriter, r bunrouter.Request) error {
	request, ok := decode[PreviewRequest](w, r)
	if !ok {
		return nil
	}
	c, err := h.configurationInForce()
	if err != nil {
		return writeProblem(w, err)
	}
	if err := h.applyPreview(c, request); err != nil {
		return writeProblem(w, err)
	}
	return writeJSON(w, http.StatusOK, planner.NewPreview(planner.Input{
		Now:           time.Now().UTC(),
		Configuration: c,
		Summaries:     h.config.Fleet.Summaries(r.Context()),
		Previous:      c.Plan,
	}))
}

// applyPreview makes the change of a preview request in c.
func (h *handler) applyPreview(c *pollencrank.Configuration, request PreviewRequest) error {
	switch {
	case request.Configuration != nil:
		plan := c.Plan
		*c = *request.Configuration
		c.Plan = plan
	case request.Preset != "":
		if !slices.ContainsFunc(c.Presets, func(p pollencrank.Preset) bool { return p.Name == request.Preset }) {
			return &NotFoundError{Kind: "preset", Name: request.Preset}
		}
		c.PresetInForce = request.Preset
	case request.Drain != nil:
		if err := h.checkTarget(c, request.Drain.Target()); err != nil {
			return err
		}
		c.Drains = append(withoutDrain(c.Drains, request.Drain.Target()), *request.Drain)
	}
	return nil
}

// explain responds with the reasons why a caller is steered to its region and
// entries.
func (h *handler) explain(w http.ResponseWriter, r bunrouter.Request) error {
	query := r.URL.Query()
	caller, err := netip.ParseAddr(query.Get("caller"))
	if err != nil {
		return writeJSON(w, http.StatusBadRequest, Problem{Kind: ProblemMalformed, Message: "caller is not an IP address"})
	}
	explanation, err := h.config.Fleet.Explain(caller, query.Get("workload"), time.Now())
	if err != nil {
		return writeProblem(w, err)
	}
	return writeJSON(w, http.StatusOK, explanation)
}

// refusals responds with the latest refusals of this instance.
func (h *handler) refusals(w http.ResponseWriter, _ bunrouter.Request) error {
	return writeJSON(w, http.StatusOK, h.config.Fleet.Refusals())
}
