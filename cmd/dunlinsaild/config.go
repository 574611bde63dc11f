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
	Try      tryCmd      `cmd:"" help:"Say what would become of a version at this instance, without a service."`
	Schema   schemaCmd   `cmd:"" help:"Print the JSON Schema of what a version may hold."`
}

// known are the versions that an instance keeps.
type known struct {
	file *config.Config
	dir  *configcache.Cache
	kept *rollout.PersistentState // never nil
}

func (f *fileFlag) known() (*known, error) {
	c, err := f.read()
	if err != nil {
		return nil, err
	}
	k := &known{file: c, kept: &rollout.PersistentState{}}
	if c.ControlPlane.StateDir == "" {
		return k, nil
	}
	if _, err := os.Stat(c.ControlPlane.StateDir); errors.Is(err, fs.ErrNotExist) {
		return k, nil // it has never served
	}
	if k.dir, err = configcache.Open(c.ControlPlane.StateDir); err != nil {
		return nil, err
	}
	got, from, err := k.dir.Load()
	if err != nil {
		fmt.Fprintf(os.Stderr, "dunlinsaild: %v\n", err)
	}
	if got != nil {
		k.kept = got
		if from != "state" {
			fmt.Fprintf(os.Stderr, "dunlinsaild: what follows is from %s\n", from)
		}
	}
	return k, nil
}

// resources returns those of a version that is meant by a word: "good", "before", "file", its number as it is listed, or a
// file of resources in JSON.
func (k *known) resources(word string) ([]config.Resource, error) {
	of := func(p *rollout.LayeredVersion) ([]config.Resource, error) {
		if p == nil || p.ControlPlane == nil {
			return config.Resources(k.file)
		}
		text, err := k.dir.Content(p.ControlPlane.Digest)
		if err != nil {
			return nil, err
		}
		return parse(text)
	}
	switch word {
	case "good":
		return of(k.kept.LastKnownGood)
	case "before":
		return of(k.kept.PreviousGood)
	case "file":
		return config.Resources(k.file)
	}
	for _, p := range []*rollout.LayeredVersion{k.kept.LastKnownGood, k.kept.PreviousGood} {
		if p != nil && p.ControlPlane != nil && p.ControlPlane.ID.String() == word {
			return of(p)
		}
	}
	text, err := os.ReadFile(word)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, fmt.Errorf("%q is neither good, before, file, a version that is kept, nor a file of resources", word)
	}
	if err != nil {
		return nil, err
	}
	return parse(text)
}

func parse(text []byte) ([]config.Resource, error) {
	d := json.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	var all []config.Resource
	return all, d.Decode(&all)
}

type versionsCmd struct{ fileFlag }

// Run tells what is known.
func (c *versionsCmd) Run() error {
	k, err := c.known()
	if err != nil {
		return err
	}
	t := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	pair := func(word string, p *rollout.LayeredVersion) {
		if p != nil {
			digest := p.File.Digest
			if p.ControlPlane != nil {
				digest = p.ControlPlane.Digest
			}
			fmt.Fprintf(t, "%s\t%v\t%.12s\n", word, p, digest)
		}
	}
	pair("good", k.kept.LastKnownGood)
	pair("before", k.kept.PreviousGood)
	if v := k.kept.Unconfirmed; v != nil {
		fmt.Fprintf(t, "on trial\t%v\t%.12s\tin process %d of those that tried it\n", v.ID, v.Digest, k.kept.ApplyAttempts)
	}
	for i := range k.kept.Rejected {
		r := &k.kept.Rejected[i]
		how := "refused"
		if r.RolledBack {
			how = "gone back from"
		}
		fmt.Fprintf(t, "%s\t%v\t%.12s\t%s\n", how, r.ID, r.Digest, r.Reason)
	}
	if len(k.kept.AbandonedEpochs) > 0 {
		fmt.Fprintf(t, "epochs left\t%s\n", strings.Join(k.kept.AbandonedEpochs, ", "))
	}
	if k.kept.LastKnownGood == nil {
		fmt.Fprintln(t, "no version is kept: the file alone is what runs")
	}
	return t.Flush()
}

type showCmd struct {
	fileFlag
	Version string `arg:"" optional:"" default:"good" help:"good, before, file, a version that is kept, or a file of resources."`
	Whole   bool   `help:"Print the whole configuration that it comes to over the file, as TOML."`
}

// Run prints one.
func (c *showCmd) Run() error {
	k, err := c.known()
	if err != nil {
		return err
	}
	all, err := k.resources(c.Version)
	if err != nil {
		return err
	}
	if c.Whole {
		made, err := config.Combine(k.file, all)
		if err != nil {
			return err
		}
		_, err = os.Stdout.Write(made.Text)
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
	k, err := c.known()
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

type tryCmd struct {
	fileFlag
	Resources string `arg:"" help:"A file of resources in JSON, as config show prints them." type:"existingfile"`
}

// Run says what would become of a version.
func (c *tryCmd) Run() error {
	k, err := c.known()
	if err != nil {
		return err
	}
	all, err := k.resources(c.Resources)
	if err != nil {
		return &mistakesIn{c.Resources, err}
	}
	made, err := config.Combine(k.file, all)
	if err != nil {
		return &mistakesIn{c.Resources, err}
	}
	now := k.file
	if good, err := k.resources("good"); err == nil && k.kept.LastKnownGood != nil && k.kept.LastKnownGood.ControlPlane != nil {
		if c, err := config.Combine(k.file, good); err == nil {
			now = c
		}
	}
	fmt.Printf("%s: sound\n", c.Resources)
	if tables := now.TablesNeedingRestart(made); len(tables) > 0 {
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
