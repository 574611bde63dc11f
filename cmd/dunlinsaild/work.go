package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/alecthomas/kong"

	"dunlinsail/internal/admin"
	"dunlinsail/internal/consensus"
	"dunlinsail/internal/decide/maintenance"
	"dunlinsail/internal/monotime"
)

// This file has the commands for maintenance, below "dunlinsaild work". The names of commands, flags and arguments are
// operators', in tags where the Go name differs.

// workHelp holds the help texts that are too long for a tag on one line.
var workHelp = kong.Vars{
	"work_forget_help": "Say that an instance's process is dead for certain:" +
		" it keeps no machine from being taken out any more.",
	"work_id_help": "The job's name; asking twice with one is asking once. One is made of the time without it.",
}

type workCmd struct {
	Request  workRequestCmd  `cmd:"" name:"ask" help:"Ask for machines to be taken out."`
	List     workListCmd     `cmd:"" help:"Show how all stands."`
	Watch    workWatchCmd    `cmd:"" help:"Show what happens, until Ctrl-C."`
	Complete workCompleteCmd `cmd:"" name:"done" help:"Say that work is done: what is at work returns."`
	Cancel   workCancelCmd   `cmd:"" help:"Take a job back."`
	Hold     workHoldCmd     `cmd:"" help:"Have nothing more begin, of a job or of all."`
	Release  workReleaseCmd  `cmd:"" help:"End a hold."`
	Forget   workForgetCmd   `cmd:"" help:"${work_forget_help}"`
}

// submit sends a command for the consensus log, and returns the answer.
func (f *adminFlag) submitCommand(ctx context.Context, command maintenance.Command) (string, error) {
	response, err := f.call(ctx, admin.PathMaintenanceCommand, command)
	return strings.TrimSpace(string(response)), err
}

// submitAndPrint sends a command for the consensus log, and prints the answer.
func (f *adminFlag) submitAndPrint(ctx context.Context, command maintenance.Command) error {
	response, err := f.submitCommand(ctx, command)
	if err == nil {
		fmt.Println(response)
	}
	return err
}

// view returns the leader's view of the maintenance plan.
func (f *adminFlag) maintenanceView(ctx context.Context) (*consensus.View, error) {
	body, err := f.call(ctx, admin.PathMaintenance, nil)
	if err != nil {
		return nil, err
	}
	var view consensus.View
	if err := json.Unmarshal(body, &view); err != nil {
		return nil, err
	}
	return &view, nil
}

type workRequestCmd struct {
	adminFlag
	Machines  []string      `arg:"" help:"Endpoints, by their ids."`
	Duration  time.Duration `name:"for" help:"How long each is wanted out." required:""`
	Reason    string        `name:"why" help:"What for." required:""`
	ID        string        `help:"${work_id_help}"`
	Requester string        `name:"by" help:"Who asks." default:"${user}"`
	Urgent    bool          `help:"It goes before what is not."`
}

// Run submits a maintenance request and prints the answer.
func (c *workRequestCmd) Run(ctx context.Context) error {
	if c.ID == "" {
		c.ID = "job-" + time.Now().UTC().Format("20060102-150405.000")
	}
	response, err := c.submitCommand(ctx, maintenance.Command{Request: &maintenance.Request{
		ID:        c.ID,
		Machines:  c.Machines,
		Duration:  c.Duration.Microseconds(),
		Reason:    c.Reason,
		Requester: c.Requester,
		Urgent:    c.Urgent,
	}})
	if err == nil {
		fmt.Printf("%s: %s\n", c.ID, response)
	}
	return err
}

type workListCmd struct {
	adminFlag
	JSON bool `name:"json" help:"For programs."`
}

// Run prints the view, as text or as the JSON that the daemon sends.
func (c *workListCmd) Run(ctx context.Context) error {
	if c.JSON {
		body, err := c.call(ctx, admin.PathMaintenance, nil)
		if err == nil {
			fmt.Printf("%s\n", body)
		}
		return err
	}
	view, err := c.maintenanceView(ctx)
	if err != nil {
		return err
	}
	return printMaintenanceView(os.Stdout, view)
}

type workWatchCmd struct{ adminFlag }

// watchInterval is the time between two views.
const watchInterval = 500 * time.Millisecond

// Run prints events as they come, until ctx ends. A view that fails is printed to standard error and tried again.
func (c *workWatchCmd) Run(ctx context.Context) error {
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	lastEventTime := monotime.Micros(-1)
	for {
		view, err := c.maintenanceView(ctx)
		switch {
		case err == nil:
			lastEventTime = printEventsAfter(os.Stdout, view.Events, lastEventTime)
		case ctx.Err() == nil:
			fmt.Fprintln(os.Stderr, err)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
	}
}

type workCompleteCmd struct {
	adminFlag
	Request string `arg:"" name:"job" help:"The job."`
	Machine string `arg:"" optional:"" help:"One of its machines; all without it."`
}

// Run completes the work on a request's machines.
func (c *workCompleteCmd) Run(ctx context.Context) error {
	completion := maintenance.Completion{Request: c.Request, Machine: c.Machine}
	return c.submitAndPrint(ctx, maintenance.Command{Complete: &completion})
}

type workCancelCmd struct {
	adminFlag
	Request string `arg:"" name:"job" help:"The job."`
}

// Run cancels a request.
func (c *workCancelCmd) Run(ctx context.Context) error {
	return c.submitAndPrint(ctx, maintenance.Command{CancelRequest: c.Request})
}

type workHoldCmd struct {
	adminFlag
	Request string `arg:"" name:"job" optional:"" help:"The job; all without it."`
}

// Run starts a hold on a request, or on all.
func (c *workHoldCmd) Run(ctx context.Context) error {
	return c.submitAndPrint(ctx, maintenance.Command{Hold: &maintenance.Hold{Request: c.Request, On: true}})
}

type workReleaseCmd struct {
	adminFlag
	Request string `arg:"" name:"job" optional:"" help:"The job; all without it."`
}

// Run ends a hold on a request, or on all.
func (c *workReleaseCmd) Run(ctx context.Context) error {
	return c.submitAndPrint(ctx, maintenance.Command{Hold: &maintenance.Hold{Request: c.Request}})
}

type workForgetCmd struct {
	adminFlag
	Instance string `arg:"" help:"Its name."`
}

// Run has the fleet forget an instance. It is an error if the instance is not silent.
func (c *workForgetCmd) Run(ctx context.Context) error {
	view, err := c.maintenanceView(ctx)
	if err != nil {
		return err
	}
	for _, instance := range view.Silent {
		if instance.Name == c.Instance {
			return c.submitAndPrint(ctx, maintenance.Command{Forget: &instance})
		}
	}
	return fmt.Errorf("%s is heard, or not known: it is not forgotten", c.Instance)
}
