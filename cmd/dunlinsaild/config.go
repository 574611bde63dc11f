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

// configHelp holds the help texts that are too long for a struct tag on one line.
var configHelp = kong.Vars{
	"config_versions_help": "Say what is known of versions from the control service: good, on trial, refused and why.",
	"config_try_help":      "Say what would become of a version at this instance, without a service.",
	"config_version_help":  "good, before, file, a version that is kept, or a file of resources.",
}

// configCmd groups the commands for configuration versions. The names of commands, flags and arguments are part of
// the command line that operators use; a struct tag sets the name where it differs from the Go name.
type configCmd struct {
	Versions versionsCmd `cmd:"" help:"${config_versions_help}"`
	Show     showCmd     `cmd:"" help:"Print what is in one."`
	Diff     diffCmd     `cmd:"" help:"Say in what two differ."`
	DryRun   dryRunCmd   `cmd:"" name:"try" help:"${config_try_help}"`
	Schema   schemaCmd   `cmd:"" help:"Print the JSON Schema of what a version may hold."`
}

// cachedVersions holds the configuration file of an instance and the configuration versions from the control plane
// that the instance has stored on disk.
type cachedVersions struct {
	file  *config.Config
	cache *configcache.Cache       // nil if the instance has not stored any version yet
	state *rollout.PersistentState // never nil
}

// loadVersions reads the configuration file and the stored versions. If the stored state can be read only in part,
// that part is used and the error is printed to standard error.
func (f *fileFlag) loadVersions() (*cachedVersions, error) {
	conf, err := f.read()
	if err != nil {
		return nil, err
	}
	versions := &cachedVersions{file: conf, state: &rollout.PersistentState{}}
	if conf.ControlPlane.StateDir == "" {
		return versions, nil
	}
	if _, err := os.Stat(conf.ControlPlane.StateDir); errors.Is(err, fs.ErrNotExist) {
		return versions, nil // the instance has never served
	}
	if versions.cache, err = configcache.Open(conf.ControlPlane.StateDir); err != nil {
		return nil, err
	}
	state, fileName, err := versions.cache.Load()
	if err != nil {
		fmt.Fprintf(os.Stderr, "dunlinsaild: %v\n", err)
	}
	if state != nil {
		versions.state = state
		if fileName != "state" {
			fmt.Fprintf(os.Stderr, "dunlinsaild: what follows is from %s\n", fileName)
		}
	}
	return versions, nil
}

// resourcesByName returns the resources of the version that name denotes: "good" (the last known good one),
// "before" (the good one before it), "file", a version ID as the versions command prints it, or the path of a JSON
// file of resources.
func (v *cachedVersions) resourcesByName(name string) ([]config.Resource, error) {
	switch name {
	case "good":
		return v.resourcesOfVersion(v.state.LastKnownGood)
	case "before":
		return v.resourcesOfVersion(v.state.PreviousGood)
	case "file":
		return config.Resources(v.file)
	}
	for _, version := range []*rollout.LayeredVersion{v.state.LastKnownGood, v.state.PreviousGood} {
		if version != nil && version.ControlPlane != nil && version.ControlPlane.ID.String() == name {
			return v.resourcesOfVersion(version)
		}
	}
	content, err := os.ReadFile(name)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, fmt.Errorf("%q is neither good, before, file, a version that is kept,"+
			" nor a file of resources", name)
	}
	if err != nil {
		return nil, err
	}
	return parseResources(content)
}

// resourcesOfVersion returns the resources of a version from the control plane, or those of the configuration file
// if version has no part from the control plane.
func (v *cachedVersions) resourcesOfVersion(version *rollout.LayeredVersion) ([]config.Resource, error) {
	if version == nil || version.ControlPlane == nil {
		return config.Resources(v.file)
	}
	content, err := v.cache.Content(version.ControlPlane.Digest)
	if err != nil {
		return nil, err
	}
	return parseResources(content)
}

// parseResources parses resources in JSON. An unknown field is an error.
func parseResources(content []byte) ([]config.Resource, error) {
	decoder := json.NewDecoder(bytes.NewReader(content))
	decoder.DisallowUnknownFields()
	var resources []config.Resource
	return resources, decoder.Decode(&resources)
}

// versionsCmd is the command that lists the stored configuration versions.
type versionsCmd struct{ fileFlag }

// Run prints one line for each stored version: its label, ID and digest, and the reason if the version was
// rejected.
func (c *versionsCmd) Run() error {
	versions, err := c.loadVersions()
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
	printVersion("good", versions.state.LastKnownGood)
	printVersion("before", versions.state.PreviousGood)
	if unconfirmed := versions.state.Unconfirmed; unconfirmed != nil {
		fmt.Fprintf(table, "on trial\t%v\t%.12s\tin process %d of those that tried it\n",
			unconfirmed.ID, unconfirmed.Digest, versions.state.ApplyAttempts)
	}
	for i := range versions.state.Rejected {
		rejected := &versions.state.Rejected[i]
		outcome := "refused"
		if rejected.RolledBack {
			outcome = "gone back from"
		}
		fmt.Fprintf(table, "%s\t%v\t%.12s\t%s\n", outcome, rejected.ID, rejected.Digest, rejected.Reason)
	}
	if len(versions.state.AbandonedEpochs) > 0 {
		fmt.Fprintf(table, "epochs left\t%s\n", strings.Join(versions.state.AbandonedEpochs, ", "))
	}
	if versions.state.LastKnownGood == nil {
		fmt.Fprintln(table, "no version is kept: the file alone is what runs")
	}
	return table.Flush()
}

// showCmd is the command that prints the contents of a configuration version.
type showCmd struct {
	fileFlag
	Version  string `arg:"" optional:"" default:"good" help:"${config_version_help}"`
	Combined bool   `name:"whole" help:"Print the whole configuration that it comes to over the file, as TOML."`
}

// Run prints the resources of a version as JSON, or, combined with the configuration file, as TOML.
func (c *showCmd) Run() error {
	versions, err := c.loadVersions()
	if err != nil {
		return err
	}
	resources, err := versions.resourcesByName(c.Version)
	if err != nil {
		return err
	}
	if c.Combined {
		combined, err := config.Combine(versions.file, resources)
		if err != nil {
			return err
		}
		_, err = os.Stdout.Write(combined.Text)
		return err
	}
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	return encoder.Encode(resources)
}

// diffCmd is the command that compares two configuration versions.
type diffCmd struct {
	fileFlag
	From string `arg:"" help:"${config_version_help}"`
	To   string `arg:"" help:"The same."`
}

// Run prints one line for each difference between two versions.
func (c *diffCmd) Run() error {
	versions, err := c.loadVersions()
	if err != nil {
		return err
	}
	from, err := versions.resourcesByName(c.From)
	if err != nil {
		return err
	}
	to, err := versions.resourcesByName(c.To)
	if err != nil {
		return err
	}
	for _, change := range config.Diff(from, to) {
		fmt.Println(change.String())
	}
	return nil
}

// dryRunCmd is the command that checks resources against an instance without applying them.
type dryRunCmd struct {
	fileFlag
	Resources string `arg:"" help:"A file of resources in JSON, as config show prints them." type:"existingfile"`
}

// Run prints whether the resources are valid for this instance, and whether they could be applied without starting
// a new generation.
func (c *dryRunCmd) Run() error {
	versions, err := c.loadVersions()
	if err != nil {
		return err
	}
	resources, err := versions.resourcesByName(c.Resources)
	if err != nil {
		return &fileError{c.Resources, err}
	}
	combined, err := config.Combine(versions.file, resources)
	if err != nil {
		return &fileError{c.Resources, err}
	}
	printSound(c.Resources, combined)
	if tables := versions.startupConfig().TablesNeedingRestart(combined); len(tables) > 0 {
		fmt.Printf("a new generation would take over, for %s: open requests end in the old one, connections go on\n",
			strings.Join(tables, ", "))
	} else {
		fmt.Println("it would be changed into while serving")
	}
	return nil
}

// startupConfig returns the configuration with which the instance starts: the configuration file combined with the
// last known good version, or the file alone if there is no such version or the two are not valid together.
func (v *cachedVersions) startupConfig() *config.Config {
	if v.state.LastKnownGood == nil || v.state.LastKnownGood.ControlPlane == nil {
		return v.file
	}
	resources, err := v.resourcesOfVersion(v.state.LastKnownGood)
	if err != nil {
		return v.file
	}
	combined, err := config.Combine(v.file, resources)
	if err != nil {
		return v.file
	}
	return combined
}

// schemaCmd is the command that prints the schema of configuration resources.
type schemaCmd struct{}

// Run prints the JSON Schema of the resources of a configuration version.
func (*schemaCmd) Run() error {
	schema, err := config.Schema()
	if err == nil {
		_, err = os.Stdout.Write(schema)
	}
	return err
}
