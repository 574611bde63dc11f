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

// FaultRun is the result of a scenario run with real processes, and the evaluation of the scenario's claims.
type FaultRun struct {
	Result      *measure.Result
	Claims      []claim.Evaluation
	Failed      bool
	EvidenceDir string // folder with the evidence of a failed run; "" if none was written
}

// RunWithFaults runs a scenario and its faults with real processes of a daemon program, and evaluates the
// scenario's claims on that run: a single run can refute a claim, but not prove it. The evidence of a failed run is
// written to a new folder below evidenceRoot, unless that is empty. Every second instance runs alternateProgram,
// unless that is empty.
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
		return nil, fmt.Errorf(
			"%s, seed %d: %w; last log lines:\n%s", s.Name, seed, err, log.lastLines(maxErrorLogLines),
		)
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

// writeEvidence writes the scenario, settings, log and result of a failed run to files in EvidenceDir.
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

// logBuffer collects the log output of several processes, up to maxLogBytes. Each process is read by its own
// goroutine, so that writes are concurrent.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// maxLogBytes is the size from which on a logBuffer drops further writes.
const maxLogBytes = 16 << 20

// Write appends to the log, or drops the text if the log has already reached maxLogBytes. It never fails.
func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.text.Len() < maxLogBytes {
		l.text.Write(p)
	}
	return len(p), nil
}

// maxErrorLogLines is the number of log lines that the error of a failed process run includes.
const maxErrorLogLines = 12

// lastLines returns the last count lines of the log.
func (l *logBuffer) lastLines(count int) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	lines := strings.Split(strings.TrimSpace(l.text.String()), "\n")
	return strings.Join(lines[max(0, len(lines)-count):], "\n")
}

// Summary returns one line with the figures that show the effect of faults.
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
