package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"strings"
	"text/tabwriter"

	"dunlinsail/internal/config"
	"dunlinsail/internal/configcache"
	"dunlinsail/internal/decide/rollout"
)

type configCmd struct {
	Versions versionsCmd `cmd:"" help:"Say what is known of versions from the control service: good, on trial, refused and why."`
	Show     showCmd     `cmd:"" help:"Print what is in one."`
	Diff     diffCmd     `cmd:"" help:"Say in what two differ."`
	DryRun   dryRunCmd   `cmd:"" name:"try" help:"Say what would become of a version at this instance, without a service."`
	Schema   schemaCmd   `cmd:"" help:"Print the JSON Schema of what a version may hold."`
}

// cachedVersions are the file of an instance and the versions of the control plane that it has on disk.
type cachedVersions struct {
	file  *config.Config
	cache *configcache.Cache
	state *rollout.PersistentState // never nil
}

func (f *fileFlag) loadVersions() (*cachedVersions, error) {
	c, err := f.read()
	if err != nil {
		return nil, err
	}
	k := &cachedVersions{file: c, state: &rollout.PersistentState{}}
	if c.ControlPlane.StateDir == "" {
		return k, nil
	}
	if _, err := os.Stat(c.ControlPlane.StateDir); errors.Is(err, fs.ErrNotExist) {
		return k, nil // it has never served
	}
	if k.cache, err = configcache.Open(c.ControlPlane.StateDir); err != nil {
		return nil, err
	}
	state, fileName, err := k.cache.Load()
	if err != nil {
		fmt.Fprintf(os.Stderr, "dunlinsaild: %v\n", err)
	}
	if state != nil {
		k.state = state
		if fileName != "state" {
			fmt.Fprintf(os.Stderr, "dunlinsaild: what follows is from %s\n", fileName)
		}
	}
	return k, nil
}

// resources returns those of a version that is meant by a word: "good", "before", "file", its number as it is listed, or a
// file of resources in JSON.
func (k *cachedVersions) resources(name string) ([]config.Resource, error) {
	layered := func(p *rollout.LayeredVersion) ([]config.Resource, error) {
		if p == nil || p.ControlPlane == nil {
			return config.Resources(k.file)
		}
		text, err := k.cache.Content(p.ControlPlane.Digest)
		if err != nil {
			return nil, err
		}
		return parseResources(text)
	}
	switch name {
	case "good":
		return layered(k.state.LastKnownGood)
	case "before":
		return layered(k.state.PreviousGood)
	case "file":
		return config.Resources(k.file)
	}
	for _, p := range []*rollout.LayeredVersion{k.state.LastKnownGood, k.state.PreviousGood} {
		if p != nil && p.ControlPlane != nil && p.ControlPlane.ID.String() == name {
			return layered(p)
		}
	}
	text, err := os.ReadFile(name)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, fmt.Errorf("%q is neither good, before, file, a version that is kept, nor a file of resources", name)
	}
	if err != nil {
		return nil, err
	}
	return parseResources(text)
}

func parseResources(text []byte) ([]config.Resource, error) {
	d := json.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	var all []config.Resource
	return all, d.Decode(&all)
}

type versionsCmd struct{ fileFlag }

// Run tells what is known.
func (c *versionsCmd) Run() error {
	k, err := c.loadVersions()
	if err != nil {
		return err
	}
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	printVersion := func(label string, version *rollout.LayeredVersion) {
		if version != nil {
			digest := version.File.Digest
			if version.ControlPlane != nil {
				digest = version.ControlPlane.Digest
			}
			fmt.Fprintf(table, "%s\t%v\t%.12s\n", label, version, digest)
		}
	}
	printVersion("good", k.state.LastKnownGood)
	printVersion("before", k.state.PreviousGood)
	if v := k.state.Unconfirmed; v != nil {
		fmt.Fprintf(table, "on trial\t%v\t%.12s\tin process %d of those that tried it\n", v.ID, v.Digest, k.state.ApplyAttempts)
	}
	for i := range k.state.Rejected {
		r := &k.state.Rejected[i]
		outcome := "refused"
		if r.RolledBack {
			outcome = "gone back from"
		}
		fmt.Fprintf(table, "%s\t%v\t%.12s\t%s\n", outcome, r.ID, r.Digest, r.Reason)
	}
	if len(k.state.AbandonedEpochs) > 0 {
		fmt.Fprintf(table, "epochs left\t%s\n", strings.Join(k.state.AbandonedEpochs, ", "))
	}
	if k.state.LastKnownGood == nil {
		fmt.Fprintln(table, "no version is kept: the file alone is what runs")
	}
	return table.Flush()
}

type showCmd struct {
	fileFlag
	Version  string `arg:"" optional:"" default:"good" help:"good, before, file, a version that is kept, or a file of resources."`
	Combined bool   `name:"whole" help:"Print the whole configuration that it comes to over the file, as TOML."`
}

// Run prints one.
func (c *showCmd) Run() error {
	k, err := c.loadVersions()
	if err != nil {
		return err
	}
	all, err := k.resources(c.Version)
	if err != nil {
		return err
	}
	if c.Combined {
		combined, err := config.Combine(k.file, all)
		if err != nil {
			return err
		}
		_, err = os.Stdout.Write(combined.Text)
		return err
	}
	e := json.NewEncoder(os.Stdout)
	e.SetIndent("", "  ")
	return e.Encode(all)
}

type diffCmd struct {
	fileFlag
	From string `arg:"" help:"good, before, file, a version that is kept, or a file of resources."`
	To   string `arg:"" help:"The same."`
}

// Run compares two.
func (c *diffCmd) Run() error {
	k, err := c.loadVersions()
	if err != nil {
		return err
	}
	from, err := k.resources(c.From)
	if err != nil {
		return err
	}
	to, err := k.resources(c.To)
	if err != nil {
		return err
	}
	for _, change := range config.Diff(from, to) {
		fmt.Println(change.String())
	}
	return nil
}

type dryRunCmd struct {
	fileFlag
	Resources string `arg:"" help:"A file of resources in JSON, as config show prints them." type:"existingfile"`
}

// Run says what would become of a version.
func (c *dryRunCmd) Run() error {
	k, err := c.loadVersions()
	if err != nil {
		return err
	}
	all, err := k.resources(c.Resources)
	if err != nil {
		return &fileError{c.Resources, err}
	}
	combined, err := config.Combine(k.file, all)
	if err != nil {
		return &fileError{c.Resources, err}
	}
	running := k.file
	if good, err := k.resources("good"); err == nil && k.state.LastKnownGood != nil && k.state.LastKnownGood.ControlPlane != nil {
		if c, err := config.Combine(k.file, good); err == nil {
			running = c
		}
	}
	fmt.Printf("%s: sound\n", c.Resources)
	if tables := running.TablesNeedingRestart(combined); len(tables) > 0 {
		fmt.Printf("a new generation would take over, for %s: open requests end in the old one, connections go on\n", strings.Join(tables, ", "))
	} else {
		fmt.Println("it would be changed into while serving")
	}
	return nil
}

type schemaCmd struct{}

// Run prints the schema.
func (*schemaCmd) Run() error {
	text, err := config.Schema()
	if err == nil {
		_, err = os.Stdout.Write(text)
	}
	return err
}
