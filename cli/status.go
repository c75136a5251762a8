package cli

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/rotisserie/eris"

	"merlinhall/control"
)

// replicaStatus is the status of one control replica, or the error of the request for it.
type replicaStatus struct {
	Address      string                 `json:"address"`
	ID           string                 `json:"id"`
	Error        string                 `json:"error,omitempty"`
	Name         string                 `json:"name"`
	Role         string                 `json:"role"`
	Term         uint64                 `json:"term"`
	Leader       string                 `json:"leader"`
	Commit       uint64                 `json:"commit"`
	Applied      uint64                 `json:"applied"`
	Level        uint32                 `json:"level"`
	Understands  uint32                 `json:"understands"`
	Levels       []control.ProcessLevel `json:"levels,omitempty"`
	ClusterState struct {
		Version    uint64            `json:"config_version"`
		Weights    map[string]uint64 `json:"weights,omitempty"`
		Departures []string          `json:"departures,omitempty"`
	} `json:"world"`
	Members []string `json:"members"`
}

func (e *env) status(errOut io.Writer) *ffcli.Command {
	fs := newFlags("status", errOut)
	wait := fs.Duration("wait", 0, "how long to wait for a leader")
	return e.command(fs, "merlinhall status [--wait 10s]", "show the status of the control replicas", func(ctx context.Context, _ []string) error {
		c, err := e.client()
		if err != nil {
			return err
		}
		deadline := time.Now().Add(*wait)
		for {
			replicas, leader := c.replicas(ctx)
			if leader != "" || time.Now().After(deadline) {
				return e.printStatus(replicas, leader)
			}
			if err := sleep(ctx, pollPeriod); err != nil {
				return err
			}
		}
	})
}

// replicas returns the status of each control replica, and the leader according to the
// replica with the highest term, or "".
func (c *client) replicas(ctx context.Context) ([]replicaStatus, string) {
	var all []replicaStatus
	var best replicaStatus
	for _, address := range c.addresses {
		one := replicaStatus{Address: address}
		r, err := c.send(ctx, address, http.MethodGet, "/v1/status", nil, nil)
		switch {
		case err != nil:
			one.Error = err.Error()
		case r.status != http.StatusOK:
			one.Error = r.problem()
		default:
			if err := json.Unmarshal(r.body, &one); err != nil {
				one.Error = err.Error()
			}
		}
		if one.Leader != "" && one.Term >= best.Term {
			best = one
		}
		all = append(all, one)
	}
	return all, best.Leader
}

func (e *env) printStatus(replicas []replicaStatus, leader string) error {
	var b strings.Builder
	for _, r := range replicas {
		if r.Error != "" {
			fmt.Fprintf(&b, "%-22s unreachable: %s\n", r.Address, r.Error)
			continue
		}
		fmt.Fprintf(&b, "%-22s %-12s %-10s term %d  commit %d  applied %d  configuration %d  level %d of %d\n", r.Address, r.Name, r.Role, r.Term, r.Commit, r.Applied, r.ClusterState.Version, r.Level, r.Understands)
	}
	if leader == "" {
		b.WriteString("no leader\n")
	}
	if err := e.print(map[string]any{"leader": leader, "replicas": replicas}, b.String()); err != nil {
		return err
	}
	if leader == "" {
		return exitError(ExitUnavailable, eris.New("the control replicas have no leader"))
	}
	return nil
}

func (e *env) dump(errOut io.Writer) *ffcli.Command {
	fs := newFlags("dump", errOut)
	address := fs.String("address", "", "administration address of the process")
	return e.command(fs, "merlinhall dump --address IP:PORT", "print the state of one process as JSON", func(ctx context.Context, _ []string) error {
		body, err := e.readDump(ctx, *address)
		if err != nil {
			return err
		}
		_, err = e.out.Write(body)
		return err
	})
}

var errNoAddress = eris.New("the flag --address is missing")

// readDump returns the state of the process with the given administration address as JSON.
func (e *env) readDump(ctx context.Context, address string) ([]byte, error) {
	if address == "" {
		return nil, exitError(ExitUsage, errNoAddress)
	}
	c, err := e.client()
	if err != nil {
		return nil, err
	}
	r, err := c.send(ctx, address, http.MethodGet, "/dump", nil, nil)
	if err != nil {
		return nil, exitError(ExitUnavailable, err)
	}
	if r.status != http.StatusOK {
		return nil, exitError(exitCode(r.status), eris.New(r.problem()))
	}
	return r.body, nil
}

func (e *env) drain(errOut io.Writer) *ffcli.Command {
	fs := newFlags("drain", errOut)
	undo := fs.Bool("undo", false, "send new work to the target again")
	return e.command(fs, "merlinhall drain [--undo] <target>", "stop sending new work to a target", func(ctx context.Context, args []string) error {
		target, err := oneArg(args, "a target")
		if err != nil {
			return err
		}
		c, err := e.client()
		if err != nil {
			return err
		}
		action := "/drain"
		if *undo {
			action = "/undrain"
		}
		r, err := c.do(ctx, http.MethodPost, "/v1/targets/"+url.PathEscape(target)+action, url.Values{"request_id": {rand.Text()}}, nil, nil)
		if err != nil {
			return err
		}
		if r.status != http.StatusOK {
			return exitError(exitCode(r.status), eris.New(r.problem()))
		}
		return e.print(json.RawMessage(r.body), "accepted\n")
	})
}

// members changes the membership of the control group.
func (e *env) members(errOut io.Writer) *ffcli.Command {
	fs := newFlags("members", errOut)
	address := fs.String("address", "", "administration address of the replica to add")
	return e.command(fs, "merlinhall members [--address IP:PORT] add|promote|remove <name>", "add, promote or remove a member of the control group", func(ctx context.Context, args []string) error {
		if len(args) != 2 {
			return exitError(ExitUsage, eris.New("expected add, promote or remove, and the name of a replica"))
		}
		c, err := e.client()
		if err != nil {
			return err
		}
		change := control.MemberChange{Action: args[0], Name: args[1]}
		if *address != "" {
			one := &client{addresses: []string{*address}, scheme: c.scheme, token: c.token, http: c.http}
			replicas, _ := one.replicas(ctx)
			change.ID = replicas[0].ID
		}
		body, err := json.Marshal(change)
		if err != nil {
			return err
		}
		r, err := c.doOnce(ctx, http.MethodPost, "/v1/members", body)
		if err != nil {
			return err
		}
		if r.status == http.StatusGatewayTimeout {
			return exitError(ExitUnknown, eris.New("the outcome of the change is unknown; "+askStatus))
		}
		if r.status != http.StatusOK {
			return exitError(exitCode(r.status), eris.New(r.problem()))
		}
		return e.print(json.RawMessage(r.body), string(r.body))
	})
}
