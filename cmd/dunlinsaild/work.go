package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"dunlinsail/internal/admin"
	"dunlinsail/internal/config"
	"dunlinsail/internal/consensus"
	"dunlinsail/internal/decide/maintenance"
)

// atFlag is where a daemon's operators call.
type atFlag struct {
	Config string `help:"The daemon's file; it is asked at operators.address." placeholder:"FILE" xor:"where" required:""`
	At     string `help:"Or where it is asked." placeholder:"HOST:PORT" xor:"where" required:""`
}

func (f *atFlag) address() (string, error) {
	if f.Config == "" {
		return f.At, nil
	}
	conf, err := config.Read(f.Config)
	if err != nil {
		return "", &mistakesIn{f.Config, err}
	}
	if conf.Operators.Address == "" {
		return "", errors.New("operators.address is not set in that file: nobody can be asked")
	}
	return conf.Operators.Address, nil
}

// askFor bounds a call to a daemon.
const askFor = 3 * time.Second

// call calls a daemon's operators' path, with a body where there is one.
func (f *atFlag) call(stop context.Context, path string, body any) ([]byte, error) {
	at, err := f.address()
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(stop, askFor)
	defer cancel()
	return admin.Call(ctx, at, path, body)
}

type workCmd struct {
	Ask     workAskCmd    `cmd:"" help:"Ask for machines to be taken out."`
	List    workListCmd   `cmd:"" help:"Show how all stands."`
	Watch   workWatchCmd  `cmd:"" help:"Show what happens, until Ctrl-C."`
	Done    workDoneCmd   `cmd:"" help:"Say that work is done: what is at work returns."`
	Cancel  workCancelCmd `cmd:"" help:"Take a job back."`
	Hold    workHoldCmd   `cmd:"" help:"Have nothing more begin, of a job or of all."`
	Release workHoldOff   `cmd:"" help:"End a hold."`
	Forget  workForgetCmd `cmd:"" help:"Say that an instance's process is dead for certain: it keeps no machine from being taken out any more."`
}

type workAskCmd struct {
	atFlag
	Machines []string      `arg:"" help:"Endpoints, by their ids."`
	For      time.Duration `help:"How long each is wanted out." required:""`
	Why      string        `help:"What for." required:""`
	ID       string        `help:"The job's name; asking twice with one is asking once. One is made of the time without it."`
	By       string        `help:"Who asks." default:"${user}"`
	Urgent   bool          `help:"It goes before what is not."`
}

// Run asks.
func (c *workAskCmd) Run(stop context.Context) error {
	if c.ID == "" {
		c.ID = "job-" + time.Now().UTC().Format("20060102-150405.000")
	}
	text, err := c.call(stop, "/work/say", maintenance.Command{Request: &maintenance.Request{ID: c.ID, Machines: c.Machines, Duration: c.For.Microseconds(), Reason: c.Why, Requester: c.By, Urgent: c.Urgent}})
	if err == nil {
		fmt.Printf("%s: %s\n", c.ID, strings.TrimSpace(string(text)))
	}
	return err
}

type workListCmd struct {
	atFlag
	JSON bool `name:"json" help:"For programs."`
}

// Run shows how all stands.
func (c *workListCmd) Run(stop context.Context) error {
	text, err := c.call(stop, "/work", nil)
	if err != nil {
		return err
	}
	if c.JSON {
		fmt.Printf("%s\n", text)
		return nil
	}
	var v consensus.View
	if err := json.Unmarshal(text, &v); err != nil {
		return err
	}
	return tellWork(os.Stdout, &v)
}

// tellWork tells how all stands to people.
func tellWork(out io.Writer, v *consensus.View) error {
	w := tabwriter.NewWriter(out, 2, 0, 2, ' ', 0)
	fmt.Fprintf(w, "%s leads; %d instances obey", v.Leader, len(v.Instances))
	if v.OnHold {
		fmt.Fprint(w, "; all is held")
	}
	fmt.Fprintln(w)
	for _, i := range v.Silent {
		fmt.Fprintf(w, "%s has not been heard for long: no further machine can be told ahead. If its process is dead for certain: work forget %s\n", i.Name, i.Name)
	}
	if len(v.Machines) > 0 {
		fmt.Fprintln(w, "MACHINE\tIS\tSINCE\tJOBS\tWAITS FOR")
	}
	for _, i := range v.Machines {
		waits := i.WaitReason
		switch {
		case i.Overdue:
			waits = "overdue: work done, or ask for longer"
		case i.RecallReason != "":
			waits = "wanted back: " + i.RecallReason
		}
		fmt.Fprintf(w, "%s\t%v\t%v ago\t%s\t%s\n", i.Name, i.Phase, micros(v.Now-i.Since).Round(time.Second), strings.Join(i.Requests, " "), waits)
	}
	for _, j := range v.Requests {
		fmt.Fprintf(w, "%s by %s: %s, for %v\n", j.ID, j.Requester, j.Reason, micros(j.Duration))
	}
	return w.Flush()
}

type workWatchCmd struct{ atFlag }

// Run shows what happens.
func (c *workWatchCmd) Run(stop context.Context) error {
	turn := time.NewTicker(500 * time.Millisecond)
	defer turn.Stop()
	var last int64 = -1
	for {
		text, err := c.call(stop, "/work", nil)
		var v consensus.View
		if err == nil {
			err = json.Unmarshal(text, &v)
		}
		if err != nil && stop.Err() == nil {
			fmt.Fprintln(os.Stderr, err)
		}
		for _, e := range v.Events {
			if e.Time > last {
				fmt.Printf("%8.1f s  %s\n", float64(e.Time)/1e6, e.Text)
			}
		}
		if n := len(v.Events); n > 0 {
			last = v.Events[n-1].Time
		}
		select {
		case <-turn.C:
		case <-stop.Done():
			return nil
		}
	}
}

type workDoneCmd struct {
	atFlag
	Job     string `arg:"" help:"The job."`
	Machine string `arg:"" optional:"" help:"One of its machines; all without it."`
}

// Run says that work is done.
func (c *workDoneCmd) Run(stop context.Context) error {
	return c.say(stop, maintenance.Command{Complete: &maintenance.Completion{Request: c.Job, Machine: c.Machine}})
}

// say says something, and prints the answer.
func (f *atFlag) say(stop context.Context, order maintenance.Command) error {
	text, err := f.call(stop, "/work/say", order)
	if err == nil {
		fmt.Println(strings.TrimSpace(string(text)))
	}
	return err
}

type workCancelCmd struct {
	atFlag
	Job string `arg:"" help:"The job."`
}

// Run takes a job back.
func (c *workCancelCmd) Run(stop context.Context) error {
	return c.say(stop, maintenance.Command{CancelRequest: c.Job})
}

type workHoldCmd struct {
	atFlag
	Job string `arg:"" optional:"" help:"The job; all without it."`
}

// Run holds.
func (c *workHoldCmd) Run(stop context.Context) error {
	return c.say(stop, maintenance.Command{Hold: &maintenance.Hold{Request: c.Job, On: true}})
}

type workHoldOff struct {
	atFlag
	Job string `arg:"" optional:"" help:"The job; all without it."`
}

// Run ends a hold.
func (c *workHoldOff) Run(stop context.Context) error {
	return c.say(stop, maintenance.Command{Hold: &maintenance.Hold{Request: c.Job}})
}

type workForgetCmd struct {
	atFlag
	Instance string `arg:"" help:"Its name."`
}

// Run forgets an instance.
func (c *workForgetCmd) Run(stop context.Context) error {
	text, err := c.call(stop, "/work", nil)
	if err != nil {
		return err
	}
	var v consensus.View
	if err := json.Unmarshal(text, &v); err != nil {
		return err
	}
	for _, i := range v.Silent {
		if i.Name == c.Instance {
			return c.say(stop, maintenance.Command{Forget: &i})
		}
	}
	return fmt.Errorf("%s is heard, or not known: it is not forgotten", c.Instance)
}
