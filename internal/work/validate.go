package work

import (
	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/errkind"
)

// Limits of a submitted work.
const (
	idLength        = 16 // hexadecimal digits
	maxPayloadBytes = 4000
	maxSteps        = 64
	maxTasks        = 4096 // of one work, over all steps
	maxOccurrences  = 10000
	maxFieldValue   = 1 << 40 // of a numeric field of a step, in the unit of the field
)

// Validate checks a submitted work. An error names the invalid field and the reason.
func Validate(w *api.WorkSpec) error {
	if err := ValidateID(w.Id); err != nil {
		return err
	}
	if len(w.Payload) > maxPayloadBytes {
		return errkind.New(errkind.InvalidArgument, "payload", "the payload has %d bytes, allowed are %d", len(w.Payload), maxPayloadBytes)
	}
	if len(w.Steps) == 0 || len(w.Steps) > maxSteps {
		return errkind.New(errkind.InvalidArgument, "steps", "the work has %d steps, allowed are 1 to %d", len(w.Steps), maxSteps)
	}
	if w.RepeatCount < 0 || w.RepeatCount > maxOccurrences {
		return errkind.New(errkind.InvalidArgument, "repeat_count", "the repeat count is %d, allowed are 0 to %d", w.RepeatCount, maxOccurrences)
	}
	if w.RepeatCount > 1 && w.IntervalMs < 0 {
		return errkind.New(errkind.InvalidArgument, "interval_ms", "the interval of %d ms is negative", w.IntervalMs)
	}
	tasks := 0
	for i := range w.Steps {
		if err := validateStep(&w.Steps[i], i); err != nil {
			return err
		}
		tasks += w.Steps[i].Count
	}
	if tasks > maxTasks {
		return errkind.New(errkind.InvalidArgument, "steps", "the work has %d tasks over all steps, allowed are %d", tasks, maxTasks)
	}
	return nil
}

// ValidateID checks that the ID of a work has 16 hexadecimal digits.
func ValidateID(id string) error {
	if len(id) != idLength {
		return errkind.New(errkind.InvalidArgument, "id", "the ID has %d characters, must be %d hexadecimal digits", len(id), idLength)
	}
	for _, r := range id {
		if !(r >= '0' && r <= '9' || r >= 'a' && r <= 'f' || r >= 'A' && r <= 'F') {
			return errkind.New(errkind.InvalidArgument, "id", "the character %q of the ID is not a hexadecimal digit", r)
		}
	}
	return nil
}

func validateStep(s *api.StepSpec, index int) error {
	if s.Count < 1 || s.Count > maxTasks {
		return errkind.New(errkind.InvalidArgument, "count", "step %d has %d tasks, allowed are 1 to %d", index, s.Count, maxTasks)
	}
	for _, v := range []struct {
		field string
		value int
	}{
		{"cpu_millis", s.Size.CpuMillis}, {"memory_mb", s.Size.MemoryMb}, {"accelerators", s.Size.Accelerators},
		{"estimate_ms", s.EstimateMs}, {"max_per_worker", s.MaxPerWorker},
		{"target_latency_ms", s.TargetLatencyMs}, {"disruption_budget", s.DisruptionBudget},
	} {
		if v.value < 0 || v.value > maxFieldValue {
			return errkind.New(errkind.InvalidArgument, v.field, "step %d: value %d is out of range", index, v.value)
		}
	}
	for _, a := range s.After {
		if a < 0 || a >= index {
			return errkind.New(errkind.InvalidArgument, "after", "step %d waits for step %d, which is not an earlier step", index, a)
		}
	}
	return nil
}
