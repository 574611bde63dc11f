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

// This file declares the maintenance commands, which are subcommands of "dunlinsaild work". The names of commands,
// flags and arguments are part of the command line that operators use; a struct tag sets the name where it differs
// from the Go name.

// workHelp holds the help texts that are too long for a struct tag on one line.
var workHelp = kong.Vars{
	"work_forget_help": "Say that an instance's process is dead for certain:" +
		" it keeps no machine from being taken out any more.",
	"work_id_help": "The job's name; asking twice with one is asking once. One is made of the time without it.",
}

// workCmd groups the maintenance commands.
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

// submitCommand sends a maintenance command, which the fleet appends to its consensus log, and returns the text of
// the response.
func (f *adminFlag) submitCommand(ctx context.Context, command maintenance.Command) (string, error) {
	response, err := f.call(ctx, admin.PathMaintenanceCommand, command)
	return strings.TrimSpace(string(response)), err
}

// submitAndPrint sends a maintenance command, which the fleet appends to its consensus log, and prints the text of
// the response.
func (f *adminFlag) submitAndPrint(ctx context.Context, command maintenance.Command) error {
	response, err := f.submitCommand(ctx, command)
	if err == nil {
		fmt.Println(response)
	}
	return err
}

// maintenanceView returns the leader's view of the maintenance plan.
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

// workRequestCmd is the command that requests maintenance of machines.
type workRequestCmd struct {
	adminFlag
	Machines  []string      `arg:"" help:"Endpoints, by their ids."`
	Duration  time.Duration `name:"for" help:"How long each is wanted out." required:""`
	Reason    string        `name:"why" help:"What for." required:""`
	ID        string        `help:"${work_id_help}"`
	Requester string        `name:"by" help:"Who asks." default:"${user}"`
	Urgent    bool          `help:"It goes before what is not."`
}

// Run submits a maintenance request and prints its ID with the text of the response.
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

// workListCmd is the command that prints the maintenance plan.
type workListCmd struct {
	adminFlag
	JSON bool `name:"json" help:"For programs."`
}

// Run prints the leader's view of the maintenance plan, as text or as the JSON that the daemon sends.
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

// workWatchCmd is the command that prints maintenance events as they occur.
type workWatchCmd struct{ adminFlag }

// watchInterval is the interval at which the watch command requests the maintenance view.
const watchInterval = 500 * time.Millisecond

// Run prints maintenance events as they occur, until ctx is done. An error of a call is printed to standard error,
// and the call is repeated after watchInterval.
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

// workCompleteCmd is the command that reports completed maintenance work.
type workCompleteCmd struct {
	adminFlag
	Request string `arg:"" name:"job" help:"The job."`
	Machine string `arg:"" optional:"" help:"One of its machines; all without it."`
}

// Run reports that the work on one machine of a request, or on all of them, is complete.
func (c *workCompleteCmd) Run(ctx context.Context) error {
	completion := maintenance.Completion{Request: c.Request, Machine: c.Machine}
	return c.submitAndPrint(ctx, maintenance.Command{Complete: &completion})
}

// workCancelCmd is the command that cancels a maintenance request.
type workCancelCmd struct {
	adminFlag
	Request string `arg:"" name:"job" help:"The job."`
}

// Run cancels a maintenance request.
func (c *workCancelCmd) Run(ctx context.Context) error {
	return c.submitAndPrint(ctx, maintenance.Command{CancelRequest: c.Request})
}

// workHoldCmd is the command that puts maintenance requests on hold: no further work of theirs starts.
type workHoldCmd struct {
	adminFlag
	Request string `arg:"" name:"job" optional:"" help:"The job; all without it."`
}

// Run puts one maintenance request on hold, or all of them if none is named.
func (c *workHoldCmd) Run(ctx context.Context) error {
	return c.submitAndPrint(ctx, maintenance.Command{Hold: &maintenance.Hold{Request: c.Request, On: true}})
}

// workReleaseCmd is the command that ends a hold on maintenance requests.
type workReleaseCmd struct {
	adminFlag
	Request string `arg:"" name:"job" optional:"" help:"The job; all without it."`
}

// Run ends the hold on one maintenance request, or on all of them if none is named.
func (c *workReleaseCmd) Run(ctx context.Context) error {
	return c.submitAndPrint(ctx, maintenance.Command{Hold: &maintenance.Hold{Request: c.Request}})
}

// workForgetCmd is the command that declares the process of a silent instance dead.
type workForgetCmd struct {
	adminFlag
	Instance string `arg:"" help:"Its name."`
}

// Run makes the fleet forget an instance, which then no longer keeps machines from being taken out. It fails if the
// leader does not list the instance as silent.
func (c *workForgetCmd) Run(ctx context.Context) error {
	view, err := c.maintenanceView(ctx)
	if err != nil {
		return err
	}
	for _, instance := range view.SilentInstances {
		if instance.Name == c.Instance {
			return c.submitAndPrint(ctx, maintenance.Command{Forget: &instance})
		}
	}
	return fmt.Errorf("instance %s is unknown, or not silent: it is not forgotten", c.Instance)
}
