package experiment

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"

	"dunlinsail/internal/config"
	"dunlinsail/internal/experiment/claim"
	"dunlinsail/internal/experiment/processes"
	"dunlinsail/internal/simulation/measure"
	"dunlinsail/internal/simulation/scenario"
)

// FaultRun is a scenario that was played by real processes, and how its claims stand.
type FaultRun struct {
	Result      *measure.Result
	Claims      []claim.Evaluation
	Failed      bool
	EvidenceDir string // the folder with the evidence of a failed run; "" is none
}

// RunWithFaults plays a scenario by processes of a program, with its faults between them, and evaluates its claims by
// that run: one run can refute a claim, not prove it. The evidence of a failed run goes to a folder of its own below
// keep. Every other instance is a process of beside, unless that is empty.
func RunWithFaults(
	ctx context.Context, s *scenario.Scenario, v *Variant, program, alternateProgram string, seed uint64,
	evidenceRoot string,
) (*FaultRun, error) {
	parsed, err := config.Parse(v.Settings)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	var log logBuffer
	plan := s.Draw(seed)
	result, err := processes.Run(ctx, processes.Options{
		Plan:            plan,
		Settings:        v.Settings,
		Criteria:        criteria(parsed),
		Daemon:          program,
		AlternateDaemon: alternateProgram,
		Log:             &log,
	})
	if err != nil {
		return nil, fmt.Errorf("%s, seed %d: %w; logged last:\n%s", s.Name, seed, err, log.last(maxErrorLogLines))
	}
	f := &FaultRun{Result: result}
	for _, text := range s.Expect {
		parsedClaim, err := claim.Parse(text, nil)
		if err != nil {
			return nil, err
		}
		evaluation := parsedClaim.Evaluate([]map[string]float64{result.Figures}, Confidence)
		f.Claims = append(f.Claims, evaluation)
		f.Failed = f.Failed || evaluation.Verdict == claim.Fails
	}
	if f.Failed && evidenceRoot != "" {
		f.EvidenceDir = filepath.Join(evidenceRoot, fmt.Sprintf("%s-%s-%d", s.Name, filepath.Base(program), seed))
		err = f.writeEvidence(s, v, plan, &log)
	}
	return f, err
}

// writeEvidence writes the scenario, settings, log and result of a failed run.
func (f *FaultRun) writeEvidence(s *scenario.Scenario, v *Variant, plan *scenario.Plan, log *logBuffer) error {
	if err := os.MkdirAll(f.EvidenceDir, 0o755); err != nil {
		return err
	}
	scenarioText, err := s.Text()
	if err != nil {
		return err
	}
	resultJSON, err := json.MarshalIndent(struct {
		Happenings []scenario.PlannedEvent `json:"Happenings"`
		Result     *measure.Result         `json:"Result"`
	}{plan.PlannedEvents, f.Result}, "", "\t")
	if err != nil {
		return err
	}
	for name, text := range map[string][]byte{
		"scenario.toml": scenarioText,
		"settings.toml": v.Settings,
		"result.json":   resultJSON,
		"log":           log.text.Bytes(),
	} {
		if err := os.WriteFile(filepath.Join(f.EvidenceDir, name), text, 0o644); err != nil {
			return err
		}
	}
	return nil
}

// lines keeps what processes log, up to a bound: each write of a process is one of its own, from a goroutine of its
// own.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

const maxLogBytes = 16 << 20

// Write appends to the log; what exceeds the bound is dropped.
func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.text.Len() < maxLogBytes {
		l.text.Write(p)
	}
	return len(p), nil
}

// maxErrorLogLines is how many lines of the log an error includes.
const maxErrorLogLines = 12

// last returns the last n lines.
func (l *logBuffer) last(n int) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	lines := strings.Split(strings.TrimSpace(l.text.String()), "\n")
	return strings.Join(lines[max(0, len(lines)-n):], "\n")
}

// Summary returns the figures that matter under faults, in one line.
func (f *FaultRun) Summary() string {
	var parts []string
	for _, name := range []string{
		"whole", "of_could", "out_of_order", "further_peak", "probes_first", "probes_peak", "back", "breaks",
		"over_budget", "beyond_limit", "budget_use", "work_sent", "work_left", "work_took",
	} {
		parts = append(parts, fmt.Sprintf("%s %.3g", name, f.Result.Figures[name]))
	}
	if c := &f.Result.Costs; f.Result.Figures["breaks"] > 0 {
		parts = append(parts, fmt.Sprintf(
			"(%d endpoints fell, %d sent to a drained one, %d took effect twice, %d not answered in time)",
			c.Collapses, c.AttemptsAfterDrain, c.DuplicateEffects, c.LateResponses))
	}
	return strings.Join(parts, "  ")
}
