package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/hibiscusstair/hibiscusstair/reason"
)

// pollInterval is how often wait asks for the status.
const pollInterval = 100 * time.Millisecond

func fromCommand(cmd *cli.Command) *client {
	return newClient(cmd.StringSlice("server"), cmd.String("token"))
}

func oneArgument(cmd *cli.Command, name string) (string, error) {
	if cmd.NArg() != 1 {
		return "", usageError{fmt.Sprintf("%s needs one argument: %s", cmd.Name, name)}
	}
	return cmd.Args().First(), nil
}

func readTicket(cmd *cli.Command) (body []byte, number uint64, err error) {
	path, err := oneArgument(cmd, "FILE")
	if err != nil {
		return nil, 0, err
	}
	if path == "-" {
		body, err = io.ReadAll(os.Stdin)
	} else {
		body, err = os.ReadFile(path)
	}
	if err != nil {
		return nil, 0, usageError{err.Error()}
	}
	var head struct {
		Number uint64 `json:"number"`
	}
	if err := json.Unmarshal(body, &head); err != nil {
		return nil, 0, usageError{fmt.Sprintf("%s: %v", path, err)}
	}
	return body, head.Number, nil
}

func apply(ctx context.Context, cmd *cli.Command) error {
	body, number, err := readTicket(cmd)
	if err != nil {
		return err
	}
	c := fromCommand(cmd)
	limit := cmd.Duration("wait")
	deadline := time.Now().Add(limit)
	answer, err := c.applyUntil(ctx, number, body, deadline)
	if err != nil {
		return err
	}
	if limit > 0 {
		answer, err = c.wait(ctx, number, time.Until(deadline))
		if err != nil {
			return err
		}
	}
	return printAnswer(cmd, answer)
}

// applyUntil issues the ticket, and again until the deadline while no instance
// can take it, for example because all of them have just started.
func (c *client) applyUntil(ctx context.Context, number uint64, body []byte, deadline time.Time) (json.RawMessage, error) {
	for {
		answer, err := c.call(ctx, http.MethodPut, ticketPath(number), body)
		if err == nil || !tryNext(err) || !time.Now().Add(pollInterval).Before(deadline) {
			return answer, err
		}
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
			return nil, err
		}
	}
}

func validate(ctx context.Context, cmd *cli.Command) error {
	body, _, err := readTicket(cmd)
	if err != nil {
		return err
	}
	answer, err := fromCommand(cmd).call(ctx, http.MethodPost, "/v1/tickets/validate", body)
	if err != nil {
		return err
	}
	return printAnswer(cmd, answer)
}

func diff(ctx context.Context, cmd *cli.Command) error {
	if cmd.NArg() != 2 {
		return usageError{"diff needs two arguments: FROM TO"}
	}
	query := url.Values{"from": {cmd.Args().Get(0)}, "to": {cmd.Args().Get(1)}}
	answer, err := fromCommand(cmd).call(ctx, http.MethodGet, "/v1/diff?"+query.Encode(), nil)
	if err != nil {
		return err
	}
	return printAnswer(cmd, answer)
}

func waitFor(ctx context.Context, cmd *cli.Command) error {
	text, err := oneArgument(cmd, "NUMBER")
	if err != nil {
		return err
	}
	number, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return usageError{fmt.Sprintf("%q is not a ticket number", text)}
	}
	answer, err := fromCommand(cmd).wait(ctx, number, cmd.Duration("timeout"))
	if err != nil {
		return err
	}
	return printAnswer(cmd, answer)
}

// wait polls the status until the ticket is accepted. Errors of single polls
// are passed over until the time is up, since instances come and go.
func (c *client) wait(ctx context.Context, number uint64, limit time.Duration) (json.RawMessage, error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		answer, err := c.call(ctx, http.MethodGet, "/v1/status", nil)
		if err == nil && accepted(answer) >= number {
			return answer, nil
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil, fmt.Errorf("%w: ticket %d after %s; see hibiscusctl status for the members that block it", errNotInForce, number, limit)
		}
	}
}

func accepted(status json.RawMessage) uint64 {
	var body struct {
		Accepted uint64 `json:"accepted"`
	}
	if err := json.Unmarshal(status, &body); err != nil {
		return 0
	}
	return body.Accepted
}

func expel(ctx context.Context, cmd *cli.Command) error {
	id, err := oneArgument(cmd, "INSTANCE")
	if err != nil {
		return err
	}
	answer, err := fromCommand(cmd).call(ctx, http.MethodPost, "/v1/instances/"+url.PathEscape(id)+"/expel", nil)
	if err != nil {
		return err
	}
	return printAnswer(cmd, answer)
}

func view(path string) cli.ActionFunc {
	return func(ctx context.Context, cmd *cli.Command) error {
		answer, err := fromCommand(cmd).call(ctx, http.MethodGet, path, nil)
		if err != nil {
			return err
		}
		return printAnswer(cmd, answer)
	}
}

func viewOne(path string) cli.ActionFunc {
	return func(ctx context.Context, cmd *cli.Command) error {
		id, err := oneArgument(cmd, cmd.ArgsUsage)
		if err != nil {
			return err
		}
		return view(path+url.PathEscape(id))(ctx, cmd)
	}
}

func reasons(_ context.Context, cmd *cli.Command) error {
	type line struct {
		Reason reason.Reason `json:"reason"`
		Status int           `json:"status"`
		Help   string        `json:"help"`
	}
	var lines []line
	for _, r := range reason.All() {
		lines = append(lines, line{r, r.HTTPStatus(), r.Help()})
	}
	body, err := json.Marshal(lines)
	if err != nil {
		return err
	}
	return printAnswer(cmd, body)
}

func ticketPath(number uint64) string {
	return "/v1/tickets/" + strconv.FormatUint(number, 10)
}
