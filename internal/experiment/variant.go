package experiment

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"os"
	"os/exec"
	"strconv"
	"strings"

	"dunlinsail/deploy"
	"dunlinsail/internal/config"
	"dunlinsail/internal/decide/fairqueue"
	"dunlinsail/internal/simulation"
	"dunlinsail/internal/simulation/measure"
	"dunlinsail/internal/simulation/scenario"
)

// Shipped is the name by which a variant selects the configuration file that is embedded in the program.
const Shipped = "shipped"

// Variant is a configuration of a simulated fleet: an edited daemon configuration file, and the build whose
// decisions are run.
type Variant struct {
	Spec          string // text that ParseVariant was given
	Program       string // dunlinsail-experiment binary of another build; "" is this one
	Settings      []byte // daemon configuration file, with edits applied
	ScenarioEdits []string
	DecisionSeed  uint64
	Harm          float64
}

// ParseVariant parses a variant: [@PROGRAM:]FILE[,KEY=VALUE]..., where FILE is a daemon configuration file or
// "shipped". KEY is a key of that file, or world.KEY for a key of the scenario, or lots (the decision seed), or
// harm (the fraction of operations deliberately counted as unserved, to test that a comparison detects it).
func ParseVariant(spec string) (*Variant, error) {
	v := &Variant{Spec: spec}
	rest := spec
	if program, ok := strings.CutPrefix(rest, "@"); ok {
		if v.Program, rest, ok = strings.Cut(program, ":"); !ok {
			return nil, fmt.Errorf("variant %q: @PROGRAM must be followed by :FILE", spec)
		}
		if _, err := os.Stat(v.Program); err != nil {
			return nil, fmt.Errorf("variant %q: %w", spec, err)
		}
	}
	parts := splitEdits(rest)
	var edits []string
	for _, edit := range parts[1:] {
		ownKey, err := v.setVariantKey(edit)
		if err != nil {
			return nil, fmt.Errorf("variant %q: %w", spec, err)
		}
		if !ownKey {
			edits = append(edits, edit)
		}
	}
	text := deploy.Daemon
	if parts[0] != Shipped && parts[0] != "" {
		var err error
		if text, err = os.ReadFile(parts[0]); err != nil {
			return nil, fmt.Errorf("variant %q: %w", spec, err)
		}
	}
	var err error
	if v.Settings, err = applyEdits(text, edits); err != nil {
		return nil, fmt.Errorf("variant %q: %w", spec, err)
	}
	if v.Program == "" { // another build may have other keys
		if _, err := config.Parse(v.Settings); err != nil {
			return nil, fmt.Errorf("variant %q: %w", spec, err)
		}
	}
	return v, nil
}

// setVariantKey applies an edit whose key belongs to the variant itself, not to the daemon's configuration file, and
// reports whether it does.
func (v *Variant) setVariantKey(edit string) (ownKey bool, err error) {
	key, value, _ := strings.Cut(edit, "=")
	switch {
	case strings.HasPrefix(key, "world."):
		v.ScenarioEdits = append(v.ScenarioEdits, strings.TrimPrefix(edit, "world."))
	case key == "lots":
		v.DecisionSeed, err = strconv.ParseUint(value, 10, 64)
	case key == "harm":
		v.Harm, err = strconv.ParseFloat(value, 64)
		if err == nil && !(v.Harm >= 0 && v.Harm <= 1) {
			err = errors.New("must be in 0..1")
		}
	default:
		return false, nil
	}
	if err != nil {
		return true, fmt.Errorf("%s: %w", key, err)
	}
	return true, nil
}

// splitEdits splits the text of a variant at its commas, except for commas within brackets, braces or quotes.
func splitEdits(spec string) []string {
	var parts []string
	depth := 0
	quoted := false
	start := 0
	for index, char := range spec {
		switch {
		case char == '"':
			quoted = !quoted
		case quoted:
		case char == '[' || char == '{':
			depth++
		case char == ']' || char == '}':
			depth--
		case char == ',' && depth == 0:
			parts = append(parts, spec[start:index])
			start = index + 1
		}
	}
	return append(parts, spec[start:])
}

// Job describes one run: everything that its result depends on, except for the build.
type Job struct {
	Scenario         string  `json:"scenario"` // full text of the scenario (TOML)
	Settings         string  `json:"settings"` // text of the daemon configuration file
	CriteriaSettings string  `json:"judge"`    // text of the file whose criteria evaluate the run
	Seed             uint64  `json:"seed"`
	DecisionSeed     uint64  `json:"lots,omitempty"`
	Harm             float64 `json:"harm,omitempty"`
}

// Job returns the job that runs the variant in scenario s. The run is evaluated with the criteria of criteriaFrom.
func (v *Variant) Job(s *scenario.Scenario, criteriaFrom *Variant, seed uint64) (Job, error) {
	if s.Replay != nil {
		replay := *s.Replay
		var err error
		if replay.Digest, err = digestFiles(replay.From); err != nil {
			return Job{}, err
		}
		s = s.Clone()
		s.Replay = &replay
	}
	text, err := s.Text()
	if err != nil {
		return Job{}, err
	}
	if text, err = applyEdits(text, v.ScenarioEdits); err != nil {
		return Job{}, fmt.Errorf("variant %q: %w", v.Spec, err)
	}
	return Job{
		Scenario:         string(text),
		Settings:         string(v.Settings),
		CriteriaSettings: string(criteriaFrom.Settings),
		Seed:             seed,
		DecisionSeed:     v.DecisionSeed,
		Harm:             v.Harm,
	}, nil
}

// Play makes the run with this build. modifiers change the options of the simulation before it starts.
func (j *Job) Play(ctx context.Context, modifiers ...func(*simulation.Options)) (*measure.Result, error) {
	s, err := scenario.Parse([]byte(j.Scenario), nil)
	if err != nil {
		return nil, fmt.Errorf("scenario: %w", err)
	}
	settings, err := config.Parse([]byte(j.Settings))
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	criteriaConfig, err := config.Parse([]byte(j.CriteriaSettings))
	if err != nil {
		return nil, fmt.Errorf("criteria settings: %w", err)
	}
	simulationSettings := modelSettings(settings)
	simulationSettings.DecisionSeed = j.DecisionSeed
	simulationSettings.KnownHarm = j.Harm
	options := simulation.Options{
		Plan:     s.Draw(j.Seed),
		Settings: simulationSettings,
		Criteria: criteria(criteriaConfig),
	}
	if s.Replay != nil {
		if options.Plan.Source, err = replayRecord(options.Plan); err != nil {
			return nil, err
		}
	}
	for _, modify := range modifiers {
		modify(&options)
	}
	return simulation.Run(ctx, options)
}

// modelSettings converts a daemon configuration to the settings of the simulation.
func modelSettings(c *config.Config) *simulation.Settings {
	s := &simulation.Settings{
		Site:              c.Site,
		Concurrency:       c.ConcurrencySettings(),
		MaxConnections:    c.Connections.MaxEndpoints,
		ClientConnections: c.ConnectionLimits(),
		ClientProcess:     fairqueue.ClientSpec{Weight: 1},
		Subset:            c.Fleet.SubsetSettings(),
		Overload:          c.Overload.Settings(c.Fleet.Instances),
		Coordination:      c.Coordination(0),
	}
	if len(c.Clients) > 0 {
		s.ClientProcess = c.Clients[0].ClientSpec(c.Clients[0].Name)
	}
	if len(c.Pools) > 0 {
		s.RetryBudget = c.Pools[0].RetryBudget
	}
	return s
}

// criteria returns the criteria of a daemon configuration, which the figures of a run are computed with.
func criteria(c *config.Config) measure.Criteria {
	s := &c.Site.Settings
	limits := map[string]float64{}
	for _, t := range c.Tenants {
		limits[t.Name] = t.RateLimit
	}
	return measure.Criteria{
		Classes:         s.Classes,
		Tenants:         s.Tenants,
		TenantLimits:    limits,
		OverQuotaWeight: s.OverQuotaWeight,
		Goal:            s.Goal,
		Prices:          s.Prices,
	}
}

// Reply is the reply of another build's program to a job.
type Reply struct {
	ModelVersion int             `json:"world"` // simulation.Version of the replying build
	Result       *measure.Result `json:"result,omitempty"`
	Error        string          `json:"error,omitempty"`
}

// HandleJob runs a JSON-encoded Job sent by another build, and returns the JSON-encoded Reply.
func HandleJob(ctx context.Context, text []byte) ([]byte, error) {
	reply := Reply{ModelVersion: simulation.Version}
	var job Job
	err := json.Unmarshal(text, &job)
	if err == nil {
		reply.Result, err = job.Play(ctx)
	}
	if err != nil {
		reply.Error = err.Error()
	}
	return json.Marshal(reply)
}

// runWithProgram runs the job in a process of program, which may be another build, and returns the result and the
// state of the process after its exit. env is added to the process environment.
func (j *Job) runWithProgram(
	ctx context.Context, program string, env ...string,
) (*measure.Result, *os.ProcessState, error) {
	text, err := json.Marshal(j)
	if err != nil {
		return nil, nil, err
	}
	cmd := exec.CommandContext(ctx, program, "play")
	cmd.Stdin = bytes.NewReader(text)
	cmd.Env = append(os.Environ(), env...)
	var stderr bytes.Buffer
	cmd.Stderr = &stderr
	stdout, err := cmd.Output()
	if err != nil {
		return nil, nil, fmt.Errorf("%s: %w: %s", program, err, strings.TrimSpace(stderr.String()))
	}
	var reply Reply
	if err := json.Unmarshal(stdout, &reply); err != nil {
		return nil, nil, fmt.Errorf("%s: its reply cannot be decoded: %w", program, err)
	}
	switch {
	case reply.Error != "":
		return nil, nil, fmt.Errorf("%s: %s", program, reply.Error)
	case reply.ModelVersion != simulation.Version:
		return nil, nil, fmt.Errorf(
			"%s has another version of the simulation model (%d, not %d): runs of both cannot be compared", program,
			reply.ModelVersion, simulation.Version,
		)
	case reply.Result == nil || math.IsNaN(reply.Result.Figures["service"]):
		return nil, nil, fmt.Errorf("%s: the result of its run has no figures", program)
	}
	return reply.Result, cmd.ProcessState, nil
}
