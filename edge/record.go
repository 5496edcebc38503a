package edge

import (
	"log/slog"

	vane "mustardvane.org/vane"
)

// recorder logs the events of components that have no logger of their own.
type recorder struct{ log *slog.Logger }

var _ vane.Recorder = recorder{}

// Record implements vane.Recorder.
func (r recorder) Record(e vane.Event) {
	args := []any{"subject", e.Subject, "have", e.Observed}
	if e.Workspace != "" {
		args = append(args, "workspace", e.Workspace)
	}
	if e.Reason != vane.ReasonNone {
		args = append(args, "reason", e.Reason.String(), "want", e.Threshold)
	}
	r.log.Info(e.Kind.String(), args...)
}
