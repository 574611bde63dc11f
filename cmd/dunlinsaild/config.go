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

	"github.com/alecthomas/kong"

	"dunlinsail/internal/config"
	"dunlinsail/internal/configcache"
	"dunlinsail/internal/decide/rollout"
)

// configHelp holds the help texts that are too long for a tag on one line.
var configHelp = kong.Vars{
	"config_versions_help": "Say what is known of versions from the control service: good, on trial, refused and why.",
	"config_try_help":      "Say what would become of a version at this instance, without a service.",
	"config_version_help":  "good, before, file, a version that is kept, or a file of resources.",
}

// configCmd has the commands for versions of the configuration. The names of commands, flags and arguments are
// operators', in tags where the Go name differs.
type configCmd struct {
	Versions versionsCmd `cmd:"" help:"${config_versions_help}"`
	Show     showCmd     `cmd:"" help:"Print what is in one."`
	Diff     diffCmd     `cmd:"" help:"Say in what two differ."`
	DryRun   dryRunCmd   `cmd:"" name:"try" help:"${config_try_help}"`
	Schema   schemaCmd   `cmd:"" help:"Print the JSON Schema of what a version may hold."`
}

// cachedVersions are the file of an instance and the versions of the control plane that it has on disk.
type cachedVersions struct {
	file  *config.Config
	cache *configcache.Cache       // nil if the instance has none yet
	state *rollout.PersistentState // never nil
}

// loadVersions reads the file and the versions on disk. A state that can be read in part only is used, and the error
// is printed to standard error.
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
		return k, nil // the instance has never served
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

// resources returns the resources of a version by its name: "good", "before", "file", its number as versions lists it,
// or the path of a file of resources in JSON.
func (k *cachedVersions) resources(name string) ([]config.Resource, error) {
	switch name {
	case "good":
		return k.layeredResources(k.state.LastKnownGood)
	case "before":
		return k.layeredResources(k.state.PreviousGood)
	case "file":
		return config.Resources(k.file)
	}
	for _, version := range []*rollout.LayeredVersion{k.state.LastKnownGood, k.state.PreviousGood} {
		if version != nil && version.ControlPlane != nil && version.ControlPlane.ID.String() == name {
			return k.layeredResources(version)
		}
	}
	text, err := os.ReadFile(name)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, fmt.Errorf("%q is neither good, before, file, a version that is kept,"+
			" nor a file of resources", name)
	}
	if err != nil {
		return nil, err
	}
	return parseResources(text)
}

// layeredResources returns the resources of the control plane's version, or of the file if there is none.
func (k *cachedVersions) layeredResources(version *rollout.LayeredVersion) ([]config.Resource, error) {
	if version == nil || version.ControlPlane == nil {
		return config.Resources(k.file)
	}
	text, err := k.cache.Content(version.ControlPlane.Digest)
	if err != nil {
		return nil, err
	}
	return parseResources(text)
}

// parseResources parses resources in JSON. An unknown field is an error.
func parseResources(text []byte) ([]config.Resource, error) {
	d := json.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	var resources []config.Resource
	return resources, d.Decode(&resources)
}

type versionsCmd struct{ fileFlag }

// Run prints the versions in the state on disk, a line each: label, version, digest and, of a rejected one, the reason.
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
		fmt.Fprintf(table, "on trial\t%v\t%.12s\tin process %d of those that tried it\n",
			v.ID, v.Digest, k.state.ApplyAttempts)
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
	Version  string `arg:"" optional:"" default:"good" help:"${config_version_help}"`
	Combined bool   `name:"whole" help:"Print the whole configuration that it comes to over the file, as TOML."`
}

// Run prints the resources of a version as JSON, or the combined configuration as TOML.
func (c *showCmd) Run() error {
	k, err := c.loadVersions()
	if err != nil {
		return err
	}
	resources, err := k.resources(c.Version)
	if err != nil {
		return err
	}
	if c.Combined {
		combined, err := config.Combine(k.file, resources)
		if err != nil {
			return err
		}
		_, err = os.Stdout.Write(combined.Text)
		return err
	}
	e := json.NewEncoder(os.Stdout)
	e.SetIndent("", "  ")
	return e.Encode(resources)
}

type diffCmd struct {
	fileFlag
	From string `arg:"" help:"${config_version_help}"`
	To   string `arg:"" help:"The same."`
}

// Run prints the differences between two versions, a line each.
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

// Run prints whether a version is valid at this instance, and whether it would be applied while serving.
func (c *dryRunCmd) Run() error {
	k, err := c.loadVersions()
	if err != nil {
		return err
	}
	resources, err := k.resources(c.Resources)
	if err != nil {
		return &fileError{c.Resources, err}
	}
	combined, err := config.Combine(k.file, resources)
	if err != nil {
		return &fileError{c.Resources, err}
	}
	fmt.Printf("%s: sound\n", c.Resources)
	if tables := k.running().TablesNeedingRestart(combined); len(tables) > 0 {
		fmt.Printf("a new generation would take over, for %s: open requests end in the old one, connections go on\n",
			strings.Join(tables, ", "))
	} else {
		fmt.Println("it would be changed into while serving")
	}
	return nil
}

// running returns the configuration that the instance starts with: the last known good version over the file, or the
// file alone if there is no such version that is valid with it.
func (k *cachedVersions) running() *config.Config {
	if k.state.LastKnownGood == nil || k.state.LastKnownGood.ControlPlane == nil {
		return k.file
	}
	resources, err := k.layeredResources(k.state.LastKnownGood)
	if err != nil {
		return k.file
	}
	combined, err := config.Combine(k.file, resources)
	if err != nil {
		return k.file
	}
	return combined
}

type schemaCmd struct{}

// Run prints the JSON Schema of a version's resources.
func (*schemaCmd) Run() error {
	text, err := config.Schema()
	if err == nil {
		_, err = os.Stdout.Write(text)
	}
	return err
}
